#include "Core/Admission/retry_budget.h"

#include <algorithm>

namespace basilvalve::admission {
namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

RetryBudget::Shard& RetryBudget::ShardOf(const ServiceName& service) {
  return shards_[std::hash<ServiceName>()(service) % kShards];
}

void RetryBudget::Refill(Bucket* bucket, Instant now) const {
  if (!bucket->initialized) {
    bucket->initialized = true;
    bucket->tokens = settings_.burst;
    bucket->last_refill = now;
    return;
  }
  double seconds = static_cast<double>((now - bucket->last_refill).count()) /
                   kMicrosPerSecond;
  bucket->tokens = std::min(
      settings_.burst, bucket->tokens + seconds * settings_.min_per_second);
  bucket->last_refill = now;
}

void RetryBudget::OnFirstAttempt(const ServiceName& service, Instant now) {
  Shard& shard = ShardOf(service);
  std::lock_guard lock(shard.mutex);
  Bucket& bucket = shard.buckets[service];
  Refill(&bucket, now);
  bucket.tokens = std::min(settings_.burst, bucket.tokens + settings_.ratio);
}

bool RetryBudget::TryTake(const ServiceName& service, Instant now) {
  Shard& shard = ShardOf(service);
  std::lock_guard lock(shard.mutex);
  Bucket& bucket = shard.buckets[service];
  Refill(&bucket, now);
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

}  // namespace basilvalve::admission
