// Time source behind a base class, so that decisions run on virtual time in
// tests.
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
  /// Time since an arbitrary start. Thread safe. Never goes backwards.
  virtual Instant Now() const = 0;
};

/// The machine's monotonic clock.
class SteadyClock : public Clock {
 public:
  Instant Now() const override;
};

/// A clock that moves only when told to.
class VirtualClock : public Clock {
 public:
  Instant Now() const override;
  /// Moves the clock forward. Thread safe. Pre: step is not negative.
  void Advance(Micros step);

 private:
  std::atomic<int64_t> micros_{0};
};

/// Milliseconds since the epoch, for incarnations and log lines only. Thread
/// safe.
uint64_t WallMillis();

}  // namespace basilvalve
