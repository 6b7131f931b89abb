// Detects that the process did not run for a while.
#pragma once

#include "Core/Common/clock.h"

namespace basilvalve::flow {

/// Tells whether a datagram may have waited in the socket while the process was
/// frozen, so that what it says about times cannot be relied on. Takes the time
/// as an argument. Not thread safe.
class PauseDetector {
 public:
  /// How often OnTick has to be called.
  static constexpr Millis kTickInterval{100};

  /// `min_pause`: shorter pauses are not detected. Pre: longer than
  /// kTickInterval.
  explicit PauseDetector(Micros min_pause) : min_pause_(min_pause) {}

  /// To be called by a timer.
  void OnTick(Instant now);
  /// To be called for each datagram: it may be handled before the timer that a
  /// pause has delayed.
  void OnDatagram(Instant now);
  /// Whether the process has just resumed after a pause, so that datagrams may
  /// be old.
  bool IsResuming(Instant now) const;

 private:
  void Observe(Instant now);

  Micros min_pause_;
  Instant last_observed_at_;
  Instant resumed_at_;
  int ticks_since_pause_ = 0;
};

}  // namespace basilvalve::flow
