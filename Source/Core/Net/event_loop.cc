#include "Core/Net/event_loop.h"

#include <time.h>

#include <algorithm>

#include "Core/Net/event_loop_impl.h"

namespace basilvalve::net {
namespace {

// Upper bound on one read; a full socket buffer takes several.
constexpr size_t kScratchBytes = size_t{64} * 1024;
// Real time in which bytes sent on the loopback interface become readable.
constexpr Millis kLoopbackDelay{1};

void WaitForSignal(boost::asio::signal_set* signals,
                   const std::function<void(int)>& fn) {
  signals->async_wait(
      [signals, fn](const boost::system::error_code& ec, int number) {
        if (ec) {
          return;
        }
        fn(number);
        WaitForSignal(signals, fn);
      });
}

}  // namespace

EventLoop::EventLoop(TimeSource time_source)
    : impl_(std::make_unique<Impl>()), scratch_(kScratchBytes) {
  if (time_source == TimeSource::kVirtual) {
    impl_->virtual_clock.emplace();
    // Zero is the default of Instant and means "never" in many places.
    impl_->virtual_clock->Advance(Seconds(1000));
  }
}
EventLoop::~EventLoop() = default;

void EventLoop::Run() {
  auto work = boost::asio::make_work_guard(impl_->context);
  impl_->context.run();
}

bool EventLoop::RunOnVirtualTime(const std::function<bool()>& done,
                                 Millis timeout) {
  auto work = boost::asio::make_work_guard(impl_->context);
  Instant end = Now() + timeout;
  while (!done()) {
    if (impl_->context.run_one_for(kLoopbackDelay) > 0) {
      continue;
    }
    auto& timers = impl_->virtual_timers;
    if (timers.empty() || timers.begin()->first > end) {
      impl_->virtual_clock->Advance(end - Now());
      return done();
    }
    auto [due, fn] = std::move(*timers.begin());
    timers.erase(timers.begin());
    impl_->virtual_clock->Advance(std::max(Micros::zero(), due - Now()));
    fn();
  }
  return true;
}

bool EventLoop::RunUntil(const std::function<bool()>& done, Millis timeout) {
  if (impl_->virtual_clock) {
    return RunOnVirtualTime(done, timeout);
  }
  auto work = boost::asio::make_work_guard(impl_->context);
  Instant end = Now() + timeout;
  while (!done()) {
    Micros remaining = end - Now();
    if (remaining <= Micros::zero()) {
      return false;
    }
    impl_->context.run_one_for(remaining);
  }
  return true;
}

void EventLoop::SkipTime(Micros time) { impl_->virtual_clock->Advance(time); }

void EventLoop::Stop() { impl_->context.stop(); }

Instant EventLoop::Now() const {
  if (impl_->virtual_clock) {
    return impl_->virtual_clock->Now();
  }
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(Micros(int64_t{now.tv_sec} * 1'000'000 + now.tv_nsec / 1000));
}

void EventLoop::Post(std::function<void()> fn) {
  boost::asio::post(impl_->context, std::move(fn));
}

void EventLoop::OnSignal(const std::vector<int>& signals,
                         const std::function<void(int)>& fn) {
  impl_->signals = std::make_unique<boost::asio::signal_set>(impl_->context);
  for (int number : signals) {
    impl_->signals->add(number);
  }
  WaitForSignal(impl_->signals.get(), fn);
}

struct Timer::Impl {
  explicit Impl(EventLoop* event_loop)
      : loop(event_loop), timer(event_loop->impl().context) {}
  EventLoop* loop;
  boost::asio::steady_timer timer;
  std::function<void()> fn;
  // Lets a callback that is already queued detect that it was replaced.
  uint64_t generation = 0;
};

Timer::Timer(EventLoop* loop) : impl_(std::make_shared<Impl>(loop)) {}
Timer::~Timer() { Cancel(); }

void Timer::Set(Micros delay, std::function<void()> fn) {
  impl_->fn = std::move(fn);
  uint64_t generation = ++impl_->generation;
  delay = std::max(delay, Micros::zero());
  auto on_expired = [impl = impl_, generation] {
    if (generation != impl->generation || !impl->fn) {
      return;
    }
    auto expired = std::move(impl->fn);
    impl->fn = nullptr;
    expired();
  };
  EventLoop::Impl& loop = impl_->loop->impl();
  if (loop.virtual_clock) {
    loop.virtual_timers.emplace(impl_->loop->Now() + delay,
                                std::move(on_expired));
    return;
  }
  impl_->timer.expires_after(delay);
  impl_->timer.async_wait([on_expired = std::move(on_expired)](
                              const boost::system::error_code& ec) {
    if (!ec) {
      on_expired();
    }
  });
}

void Timer::Cancel() {
  ++impl_->generation;
  impl_->fn = nullptr;
  impl_->timer.cancel();
}

}  // namespace basilvalve::net
