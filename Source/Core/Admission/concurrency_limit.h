// Adaptive limit (AIMD) on the calls in flight at one upstream.
#pragma once

#include <cstdint>

#include "Core/Common/clock.h"

namespace basilvalve::admission {

/// Bounds and decrease rate of the limit, in calls.
struct ConcurrencySettings {
  double initial = 32;
  double min = 2;
  double max = 512;
  /// The limit is multiplied by this factor when a first token misses its
  /// latency target.
  double decrease_factor = 0.9;
  /// Minimum time between two decreases; missed targets in between are ignored.
  Millis decrease_interval{1000};
};

/// Additive increase while the limit is in use and latency targets are met,
/// multiplicative decrease when a first token is late. Not thread safe.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ConcurrencySettings& settings)
      : settings_(settings), limit_(settings.initial) {}

  /// Whether another call may start while `in_flight` calls are running.
  bool Admits(int64_t in_flight) const {
    return static_cast<double>(in_flight) < limit_;
  }
  /// Adjusts the limit to the latency of a call; `in_flight` is the number of
  /// calls running at that time.
  void OnResult(bool met_target, int64_t in_flight, Instant now);
  double limit() const { return limit_; }

 private:
  ConcurrencySettings settings_;
  double limit_;
  Instant last_decrease_;
};

}  // namespace basilvalve::admission
