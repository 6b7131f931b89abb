// Detects that the process did not run for a while.
#pragma once

#include "Core/Common/clock.h"

namespace basilvalve::flow {

/// Tells whether bytes may have waited in a socket while the process was
/// frozen, so that they say nothing about times. Takes the time as an argument.
/// Not thread safe.
class PauseDetector {
 public:
  /// How often OnTick has to be called.
  static constexpr Millis kTickInterval{100};

  /// `min_pause`: shorter pauses are not detected. Pre: longer than
  /// kTickInterval.
  explicit PauseDetector(Micros min_pause) : min_pause_(min_pause) {}

  /// To be called by a timer.
  void OnTick(Instant now);
  /// To be called when bytes arrive: they may be handled before the timer that
  /// a pause has delayed.
  void OnReceived(Instant now);
  /// Whether the process has just resumed after a pause, so that datagrams may
  /// be old.
  bool IsResuming(Instant now) const;
  /// Whether a time measured from `start` until now may contain a pause.
  /// Bytes that waited in sockets are handled in quick succession, so a time
  /// that starts just after a pause says nothing either.
  bool MayContainPause(Instant start) const;

 private:
  void Observe(Instant now);

  Micros min_pause_;
  Instant last_observed_at_;
  Instant resumed_at_;
  int ticks_since_pause_ = 0;
};

}  // namespace basilvalve::flow
