// Assigns roles to members of a region by rendezvous hashing, and selects the
// members to which a new document is relayed.
#pragma once

#include <string_view>
#include <vector>

#include "Core/Membership/control_message.h"

namespace basilvalve::membership {

/// Number of instances per region that read the key-value store.
inline constexpr size_t kStoreReadersPerRegion = 2;
/// Number of instances per region that send a summary to one other region in
/// each round.
inline constexpr size_t kSummarySendersPerRegion = 1;
/// Number of members to which each member relays a new document.
inline constexpr size_t kRelayFanOut = 2;

/// Whether `self` is one of the `count` members chosen for `role`. Draining and
/// suspected members are chosen only if there are no others. Thread safe.
bool HasRole(const std::vector<MemberInfo>& live, const InstanceId& self,
             std::string_view role, size_t count);

/// Members to which `self` relays a document after activating it. The members
/// form a tree ordered by their hash for the document's name. An instance that
/// read the document from the store (`is_store_reader`) also sends it to the
/// members at the top of the tree. Thread safe.
std::vector<MemberInfo> RelayTargets(const std::vector<MemberInfo>& live,
                                     const InstanceId& self,
                                     std::string_view document,
                                     bool is_store_reader);

}  // namespace basilvalve::membership
