// Splits a server-sent event stream into complete events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace basilvalve::flow {

/// Largest event that is buffered, in bytes.
inline constexpr size_t kMaxEventBytes = size_t{512} * 1024;

/// Buffers bytes until an event is complete, so that a stream that breaks
/// within an event can be resumed after the last complete one. Not thread safe.
class EventSplitter {
 public:
  explicit EventSplitter(size_t max_event_bytes = kMaxEventBytes)
      : max_event_bytes_(max_event_bytes) {}

  /// Adds bytes and returns the events that they complete, unchanged. Bytes of
  /// an event beyond the limit are dropped.
  std::string Feed(std::string_view bytes);
  /// Whether the current event exceeds the limit; its stream cannot go on.
  bool is_oversized() const { return is_oversized_; }
  /// Id of the last complete event that carried one.
  const std::optional<int64_t>& last_id() const { return last_id_; }
  /// Number of complete events so far.
  uint64_t events() const { return events_; }
  /// Whether bytes of an incomplete event are buffered.
  bool has_partial() const { return !partial_.empty(); }
  /// Discards the buffered bytes of an incomplete event.
  void DropPartial();

 private:
  void RecordEvent(std::string_view event);

  size_t max_event_bytes_;
  std::string partial_;
  // Start of the first line of `partial_` that is not known to be complete, so
  // that an event in many small pieces is searched only once.
  size_t line_start_ = 0;
  size_t searched_ = 0;
  bool is_oversized_ = false;
  std::optional<int64_t> last_id_;
  uint64_t events_ = 0;
};

}  // namespace basilvalve::flow
