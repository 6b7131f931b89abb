// The desired state set by the operators: routes, services and limits, as one
// immutable table per version.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"
#include "Core/Flow/workspace.h"

namespace basilvalve::flow {

using DataCentreId = StrongString<struct DataCentreTag>;

/// Retry semantics of a call. A stream may be retried only if its route is
/// resumable.
enum class CallKind { kIdempotent, kNonIdempotent, kStream };

/// A service with its weight in a route's traffic split.
struct ServiceShare {
  ServiceName service;
  uint32_t weight = 1;
};

/// A route: the host and path prefix that it matches, and the objectives,
/// limits and retry rules of its calls.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  CallKind kind = CallKind::kNonIdempotent;
  /// Upper bound on the time that a caller waits.
  Millis timeout{0};
  /// Response-time objective; for streams, the time to the first event.
  Millis target{0};
  /// Objective for the time between two events of a stream.
  Millis event_interval_target{0};
  /// Rank of the route among those of a service; 0 is the most urgent.
  /// Statistics are kept per service and rank.
  int priority = 0;
  std::vector<ServiceShare> shares;
  int max_attempts = 1;
  /// Whether an interrupted stream may be resumed at another upstream.
  bool is_resumable = false;
  /// Regions in which the data may reside; empty permits all.
  std::vector<RegionId> allowed_regions;
  /// Whether callers need no key, also if the desired state has workspaces.
  bool is_anonymous = false;

  /// Whether a call may be retried after an upstream may have executed it.
  /// Thread safe.
  bool IsRetryable() const;
  /// Whether data residency permits upstreams of the region. Thread safe.
  bool Permits(const RegionId& region) const;
  /// Picks a service by weight; the same hash always gives the same service.
  /// Pre: `shares` is not empty. Thread safe.
  const ServiceName& ServiceFor(uint64_t call_hash) const;
};

/// Properties that all upstreams of a service have in common.
struct ServiceTraits {
  /// Requests per second that a cold upstream tolerates; 0 if the service needs
  /// no warm-up.
  double cold_requests_per_second = 0;
  /// Requests that a model engine runs concurrently; 0 for a plain service.
  uint32_t batch_slots = 0;
  /// Capacity of a model engine's KV cache, in tokens.
  uint64_t memory_tokens = 0;
  /// Whether engines can copy cached prompt parts from each other.
  bool supports_prompt_copy = false;
  /// Tokens in one event of a stream.
  uint32_t tokens_per_event = 1;
};

/// Limits on the size and duration of incoming requests.
struct IngressLimits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = uint64_t{4} * 1024 * 1024;
  Millis header_timeout{3000};
  Millis idle_timeout{15000};
};

/// One version of the desired state. Immutable once shared; thread safe for
/// readers.
class DesiredState {
 public:
  /// Indexes the routes by host and the workspaces by key. A key that several
  /// workspaces have belongs to the first one.
  DesiredState(uint64_t version, std::vector<Route> routes,
               std::map<ServiceName, ServiceTraits> services,
               IngressLimits limits, std::vector<Workspace> workspaces = {});

  uint64_t version() const { return version_; }
  const IngressLimits& limits() const { return limits_; }
  const std::vector<std::shared_ptr<const Route>>& routes() const {
    return routes_;
  }
  /// The route of the host with the longest prefix that matches the path;
  /// nullptr if none matches. Thread safe.
  std::shared_ptr<const Route> Match(std::string_view host,
                                     std::string_view path) const;
  /// Whether every route of the host permits the region. Thread safe.
  bool HostPermits(std::string_view host, const RegionId& region) const;
  /// Traits of a service; nullptr if it is unknown. Thread safe.
  const ServiceTraits* TraitsOf(const ServiceName& service) const;
  /// Whether callers are identified by a key.
  bool has_workspaces() const { return !workspaces_.empty(); }
  const std::vector<std::shared_ptr<const Workspace>>& workspaces() const {
    return workspaces_;
  }
  /// The workspace that the key belongs to; nullptr if it is unknown. Thread
  /// safe.
  std::shared_ptr<const Workspace> Authenticate(std::string_view key) const;

 private:
  uint64_t version_;
  std::vector<std::shared_ptr<const Route>> routes_;
  std::map<ServiceName, ServiceTraits> services_;
  IngressLimits limits_;
  // Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>>
      by_host_;
  std::vector<std::shared_ptr<const Workspace>> workspaces_;
  std::unordered_map<std::string, std::shared_ptr<const Workspace>> by_key_;
};

}  // namespace basilvalve::flow
