#include "Core/Net/event_loop.h"

#include <time.h>

#include "Core/Net/event_loop_impl.h"

namespace basilvalve::net {
namespace {

// Upper bound on one read; a full socket buffer takes several.
constexpr size_t kScratchBytes = size_t{64} * 1024;

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

EventLoop::EventLoop()
    : impl_(std::make_unique<Impl>()), scratch_(kScratchBytes) {}
EventLoop::~EventLoop() = default;

void EventLoop::Run() {
  auto work = boost::asio::make_work_guard(impl_->context);
  impl_->context.run();
}

bool EventLoop::RunUntil(const std::function<bool()>& done, Millis timeout) {
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

void EventLoop::Stop() { impl_->context.stop(); }

Instant EventLoop::Now() const {
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
  explicit Impl(EventLoop* loop) : timer(loop->impl().context) {}
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
  impl_->timer.expires_after(delay < Micros::zero() ? Micros::zero() : delay);
  impl_->timer.async_wait(
      [impl = impl_, generation](const boost::system::error_code& ec) {
        if (ec || generation != impl->generation || !impl->fn) {
          return;
        }
        auto fn = std::move(impl->fn);
        impl->fn = nullptr;
        fn();
      });
}

void Timer::Cancel() {
  ++impl_->generation;
  impl_->fn = nullptr;
  impl_->timer.cancel();
}

}  // namespace basilvalve::net
