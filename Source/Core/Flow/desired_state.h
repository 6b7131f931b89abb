// What the operators want served and how: one immutable table for each version.
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

namespace basilvalve::flow {

using DataCentreId = StrongString<struct DataCentreTag>;

/// What may be repeated of a call.
enum class CallKind { kIdempotent, kNonIdempotent, kStream };

/// A service that takes a share of a route's calls.
struct ServiceShare {
  ServiceName service;
  uint32_t weight = 1;
};

/// One route: which calls it takes and the contract for them.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  CallKind kind = CallKind::kNonIdempotent;
  /// The longest that a caller is kept waiting.
  Millis timeout{0};
  /// Response-time objective: for streams up to the first event.
  Millis target{0};
  /// Objective for the pause between two events.
  Millis pause_target{0};
  /// Rank among the routes of a service, 0 is the most urgent.
  int priority = 0;
  std::vector<ServiceShare> shares;
  int max_attempts = 1;
  /// Whether a broken stream may go on at another upstream.
  bool is_resumable = false;
  /// Regions that may hold the data; empty permits all.
  std::vector<RegionId> allowed_regions;

  /// Whether a call may run more than once. Thread safe.
  bool IsRepeatable() const;
  /// Whether an upstream of the region may run it. Thread safe.
  bool Permits(const RegionId& region) const;
  /// The service for a call, by its hash. Pre: shares is not empty. Thread
  /// safe.
  const ServiceName& ServiceFor(uint64_t call_hash) const;
};

/// What is known of a service's upstreams as a kind.
struct ServiceTraits {
  /// Requests a second that a cold upstream tolerates; 0 if it knows no cold.
  double cold_requests_per_second = 0;
  /// Requests that a model engine runs at once; 0 for a plain service.
  uint32_t batch_slots = 0;
  /// Tokens that fit into a model engine's memory.
  uint64_t memory_tokens = 0;
  /// Whether engines copy pieces of prompts from each other's memory.
  bool supports_prompt_copy = false;
  /// Tokens that one event of a stream holds.
  uint32_t tokens_per_event = 1;
};

/// What callers may send and how long they may take.
struct IngressLimits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = uint64_t{4} * 1024 * 1024;
  Millis header_timeout{3000};
  Millis idle_timeout{15000};
};

/// One version of the whole. Immutable once shared; thread safe for readers.
class DesiredState {
 public:
  /// Builds the lookup tables.
  DesiredState(uint64_t version, std::vector<Route> routes,
               std::map<ServiceName, ServiceTraits> services,
               IngressLimits limits);

  uint64_t version() const { return version_; }
  const IngressLimits& limits() const { return limits_; }
  const std::vector<std::shared_ptr<const Route>>& routes() const {
    return routes_;
  }
  /// The route of the host with the longest prefix that begins the path;
  /// nullptr if none does. Thread safe.
  std::shared_ptr<const Route> Match(std::string_view host,
                                     std::string_view path) const;
  /// Whether every route of the host permits the region. Thread safe.
  bool HostPermits(std::string_view host, const RegionId& region) const;
  /// Traits of a service, nullptr for an unknown one. Thread safe.
  const ServiceTraits* TraitsOf(const ServiceName& service) const;

 private:
  uint64_t version_;
  std::vector<std::shared_ptr<const Route>> routes_;
  std::map<ServiceName, ServiceTraits> services_;
  IngressLimits limits_;
  // Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>>
      by_host_;
};

}  // namespace basilvalve::flow
