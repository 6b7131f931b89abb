#include "Core/Admission/workspace_shares.h"

#include <algorithm>

namespace basilvalve::admission {
namespace {

constexpr int64_t kPercent = 100;

}  // namespace

Result<void> WorkspaceShares::Enter(const WorkspaceId& workspace,
                                    int64_t own_limit) {
  std::lock_guard lock(mutex_);
  if (total_ >= settings_.capacity) {
    return Fail(ResultCode::kOverloaded, "the instance is full");
  }
  auto it = in_flight_.find(workspace);
  int64_t held = it == in_flight_.end() ? 0 : it->second;
  if (own_limit > 0 && held >= own_limit) {
    return Fail(ResultCode::kWorkspaceLimit,
                "the document's concurrency limit is reached");
  }
  auto active = static_cast<int64_t>(in_flight_.size()) + (held == 0 ? 1 : 0);
  double used =
      static_cast<double>(total_) / static_cast<double>(settings_.capacity);
  // One place is kept for a customer that is not here yet, so that it can come
  // in.
  int64_t fair_share = std::max<int64_t>(1, settings_.capacity / (active + 1));
  if (used >= settings_.fair_above && held >= fair_share) {
    return Fail(ResultCode::kWorkspaceLimit,
                "the customer holds its fair share already");
  }
  ++in_flight_[workspace];
  ++total_;
  return {};
}

void WorkspaceShares::Leave(const WorkspaceId& workspace) {
  std::lock_guard lock(mutex_);
  auto it = in_flight_.find(workspace);
  if (it == in_flight_.end()) {
    return;
  }
  --total_;
  if (--it->second == 0) {
    in_flight_.erase(it);
  }
}

int64_t WorkspaceShares::InFlight() const {
  std::lock_guard lock(mutex_);
  return total_;
}

uint8_t WorkspaceShares::LoadPercent() const {
  std::lock_guard lock(mutex_);
  return static_cast<uint8_t>(
      std::min(kPercent, total_ * kPercent / settings_.capacity));
}

}  // namespace basilvalve::admission
