#include "Core/Flow/slowness.h"

#include <algorithm>

namespace basilvalve::flow {
namespace {

// Machines are shared for periods of some hundred milliseconds, so that an
// older report says little about the present one.
constexpr Millis kFullWeightTime{300};
constexpr Millis kDecayTime{1000};
// Without reports for this long, the machine may be another one.
constexpr Seconds kLifetime{60};
// Weight of one report in the mean; it settles after some dozens.
constexpr double kMeanWeight = 0.05;

}  // namespace

void Slowness::OnReport(double slowness, Instant now) {
  latest_ = std::clamp(slowness, kMin, kMax);
  mean_ = mean_ ? *mean_ + kMeanWeight * (latest_ - *mean_) : latest_;
  at_ = now;
}

double Slowness::At(Instant now) const {
  if (!mean_ || now - at_ > kLifetime) {
    return 1;
  }
  double decayed =
      std::clamp(static_cast<double>((now - at_ - kFullWeightTime).count()) /
                     static_cast<double>(Micros(kDecayTime).count()),
                 0.0, 1.0);
  return latest_ + decayed * (*mean_ - latest_);
}

}  // namespace basilvalve::flow
