#include "Core/Admission/concurrency_limit.h"

#include <algorithm>

namespace basilvalve::admission {
namespace {

// Below this utilization a met target is no evidence that the upstream could
// take more calls, so the limit does not increase.
constexpr double kMinUtilizationToIncrease = 0.5;

}  // namespace

void ConcurrencyLimit::OnResult(bool met_target, int64_t in_flight,
                                Instant now) {
  if (met_target) {
    bool in_use =
        static_cast<double>(in_flight) >= limit_ * kMinUtilizationToIncrease;
    if (in_use) {
      limit_ = std::min(settings_.max, limit_ + 1.0 / limit_);
    }
    return;
  }
  bool recent = last_decrease_ != Instant() &&
                now - last_decrease_ < settings_.decrease_interval;
  if (recent) {
    return;
  }
  last_decrease_ = now;
  limit_ = std::max(settings_.min, limit_ * settings_.decrease_factor);
}

}  // namespace basilvalve::admission
