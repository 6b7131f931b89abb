// Interface to the other instances, as needed by call handling.
#pragma once

#include <optional>
#include <vector>

#include "Core/Common/strong_id.h"
#include "Core/Membership/member_table.h"
#include "Core/Membership/region_table.h"

namespace basilvalve::gateway {

/// Read access to the members of this region and to the other regions.
/// Implementations are thread safe.
class ClusterView {
 public:
  virtual ~ClusterView() = default;
  /// Alive and suspected members of this region, including this instance,
  /// sorted by id. Thread safe.
  virtual std::vector<membership::MemberInfo> Live() const = 0;
  /// All known members of this region except this instance, including dead
  /// ones. Thread safe.
  virtual std::vector<membership::MemberView> Members() const = 0;
  /// Finds a member of this region or a contact of another region; nullopt if
  /// the instance is unknown. Thread safe.
  virtual std::optional<membership::MemberInfo> Find(
      const InstanceId& id) const = 0;
  /// Other regions with a recent summary. Thread safe.
  virtual std::vector<membership::RegionView> ReachableRegions() const = 0;
  /// All other regions that ever sent a summary. Thread safe.
  virtual std::vector<membership::RegionView> AllRegions() const = 0;
  /// Picks an instance of another region to which a call can be forwarded;
  /// different values of `rotation` spread calls over the contacts. Returns
  /// nullopt if the region is unreachable. Thread safe.
  virtual std::optional<membership::MemberInfo> PickContact(
      const RegionId& region, uint64_t rotation) const = 0;
  /// Announces to the other members that an upstream is leaving. Thread safe.
  virtual void AnnounceUpstreamLeaving(const UpstreamId& upstream) = 0;
};

}  // namespace basilvalve::gateway
