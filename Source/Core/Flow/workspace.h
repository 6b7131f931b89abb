// A workspace: whom a caller's key belongs to, and what its calls may use.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Core/Common/strong_id.h"

namespace basilvalve::flow {

/// Whether data that may reside in `allowed` may go to the region; an empty
/// list permits all. Thread safe.
inline bool PermitsRegion(const std::vector<RegionId>& allowed,
                          const RegionId& region) {
  return allowed.empty() ||
         std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

/// Lowest priority that a workspace may have.
inline constexpr int kMaxWorkspacePriority = 1000;

/// Limit on the tokens that the calls of a workspace use, over all instances
/// together.
struct TokenQuota {
  double tokens_per_second = 0;
  double burst_tokens = 0;
  /// Tokens that a call without stated sizes counts as.
  uint32_t plain_call_tokens = 0;
  /// Whether each call counts as one unit, whatever its tokens.
  bool counts_calls = false;
};

/// One workspace of a desired state.
struct Workspace {
  WorkspaceId name;
  /// Secrets; never logged and never sent to upstreams or other instances.
  std::vector<std::string> keys;
  /// Orders calls before the priority of their routes; 0 is the most urgent,
  /// kMaxWorkspacePriority the least.
  int priority = 0;
  /// nullopt: no limit.
  std::optional<TokenQuota> quota;
  /// Regions in which its data may reside; empty permits all.
  std::vector<RegionId> allowed_regions;

  /// Whether data residency permits upstreams of the region. Thread safe.
  bool Permits(const RegionId& region) const {
    return PermitsRegion(allowed_regions, region);
  }
};

}  // namespace basilvalve::flow
