#include "Core/Admission/breaker.h"

#include <algorithm>

namespace basilvalve::admission {

BreakerState Breaker::StateAt(Instant now) const {
  if (!open_) {
    return BreakerState::kClosed;
  }
  return now < half_open_at_ ? BreakerState::kOpen : BreakerState::kHalfOpen;
}

bool Breaker::Allows(Instant now) const {
  switch (StateAt(now)) {
    case BreakerState::kClosed:
      return true;
    case BreakerState::kOpen:
      return false;
    case BreakerState::kHalfOpen:
      return probes_in_flight_ < settings_.max_half_open_probes;
  }
  return false;
}

void Breaker::OnStart(Instant now) {
  if (StateAt(now) == BreakerState::kHalfOpen) {
    ++probes_in_flight_;
  }
}

void Breaker::OnSuccess() {
  open_ = false;
  consecutive_failures_ = 0;
  probes_in_flight_ = 0;
  open_duration_ = settings_.open_duration;
}

void Breaker::OnFailure(Instant now) {
  ++consecutive_failures_;
  if (open_) {
    // Calls in flight when the breaker opened must not extend its open
    // duration.
    bool probe_failed = now >= half_open_at_;
    if (!probe_failed) {
      return;
    }
    open_duration_ =
        std::min<Micros>(open_duration_ * 2, settings_.max_open_duration);
  } else if (consecutive_failures_ < settings_.failure_threshold) {
    return;
  }
  open_ = true;
  probes_in_flight_ = 0;
  half_open_at_ = now + open_duration_;
}

void Breaker::OnNeutral() {
  probes_in_flight_ = std::max(0, probes_in_flight_ - 1);
}

}  // namespace basilvalve::admission
