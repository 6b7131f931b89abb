// Budget that keeps retries from multiplying load.
#pragma once

#include <array>
#include <map>
#include <mutex>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::admission {

/// Rates of the budget.
struct RetryBudgetSettings {
  /// Retries allowed for each first attempt.
  double ratio = 0.1;
  /// Most retries that can be saved up.
  double burst = 10;
  /// Retries that a quiet service gets in a second all the same.
  double min_per_second = 0.5;
};

/// One token bucket for each service, filled by first attempts. Sharded by
/// service, each shard under its own lock. Thread safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings)
      : settings_(settings) {}

  /// Counts a first attempt. Thread safe.
  void OnFirstAttempt(const ServiceName& service, Instant now);
  /// Takes one retry out of the budget; false if there is none. Thread safe.
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
