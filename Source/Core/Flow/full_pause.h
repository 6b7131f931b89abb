// The time for which an upstream that refused a plain call as full gets no more
// of them, and how many calls it lets wait.
#pragma once

#include <cstdint>
#include <optional>

#include "Core/Common/clock.h"

namespace basilvalve::flow {

/// Not thread safe.
class FullPause {
 public:
  /// Records a refusal. `slot_time` is the mean time until the upstream has
  /// finished one more call, `waiting` its queue length if it stated that.
  void OnRefused(Micros slot_time, std::optional<uint32_t> waiting,
                 Instant now);
  /// Whether a slot should be free again.
  bool HasEnded(Instant now) const { return now >= until_; }
  /// Whether the upstream has ever refused a call as full.
  bool has_refused() const { return has_refused_; }
  /// The queue length at which it last refused a call; nullopt if it stated
  /// none.
  std::optional<uint32_t> full_queue() const { return full_queue_; }

 private:
  bool has_refused_ = false;
  std::optional<uint32_t> full_queue_;
  Instant until_;
};

}  // namespace basilvalve::flow
