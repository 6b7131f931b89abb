// What the handling of calls needs to know of other instances.
#pragma once

#include <optional>
#include <vector>

#include "Core/Common/strong_id.h"
#include "Core/Membership/member_table.h"
#include "Core/Membership/region_table.h"

namespace basilvalve::gateway {

/// A view of this region's members and of the other regions. Implementations
/// are thread safe.
class ClusterView {
 public:
  virtual ~ClusterView() = default;
  /// Live members of this region with this instance, sorted by id. Thread safe.
  virtual std::vector<membership::MemberInfo> Live() const = 0;
  /// All members of this region but this one, dead ones too. Thread safe.
  virtual std::vector<membership::MemberView> Members() const = 0;
  /// A member of this region, or a contact in another. Thread safe.
  virtual std::optional<membership::MemberInfo> Find(
      const InstanceId& id) const = 0;
  /// Other regions heard of recently. Thread safe.
  virtual std::vector<membership::RegionView> ReachableRegions() const = 0;
  /// All other regions ever heard of. Thread safe.
  virtual std::vector<membership::RegionView> AllRegions() const = 0;
  /// An instance of another region to which a call can be forwarded; `turn`
  /// spreads calls over the contacts. Thread safe.
  virtual std::optional<membership::MemberInfo> PickContact(
      const RegionId& region, uint64_t rotation) const = 0;
  /// Tells the others that an upstream is leaving. Thread safe.
  virtual void AnnounceUpstreamLeaving(const UpstreamId& upstream) = 0;
};

}  // namespace basilvalve::gateway
