#include "Core/Membership/role_assignment.h"

#include <algorithm>

#include "Core/Platform/rendezvous.h"

namespace basilvalve::membership {
namespace {

std::vector<std::string> IdsOf(const std::vector<MemberInfo>& members,
                               bool only_healthy) {
  std::vector<std::string> ids;
  for (const MemberInfo& it : members) {
    bool healthy = it.state == MemberState::kAlive && !it.draining;
    if (healthy || !only_healthy) {
      ids.push_back(it.id.value());
    }
  }
  return ids;
}

}  // namespace

bool HasRole(const std::vector<MemberInfo>& live, const InstanceId& self,
             std::string_view role, size_t count) {
  std::vector<std::string> ids = IdsOf(live, /*only_healthy=*/true);
  if (ids.empty()) {
    ids = IdsOf(live, /*only_healthy=*/false);
  }
  return platform::IsChosen(ids, self.value(), role, count);
}

std::vector<MemberInfo> RelayTargets(const std::vector<MemberInfo>& live,
                                     const InstanceId& self,
                                     std::string_view document,
                                     bool is_store_reader) {
  std::vector<std::string> order = platform::ChooseMembers(
      IdsOf(live, /*only_healthy=*/false), document, live.size());
  auto it = std::find(order.begin(), order.end(), self.value());
  auto position = static_cast<size_t>(it - order.begin());
  size_t first = is_store_reader ? 0 : kRelayFanOut * (position + 1);
  std::vector<MemberInfo> targets;
  for (size_t i = first; i < std::min(first + kRelayFanOut, order.size());
       ++i) {
    auto member = std::find_if(
        live.begin(), live.end(),
        [&](const MemberInfo& info) { return info.id.value() == order[i]; });
    if (order[i] != self.value()) {
      targets.push_back(*member);
    }
  }
  // A store reader sends the document to its own children in the tree as well.
  if (is_store_reader) {
    std::vector<MemberInfo> children =
        RelayTargets(live, self, document, /*is_store_reader=*/false);
    targets.insert(targets.end(), children.begin(), children.end());
  }
  return targets;
}

}  // namespace basilvalve::membership
