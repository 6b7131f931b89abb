#include "Core/Gateway/response_validator.h"

#include <nlohmann/json.hpp>

namespace basilvalve::gateway {
namespace {

constexpr std::string_view kEventSeparator = "\n\n";
constexpr std::string_view kDoneEvent = "data: [DONE]";

}  // namespace

ResponseValidator::ResponseValidator(const http::ResponseHead& head) {
  std::string_view type = http::FindHeader(head.headers, "Content-Type");
  is_event_stream_ = type.starts_with("text/event-stream");
  bool has_length = !http::FindHeader(head.headers, "Content-Length").empty();
  validate_json_ =
      !is_event_stream_ && !has_length && type.starts_with("application/json");
}

std::string ResponseValidator::Add(std::string_view chunk) {
  if (!is_event_stream_) {
    if (validate_json_) {
      json_body_.append(chunk);
    }
    return std::string(chunk);
  }
  if (saw_done_) {
    // Bytes after the [DONE] event are not part of the response.
    return "";
  }
  partial_event_.append(chunk);
  size_t complete_bytes = 0;
  while (!saw_done_) {
    size_t end = partial_event_.find(kEventSeparator, complete_bytes);
    if (end == std::string::npos) {
      break;
    }
    std::string_view event(partial_event_.data() + complete_bytes,
                           end - complete_bytes);
    saw_done_ = event.starts_with(kDoneEvent);
    complete_events_ += saw_done_ ? 0 : 1;
    complete_bytes = end + kEventSeparator.size();
  }
  std::string ready = partial_event_.substr(0, complete_bytes);
  partial_event_.erase(0, complete_bytes);
  return ready;
}

bool ResponseValidator::IsComplete(bool length_verified) const {
  if (is_event_stream_) {
    return saw_done_;
  }
  if (length_verified) {
    return true;
  }
  return validate_json_ && nlohmann::json::accept(json_body_);
}

}  // namespace basilvalve::gateway
