#include "Core/Flow/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace basilvalve::flow {
std::string EventSplitter::Feed(std::string_view bytes) {
  partial_.append(bytes);
  size_t event_start = 0;
  while (true) {
    size_t line_end = partial_.find('\n', std::max(line_start_, searched_));
    if (line_end == std::string::npos) {
      break;
    }
    // Lines end with LF or CRLF; an empty one ends the event.
    size_t length = line_end - line_start_;
    bool is_empty =
        length == 0 || (length == 1 && partial_[line_start_] == '\r');
    line_start_ = line_end + 1;
    if (is_empty) {
      std::string_view text = partial_;
      RecordEvent(text.substr(event_start, line_start_ - event_start));
      event_start = line_start_;
    }
  }
  std::string events = partial_.substr(0, event_start);
  partial_.erase(0, event_start);
  line_start_ -= event_start;
  searched_ = partial_.size();
  if (partial_.size() > max_event_bytes_) {
    is_oversized_ = true;
    partial_.resize(max_event_bytes_);
    searched_ = partial_.size();
    line_start_ = std::min(line_start_, searched_);
  }
  return events;
}

void EventSplitter::DropPartial() {
  partial_.clear();
  partial_.shrink_to_fit();
  line_start_ = 0;
  searched_ = 0;
  is_oversized_ = false;
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
