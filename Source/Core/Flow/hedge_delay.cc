#include "Core/Flow/hedge_delay.h"

#include <algorithm>
#include <cmath>

namespace basilvalve::flow {
namespace {

constexpr double kQuantile = 0.95;
constexpr double kMinTargetShare = 0.3;
constexpr double kMaxTargetShare = 0.8;
// With fewer times, the quantile is hardly more than the longest of them.
constexpr double kMinTimes = 20;
// All counts are halved at this number, so that the quantile follows the last
// few hundred calls.
constexpr double kMaxTimes = 512;
constexpr double kFirstBoundUs = 1000;
constexpr double kBucketsPerDoubling = 4;

double UpperBoundUs(size_t bucket) {
  return kFirstBoundUs *
         std::exp2(static_cast<double>(bucket) / kBucketsPerDoubling);
}

}  // namespace

void HedgeDelay::OnFirstByte(const ServiceName& service, Micros took) {
  double us = std::max(kFirstBoundUs, static_cast<double>(took.count()));
  auto bucket = static_cast<size_t>(
      std::ceil(kBucketsPerDoubling * std::log2(us / kFirstBoundUs)));
  Histogram& histogram = by_service_[service];
  ++histogram.counts[std::min(bucket, kBuckets - 1)];
  ++histogram.total;
  if (histogram.total >= kMaxTimes) {
    for (double& count : histogram.counts) {
      count /= 2;
    }
    histogram.total /= 2;
  }
}

Micros HedgeDelay::DelayFor(const ServiceName& service, Millis target) const {
  auto target_us = static_cast<double>(Micros(target).count());
  double us = kMaxTargetShare * target_us;
  auto it = by_service_.find(service);
  if (it != by_service_.end() && it->second.total >= kMinTimes) {
    const Histogram& histogram = it->second;
    double seen = 0;
    size_t bucket = 0;
    while (bucket + 1 < kBuckets) {
      seen += histogram.counts[bucket];
      if (seen >= kQuantile * histogram.total) {
        break;
      }
      ++bucket;
    }
    us = std::clamp(UpperBoundUs(bucket), kMinTargetShare * target_us,
                    kMaxTargetShare * target_us);
  }
  return Micros(static_cast<int64_t>(us));
}

}  // namespace basilvalve::flow
