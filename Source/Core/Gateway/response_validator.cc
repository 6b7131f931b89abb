#include "Core/Gateway/response_validator.h"

#include <nlohmann/json.hpp>

namespace basilvalve::gateway {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDone = "data: [DONE]";

}  // namespace

ResponseValidator::ResponseValidator(const http::ResponseHead& head) {
  std::string_view type = http::FindHeader(head.headers, "Content-Type");
  is_events_ = type.starts_with("text/event-stream");
  bool has_length = !http::FindHeader(head.headers, "Content-Length").empty();
  is_json_ = !is_events_ && !has_length && type.starts_with("application/json");
}

std::string ResponseValidator::Add(std::string_view piece) {
  if (!is_events_) {
    if (is_json_) {
      json_.append(piece);
    }
    return std::string(piece);
  }
  if (saw_done_) {
    // Nothing belongs to the answer after its last event.
    return "";
  }
  partial_.append(piece);
  size_t whole = 0;
  while (!saw_done_) {
    size_t end = partial_.find(kEventEnd, whole);
    if (end == std::string::npos) {
      break;
    }
    std::string_view event(partial_.data() + whole, end - whole);
    saw_done_ = event.starts_with(kDone);
    events_ += saw_done_ ? 0 : 1;
    whole = end + kEventEnd.size();
  }
  std::string ready = partial_.substr(0, whole);
  partial_.erase(0, whole);
  return ready;
}

bool ResponseValidator::IsComplete(bool length_verified) const {
  if (is_events_) {
    return saw_done_;
  }
  if (length_verified) {
    return true;
  }
  return is_json_ && nlohmann::json::accept(json_);
}

}  // namespace basilvalve::gateway
