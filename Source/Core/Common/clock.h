// Clock interface and implementations. Time-dependent code takes a Clock, so
// that tests can run it on virtual time.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace basilvalve {

using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Micros>;

/// A monotonic clock. Implementations are thread safe.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Time since an arbitrary epoch; never decreases. Thread safe.
  virtual Instant Now() const = 0;
};

/// The operating system's monotonic clock.
class SteadyClock : public Clock {
 public:
  Instant Now() const override;
};

/// A clock that moves only through Advance, for tests and simulations.
class VirtualClock : public Clock {
 public:
  Instant Now() const override;
  /// Moves the clock forward. Thread safe. Pre: step is not negative.
  void Advance(Micros step);

 private:
  std::atomic<int64_t> micros_{0};
};

/// Wall-clock milliseconds since the Unix epoch, for values that are compared
/// across restarts, such as incarnations. Not monotonic. Thread safe.
uint64_t WallMillis();

}  // namespace basilvalve
