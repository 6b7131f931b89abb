// Fairness between customers on one instance.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>

#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::admission {

/// Bounds of an instance's calls in flight.
struct ShareSettings {
  /// Calls in flight at most.
  int64_t capacity = 400;
  /// Above this share of the capacity a customer may not hold more than its
  /// fair share.
  double fair_above = 0.75;
};

/// Counts calls in flight by customer. Below `fair_above` everyone is admitted;
/// above it only customers that hold less than an equal share of the capacity,
/// so that one customer's storm leaves room for the others. Thread safe.
class WorkspaceShares {
 public:
  explicit WorkspaceShares(const ShareSettings& settings)
      : settings_(settings) {}

  /// Takes a place for a call. `own_limit` bounds the customer's calls, 0
  /// meaning no bound. Fails with kOverloaded or kWorkspaceLimit. Thread safe.
  Result<void> Enter(const WorkspaceId& workspace, int64_t own_limit);
  /// Gives the place back. Thread safe. Pre: Enter succeeded for the customer.
  void Leave(const WorkspaceId& workspace);
  /// Calls in flight. Thread safe.
  int64_t InFlight() const;
  /// Share of the capacity in use, 0 to 100. Thread safe.
  uint8_t LoadPercent() const;

 private:
  ShareSettings settings_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<WorkspaceId, int64_t> in_flight_;
  int64_t total_ = 0;
};

}  // namespace basilvalve::admission
