#include "Core/Flow/service_time.h"

#include <algorithm>
#include <cmath>

namespace basilvalve::flow {
namespace {

constexpr uint32_t kReliableSamples = 8;
// A process that was suspended answers all of its calls late at once. The bound
// keeps these from replacing the average.
constexpr double kMaxSampleFactor = 4;
constexpr Millis kHoldTime{1000};
constexpr double kHalfLifeUs = 1'000'000;

}  // namespace

void ServiceTime::Learn(double us, double usual_us, Instant now) {
  us = std::max(us, 1.0);
  if (samples_ == 0) {
    us_ = us;
  } else {
    double expected = At(usual_us, now);
    us_ = expected +
          weight_ * (std::min(us, kMaxSampleFactor * expected) - expected);
  }
  samples_ = std::min(samples_ + 1, kReliableSamples);
  at_ = now;
}

double ServiceTime::At(double usual_us, Instant now) const {
  if (samples_ == 0) {
    return usual_us;
  }
  if (us_ <= usual_us) {
    return us_;
  }
  auto age = static_cast<double>(
      std::max(now - at_ - kHoldTime, Micros::zero()).count());
  return usual_us + (us_ - usual_us) * std::exp2(-age / kHalfLifeUs);
}

bool ServiceTime::is_reliable() const { return samples_ >= kReliableSamples; }

}  // namespace basilvalve::flow
