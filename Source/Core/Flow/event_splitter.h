// Splits a server-sent event stream into complete events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace basilvalve::flow {

/// Buffers bytes until an event is complete, so that a stream that breaks
/// within an event can be resumed after the last complete one. Not thread safe.
class EventSplitter {
 public:
  /// Adds bytes and returns the events that they complete, unchanged.
  std::string Feed(std::string_view bytes);
  /// Id of the last complete event that carried one.
  const std::optional<int64_t>& last_id() const { return last_id_; }
  /// Number of complete events so far.
  uint64_t events() const { return events_; }
  /// Whether bytes of an incomplete event are buffered.
  bool has_partial() const { return !partial_.empty(); }
  /// Discards the buffered bytes of an incomplete event.
  void DropPartial() { partial_.clear(); }

 private:
  void RecordEvent(std::string_view event);

  std::string partial_;
  std::optional<int64_t> last_id_;
  uint64_t events_ = 0;
};

}  // namespace basilvalve::flow
