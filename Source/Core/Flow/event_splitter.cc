#include "Core/Flow/event_splitter.h"

#include <charconv>

namespace basilvalve::flow {
namespace {

// End of the first complete event in the text; 0 if there is none. Lines end
// with LF or CRLF.
size_t FindEventEnd(std::string_view text) {
  size_t at = 0;
  while (true) {
    size_t line_end = text.find('\n', at);
    if (line_end == std::string_view::npos) {
      return 0;
    }
    std::string_view line = text.substr(at, line_end - at);
    if (line.empty() || line == "\r") {
      return line_end + 1;
    }
    at = line_end + 1;
  }
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  partial_.append(bytes);
  std::string_view rest = partial_;
  for (size_t n = FindEventEnd(rest); n > 0; n = FindEventEnd(rest)) {
    RecordEvent(rest.substr(0, n));
    rest.remove_prefix(n);
  }
  size_t complete_bytes = partial_.size() - rest.size();
  std::string events = partial_.substr(0, complete_bytes);
  partial_.erase(0, complete_bytes);
  return events;
}

void EventSplitter::RecordEvent(std::string_view event) {
  constexpr std::string_view kField = "id:";
  ++events_;
  size_t at = event.starts_with(kField) ? 0 : event.find("\nid:");
  if (at == std::string_view::npos) {
    return;
  }
  at = event.find(kField, at) + kField.size();
  while (at < event.size() && event[at] == ' ') {
    ++at;
  }
  int64_t id = 0;
  auto [end, ec] =
      std::from_chars(event.data() + at, event.data() + event.size(), id);
  if (ec == std::errc()) {
    last_id_ = id;
  }
}

}  // namespace basilvalve::flow
