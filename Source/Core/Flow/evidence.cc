#include "Core/Flow/evidence.h"

#include <algorithm>
#include <cmath>

namespace basilvalve::flow {
namespace {

// Longer than an interval between events, shorter than callers wait to retry.
constexpr Millis kHoldTime{1000};
constexpr double kHalfLifeUs = 1'000'000;

}  // namespace

double Evidence::OnSample(bool replaces_mean, double min_weight, Instant now) {
  samples_ = replaces_mean ? 1 : std::min(samples_ + 1, kManySamples);
  measured_at_ = now;
  return std::max(min_weight, 1.0 / samples_);
}

bool Evidence::IsRecent(Instant now) const {
  return measured_at_ != Instant() && now - measured_at_ <= kHoldTime;
}

double Evidence::ConfidenceAt(Instant now) {
  if (measured_at_ == Instant() && trial_at_ == Instant()) {
    trial_at_ = now;
  }
  Instant since = std::max(measured_at_, trial_at_);
  auto age = static_cast<double>((now - since - kHoldTime).count());
  return std::exp2(-std::max(0.0, age) / kHalfLifeUs);
}

}  // namespace basilvalve::flow
