// Whole events out of the pieces of an event stream.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace basilvalve::flow {

/// Holds back what is not yet a whole event, so that a stream that breaks in
/// the middle of one can be resumed after the last. Not thread safe.
class EventSplitter {
 public:
  /// Adds bytes and returns the whole events that they complete, as they came.
  std::string Feed(std::string_view bytes);
  /// Id of the last whole event that had one.
  const std::optional<int64_t>& last_id() const { return last_id_; }
  /// Whole events so far.
  uint64_t events() const { return events_; }
  /// Whether bytes of an event that is not whole are held.
  bool has_partial() const { return !partial_.empty(); }
  /// Drops the bytes of an event that will not become whole.
  void DropPartial() { partial_.clear(); }

 private:
  void RecordEvent(std::string_view event);

  std::string partial_;
  std::optional<int64_t> last_id_;
  uint64_t events_ = 0;
};

}  // namespace basilvalve::flow
