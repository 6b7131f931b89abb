// Fairness between customers on one instance.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>

#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::admission {

/// Bounds of an instance's calls in flight.
struct FairShareSettings {
  /// Calls in flight at most.
  int64_t capacity = 400;
  /// Above this share of the capacity a customer may not hold more than its
  /// fair share.
  double fair_share_threshold = 0.75;
};

/// Counts calls in flight by customer. Below `fair_share_threshold` everyone is
/// admitted; above it only customers that hold less than an equal share of the
/// capacity, so that one customer's storm leaves room for the others. Thread
/// safe.
class CustomerShares {
 public:
  explicit CustomerShares(const FairShareSettings& settings)
      : settings_(settings) {}

  /// Takes a place for a call. `concurrency_limit` bounds the customer's calls,
  /// 0 meaning no bound. Fails with kOverloaded or kCustomerLimit. Thread safe.
  Result<void> Enter(const CustomerId& customer, int64_t concurrency_limit);
  /// Gives the place back. Thread safe. Pre: Enter succeeded for the customer.
  void Leave(const CustomerId& customer);
  /// Calls in flight. Thread safe.
  int64_t InFlight() const;
  /// Share of the capacity in use, 0 to 100. Thread safe.
  uint8_t LoadPercent() const;

 private:
  FairShareSettings settings_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<CustomerId, int64_t> in_flight_;
  int64_t total_in_flight_ = 0;
};

}  // namespace basilvalve::admission
