#include "Core/Routing/link_budget.h"

#include <algorithm>

namespace basilvalve::routing {
namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

bool LinkBudget::TryTake(const RegionId& region, double bytes, Instant now) {
  double rate = settings_.bytes_per_second * settings_.share / instances_;
  double burst = rate * settings_.burst_seconds;
  Bucket& bucket = buckets_[region];
  if (!bucket.initialized) {
    bucket = {burst, now, true};
  }
  double seconds = static_cast<double>((now - bucket.last_refill).count()) /
                   kMicrosPerSecond;
  bucket.bytes = std::min(burst, bucket.bytes + rate * seconds);
  bucket.last_refill = now;
  if (bucket.bytes < bytes) {
    return false;
  }
  bucket.bytes -= bytes;
  return true;
}

Micros LinkBudget::TransferTime(double bytes) const {
  return Micros(static_cast<int64_t>(bytes / settings_.bytes_per_second *
                                     kMicrosPerSecond));
}

}  // namespace basilvalve::routing
