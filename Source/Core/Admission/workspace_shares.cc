#include "Core/Admission/workspace_shares.h"

#include <algorithm>

namespace basilvalve::admission {
namespace {

constexpr int64_t kPercent = 100;

}  // namespace

Result<void> WorkspaceShares::Admit(const WorkspaceId& workspace,
                                    int64_t concurrency_limit) {
  std::lock_guard lock(mutex_);
  if (total_in_flight_ >= settings_.capacity) {
    return Fail(ResultCode::kOverloaded,
                "the instance is at its capacity of calls in flight");
  }
  auto it = in_flight_.find(workspace);
  int64_t workspace_in_flight = it == in_flight_.end() ? 0 : it->second;
  if (concurrency_limit > 0 && workspace_in_flight >= concurrency_limit) {
    return Fail(ResultCode::kWorkspaceLimit,
                "the document's concurrency limit is reached");
  }
  auto active_workspaces = static_cast<int64_t>(in_flight_.size()) +
                           (workspace_in_flight == 0 ? 1 : 0);
  double utilization = static_cast<double>(total_in_flight_) /
                       static_cast<double>(settings_.capacity);
  // The capacity is divided by one more than the active workspaces, which
  // reserves capacity for a workspace that has no calls yet.
  int64_t fair_share =
      std::max<int64_t>(1, settings_.capacity / (active_workspaces + 1));
  if (utilization >= settings_.fair_share_threshold &&
      workspace_in_flight >= fair_share) {
    return Fail(ResultCode::kWorkspaceLimit,
                "the workspace already uses its fair share of the capacity");
  }
  ++in_flight_[workspace];
  ++total_in_flight_;
  return {};
}

void WorkspaceShares::Release(const WorkspaceId& workspace) {
  std::lock_guard lock(mutex_);
  auto it = in_flight_.find(workspace);
  if (it == in_flight_.end()) {
    return;
  }
  --total_in_flight_;
  if (--it->second == 0) {
    in_flight_.erase(it);
  }
}

int64_t WorkspaceShares::InFlight() const {
  std::lock_guard lock(mutex_);
  return total_in_flight_;
}

uint8_t WorkspaceShares::LoadPercent() const {
  std::lock_guard lock(mutex_);
  return static_cast<uint8_t>(
      std::min(kPercent, total_in_flight_ * kPercent / settings_.capacity));
}

}  // namespace basilvalve::admission
