// Retry budget that keeps retries from amplifying an overload.
#pragma once

#include <array>
#include <map>
#include <mutex>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::admission {

/// Refill rates and size of the retry budget.
struct RetryBudgetSettings {
  /// Retries earned by each first attempt.
  double ratio = 0.1;
  /// Maximum number of unused retries a service can accumulate.
  double burst = 10;
  /// Retries earned per second regardless of traffic, so that a service with
  /// few calls can retry too.
  double min_per_second = 0.5;
};

/// One token bucket per service, refilled by first attempts and over time.
/// Sharded by service, with one lock per shard. Thread safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings)
      : settings_(settings) {}

  /// Credits the budget for a first attempt. Thread safe.
  void OnFirstAttempt(const ServiceName& service, Instant now);
  /// Spends one retry; returns false if the budget is exhausted. Thread safe.
  bool TryTake(const ServiceName& service, Instant now);

 private:
  struct Bucket {
    double tokens = 0;
    Instant last_refill;
    bool initialized = false;
  };
  struct Shard {
    std::mutex mutex;
    // Guarded by mutex.
    std::map<ServiceName, Bucket> buckets;
  };

  static constexpr size_t kShards = 8;

  Shard& ShardOf(const ServiceName& service);
  void Refill(Bucket* bucket, Instant now) const;

  RetryBudgetSettings settings_;
  std::array<Shard, kShards> shards_;
};

}  // namespace basilvalve::admission
