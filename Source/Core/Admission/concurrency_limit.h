// Adaptive bound on the calls in flight at one upstream.
#pragma once

#include <cstdint>

#include "Core/Common/clock.h"

namespace basilvalve::admission {

/// Bounds and steps of the limit.
struct ConcurrencySettings {
  double initial = 32;
  double min = 2;
  double max = 512;
  /// The limit falls by this factor when an answer misses its target.
  double decrease_factor = 0.9;
  /// Answers that missed within this time of the last decrease do not decrease
  /// again.
  Millis decrease_interval{1000};
};

/// Additive increase while the limit is in use and targets are met,
/// multiplicative decrease when a first token comes late. Not thread safe.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ConcurrencySettings& settings)
      : settings_(settings), limit_(settings.initial) {}

  /// Whether another call fits beside `in_flight` others.
  bool Admits(int64_t in_flight) const {
    return static_cast<double>(in_flight) < limit_;
  }
  /// Learns from a finished call.
  void OnResult(bool met_target, int64_t in_flight, Instant now);
  /// The bound now.
  double limit() const { return limit_; }

 private:
  ConcurrencySettings settings_;
  double limit_;
  Instant last_decrease_;
};

}  // namespace basilvalve::admission
