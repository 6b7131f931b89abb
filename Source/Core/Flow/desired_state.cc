#include "Core/Flow/desired_state.h"

#include <algorithm>

namespace basilvalve::flow {

bool Route::IsRetryable() const {
  return kind == CallKind::kIdempotent ||
         (kind == CallKind::kStream && is_resumable);
}

bool Route::Permits(const RegionId& region) const {
  return PermitsRegion(allowed_regions, region);
}

const ServiceName& Route::ServiceFor(uint64_t call_hash) const {
  uint64_t total = 0;
  for (const ServiceShare& share : shares) {
    total += share.weight;
  }
  if (total == 0) {
    return shares.front().service;
  }
  uint64_t at = call_hash % total;
  for (const ServiceShare& share : shares) {
    if (at < share.weight) {
      return share.service;
    }
    at -= share.weight;
  }
  return shares.back().service;
}

DesiredState::DesiredState(uint64_t version, std::vector<Route> routes,
                           std::map<ServiceName, ServiceTraits> services,
                           IngressLimits limits,
                           std::vector<Workspace> workspaces)
    : version_(version), services_(std::move(services)), limits_(limits) {
  for (Route& route : routes) {
    auto shared = std::make_shared<const Route>(std::move(route));
    by_host_[shared->host].push_back(shared);
    routes_.push_back(std::move(shared));
  }
  for (auto& [host, list] : by_host_) {
    std::stable_sort(list.begin(), list.end(),
                     [](const auto& left, const auto& right) {
                       return left->prefix.size() > right->prefix.size();
                     });
  }
  // Only the order of the priorities counts. The most urgent one becomes 0, so
  // that the calls of a fleet whose workspaces all share a priority keep the
  // order and the urgency that their routes give them.
  auto top = std::min_element(workspaces.begin(), workspaces.end(),
                              [](const auto& left, const auto& right) {
                                return left.priority < right.priority;
                              });
  int top_priority = top == workspaces.end() ? 0 : top->priority;
  for (Workspace& workspace : workspaces) {
    workspace.priority -= top_priority;
    auto shared = std::make_shared<const Workspace>(std::move(workspace));
    for (const std::string& key : shared->keys) {
      by_key_.emplace(key, shared);
    }
    workspaces_.push_back(std::move(shared));
  }
}

std::shared_ptr<const Workspace> DesiredState::Authenticate(
    std::string_view key) const {
  auto it = by_key_.find(std::string(key));
  return it == by_key_.end() ? nullptr : it->second;
}

std::shared_ptr<const Route> DesiredState::Match(std::string_view host,
                                                 std::string_view path) const {
  auto it = by_host_.find(std::string(host));
  if (it == by_host_.end()) {
    return nullptr;
  }
  for (const auto& route : it->second) {
    if (path.starts_with(route->prefix)) {
      return route;
    }
  }
  return nullptr;
}

bool DesiredState::HostPermits(std::string_view host,
                               const RegionId& region) const {
  auto it = by_host_.find(std::string(host));
  return it == by_host_.end() ||
         std::all_of(it->second.begin(), it->second.end(),
                     [&](const auto& route) { return route->Permits(region); });
}

const ServiceTraits* DesiredState::TraitsOf(const ServiceName& service) const {
  auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second;
}

}  // namespace basilvalve::flow
