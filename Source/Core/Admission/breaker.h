// Circuit breaker of one upstream.
#pragma once

#include <cstdint>

#include "Core/Common/clock.h"

namespace basilvalve::admission {

enum class BreakerState { kClosed, kOpen, kHalfOpen };

/// When a breaker opens and how it closes again.
struct BreakerSettings {
  /// Failures in a row that open it.
  int failure_threshold = 3;
  /// First time it stays open; doubled on each failed probe up to the maximum.
  Millis open_duration{1000};
  Millis max_open_duration{30000};
  /// Calls let through at once while it is half open.
  int max_half_open_probes = 1;
};

/// A state machine over call results. Not thread safe.
class Breaker {
 public:
  explicit Breaker(const BreakerSettings& settings)
      : settings_(settings), open_time_(settings.open_duration) {}

  /// Whether a call may be made now. Does not count it.
  bool Allows(Instant now) const;
  /// Counts a call that is being made; while half open it is a probe.
  void OnStart(Instant now);
  /// A call that was started went well.
  void OnSuccess();
  /// A call that was started failed at the upstream.
  void OnFailure(Instant now);
  /// A call that was started ended without telling about the upstream.
  void OnNeutral();
  /// State at a time.
  BreakerState StateAt(Instant now) const;

 private:
  BreakerSettings settings_;
  bool open_ = false;
  int failures_ = 0;
  int probes_ = 0;
  Instant reopen_at_;
  Micros open_time_;
};

}  // namespace basilvalve::admission
