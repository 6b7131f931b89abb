// Fair sharing of one instance's capacity between workspaces.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>

#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::admission {

/// Limits on the calls in flight at one instance.
struct FairShareSettings {
  /// Maximum calls in flight.
  int64_t capacity = 400;
  /// Utilization, 0 to 1, from which each workspace is limited to its fair
  /// share.
  double fair_share_threshold = 0.75;
};

/// Counts calls in flight by workspace. Below `fair_share_threshold` every call
/// is admitted; above it only calls of workspaces that use less than an equal
/// share of the capacity, so that a burst from one workspace does not starve
/// the others. Thread safe.
class WorkspaceShares {
 public:
  explicit WorkspaceShares(const FairShareSettings& settings)
      : settings_(settings) {}

  /// Admits a call and counts it as in flight. `concurrency_limit` bounds the
  /// workspace's calls in flight; 0 means no bound. Fails with kOverloaded if
  /// the instance is at capacity, or with kWorkspaceLimit if the workspace is
  /// at its limit or fair share. Thread safe.
  Result<void> Admit(const WorkspaceId& workspace, int64_t concurrency_limit);
  /// Ends a call that Admit admitted. Thread safe. Pre: Admit succeeded for the
  /// workspace.
  void Release(const WorkspaceId& workspace);
  /// Calls in flight of all workspaces. Thread safe.
  int64_t InFlight() const;
  /// Utilization of the capacity in percent, 0 to 100. Thread safe.
  uint8_t LoadPercent() const;

 private:
  FairShareSettings settings_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<WorkspaceId, int64_t> in_flight_;
  int64_t total_in_flight_ = 0;
};

}  // namespace basilvalve::admission
