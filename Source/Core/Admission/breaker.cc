#include "Core/Admission/breaker.h"

#include <algorithm>

namespace basilvalve::admission {

BreakerState Breaker::StateAt(Instant now) const {
  if (!open_) {
    return BreakerState::kClosed;
  }
  return now < reopen_at_ ? BreakerState::kOpen : BreakerState::kHalfOpen;
}

bool Breaker::Allows(Instant now) const {
  switch (StateAt(now)) {
    case BreakerState::kClosed:
      return true;
    case BreakerState::kOpen:
      return false;
    case BreakerState::kHalfOpen:
      return probes_ < settings_.max_half_open_probes;
  }
  return false;
}

void Breaker::OnStart(Instant now) {
  if (StateAt(now) == BreakerState::kHalfOpen) {
    ++probes_;
  }
}

void Breaker::OnSuccess() {
  open_ = false;
  failures_ = 0;
  probes_ = 0;
  open_time_ = settings_.open_duration;
}

void Breaker::OnFailure(Instant now) {
  ++failures_;
  if (open_) {
    // Calls that were on their way when it opened must not lengthen the open
    // time.
    bool probe_failed = now >= reopen_at_;
    if (!probe_failed) {
      return;
    }
    open_time_ = std::min<Micros>(open_time_ * 2, settings_.max_open_duration);
  } else if (failures_ < settings_.failure_threshold) {
    return;
  }
  open_ = true;
  probes_ = 0;
  reopen_at_ = now + open_time_;
}

void Breaker::OnNeutral() { probes_ = std::max(0, probes_ - 1); }

}  // namespace basilvalve::admission
