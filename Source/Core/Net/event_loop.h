// Single-threaded event loop for sockets, timers and signals.
#pragma once

#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "Core/Common/clock.h"

namespace basilvalve::net {

/// Which time a loop's clock and timers follow.
enum class TimeSource {
  /// CLOCK_BOOTTIME, which also advances while the machine is suspended.
  kSystem,
  /// Advances to the next timer once no socket of the process is ready. For
  /// tests whose sockets all belong to this loop.
  kVirtual,
};

/// Runs the callbacks of sockets and timers on the thread that calls Run. Not
/// thread safe, except for Post, Stop and Now.
class EventLoop : public Clock {
 public:
  explicit EventLoop(TimeSource time_source = TimeSource::kSystem);
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs callbacks until Stop is called. Pre: not on virtual time. Not thread
  /// safe.
  void Run();
  /// Runs callbacks until `done` returns true or `timeout` has passed; returns
  /// whether `done` returned true. For tests and tools. Not thread safe.
  bool RunUntil(const std::function<bool()>& done, Millis timeout);
  /// Moves virtual time on without running callbacks, as if the process had
  /// been frozen. Pre: on virtual time. Not thread safe.
  void SkipTime(Micros time);
  /// Makes Run return after the current callback. Thread safe.
  void Stop();
  /// The time of the loop's time source. Thread safe.
  Instant Now() const override;
  /// Queues `fn` to run once on the loop thread, after the current callback.
  /// Thread safe.
  void Post(std::function<void()> fn);
  /// Calls `fn` with the signal number each time one of `signals` is received.
  /// Call once. Not thread safe.
  void OnSignal(const std::vector<int>& signals,
                const std::function<void(int)>& fn);
  /// Read buffer shared by all connections, so that idle ones need none. Valid
  /// until the current callback returns. Not thread safe.
  std::span<char> scratch() { return scratch_; }

  struct Impl;
  /// Access for the other classes of this module. Not thread safe.
  Impl& impl() { return *impl_; }

 private:
  bool RunOnVirtualTime(const std::function<bool()>& done, Millis timeout);

  std::unique_ptr<Impl> impl_;
  std::vector<char> scratch_;
};

/// A one-shot timer; destroying it cancels it. Not thread safe.
class Timer {
 public:
  explicit Timer(EventLoop* loop);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Calls `fn` after `delay`, replacing any earlier callback. A negative delay
  /// counts as zero. Not thread safe.
  void Set(Micros delay, std::function<void()> fn);
  /// Cancels the pending callback, even one that is already queued. Not thread
  /// safe.
  void Cancel();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace basilvalve::net
