// Circuit breaker for one upstream.
#pragma once

#include <cstdint>

#include "Core/Common/clock.h"

namespace basilvalve::admission {

enum class BreakerState { kClosed, kOpen, kHalfOpen };

/// Thresholds and timing of a circuit breaker.
struct BreakerSettings {
  /// Consecutive failures that open the breaker.
  int failure_threshold = 3;
  /// How long the breaker stays open at first; doubled after each failed probe,
  /// up to `max_open_duration`.
  Millis open_duration{1000};
  Millis max_open_duration{30000};
  /// Concurrent calls allowed while the breaker is half-open.
  int max_half_open_probes = 1;
};

/// Opens after consecutive failures, turns half-open when the open duration has
/// passed, and closes on a successful call. Not thread safe.
class Breaker {
 public:
  explicit Breaker(const BreakerSettings& settings)
      : settings_(settings), open_duration_(settings.open_duration) {}

  /// Whether a call may be made now. Does not reserve a probe; see OnStart.
  bool Allows(Instant now) const;
  /// Records the start of a call; in the half-open state it counts as a probe.
  void OnStart(Instant now);
  /// Records the success of a started call and closes the breaker.
  void OnSuccess();
  /// Records the failure of a started call. Opens the breaker at the failure
  /// threshold; a failed probe reopens it for twice as long, up to the maximum.
  void OnFailure(Instant now);
  /// Records the end of a started call that does not reflect the upstream's
  /// health, such as a cancelled one; releases its probe.
  void OnNeutral();
  BreakerState StateAt(Instant now) const;

 private:
  BreakerSettings settings_;
  bool open_ = false;
  int consecutive_failures_ = 0;
  int probes_in_flight_ = 0;
  Instant half_open_at_;
  Micros open_duration_;
};

}  // namespace basilvalve::admission
