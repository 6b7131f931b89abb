#include "Core/Flow/pause_detector.h"

namespace basilvalve::flow {
namespace {

// Time in which the datagrams that waited in the socket are handled.
constexpr Millis kResumeTime{200};
// On a slow machine that may take longer. The event loop reads all datagrams
// that wait before it turns to the next round of timers.
constexpr int kResumeTicks = 2;

}  // namespace

void PauseDetector::Observe(Instant now) {
  if (last_observed_at_ != Instant() && now - last_observed_at_ > min_pause_) {
    resumed_at_ = now;
    ticks_since_pause_ = 0;
  }
  last_observed_at_ = now;
}

void PauseDetector::OnTick(Instant now) {
  Observe(now);
  ++ticks_since_pause_;
}

void PauseDetector::OnReceived(Instant now) { Observe(now); }

bool PauseDetector::IsResuming(Instant now) const {
  return resumed_at_ != Instant() &&
         (now - resumed_at_ < kResumeTime || ticks_since_pause_ < kResumeTicks);
}

bool PauseDetector::MayContainPause(Instant start) const {
  return resumed_at_ != Instant() && start < resumed_at_ + kResumeTime;
}

}  // namespace basilvalve::flow
