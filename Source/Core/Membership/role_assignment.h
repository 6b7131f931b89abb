// Which members of a region carry a shared duty, and how documents are passed
// on.
#pragma once

#include <string_view>
#include <vector>

#include "Core/Membership/control_message.h"

namespace basilvalve::membership {

/// Instances of a region that read the key-value service.
inline constexpr size_t kStoreReadersPerRegion = 2;
/// Instances of a region that send a summary to one other region in one round.
inline constexpr size_t kSummarySendersPerRegion = 1;
/// Instances to which each one passes a new document on.
inline constexpr size_t kRelayFanOut = 2;

/// Whether `self` is among the `count` members chosen for the duty. Members
/// that are draining or suspected are passed over while others are there.
/// Thread safe.
bool HasRole(const std::vector<MemberInfo>& live, const InstanceId& self,
             std::string_view duty, size_t count);

/// To whom `self` passes on a document that it has just put in force. The
/// members form a tree in the order of their hash for the document's name; an
/// instance that read it from the service (`is_reader`) feeds the root. Thread
/// safe.
std::vector<MemberInfo> RelayTargets(const std::vector<MemberInfo>& live,
                                     const InstanceId& self,
                                     std::string_view document, bool is_reader);

}  // namespace basilvalve::membership
