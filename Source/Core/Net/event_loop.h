// The one thread that carries all traffic and control of an instance.
#pragma once

#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "Core/Common/clock.h"

namespace basilvalve::net {

/// Runs callbacks of sockets and timers on the thread that calls Run. Time is
/// the machine's boot time, which also counts while the machine is suspended.
/// Not thread safe, but for Post, Stop and Now.
class EventLoop : public Clock {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Serves until Stop is called. Not thread safe.
  void Run();
  /// Serves until `done` holds or `most` has passed; returns whether it holds.
  /// For tests and tools. Not thread safe.
  bool RunUntil(const std::function<bool()>& done, Millis timeout);
  /// Makes Run return after the current callback. Thread safe.
  void Stop();
  /// Boot time. Thread safe.
  Instant Now() const override;
  /// Calls `fn` once, from the loop, after the callbacks that run now. Thread
  /// safe.
  void Post(std::function<void()> fn);
  /// Calls `fn` for each of the signals. Not thread safe. Call once.
  void OnSignal(const std::vector<int>& signals,
                const std::function<void(int)>& fn);
  /// Memory that one read may use until its callback returns; shared by all
  /// connections, so that idle ones hold none. Not thread safe.
  std::span<char> scratch() { return scratch_; }

  struct Impl;
  /// For the other classes of this module. Not thread safe.
  Impl& impl() { return *impl_; }

 private:
  std::unique_ptr<Impl> impl_;
  std::vector<char> scratch_;
};

/// A timer that runs a callback once; destroying it cancels it. Not thread
/// safe.
class Timer {
 public:
  explicit Timer(EventLoop* loop);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Replaces what was set before. Not thread safe.
  void Set(Micros delay, std::function<void()> fn);
  /// Nothing is called any more. Not thread safe.
  void Cancel();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace basilvalve::net
