// Where a call goes next, from all that is known now.
#pragma once

#include <memory>
#include <optional>
#include <set>

#include "Core/Edge/edge_components.h"

namespace basilvalve::edge {

/// The contract that a call runs under.
struct CallContract {
  std::shared_ptr<const flow::Route> route;
  ServiceName service;
  /// Version of the desired state that the route is from; 0 from a peer.
  uint64_t state_version = 0;
  /// Copied: the call outlives the desired state that it came in under.
  flow::ServiceTraits traits;
  /// Time that the caller leaves it, as of its arrival; the route's own timeout
  /// is the route's.
  Millis time_left{0};
  Millis target_left{0};
  /// Whether another instance passed it on: then it runs here or not at all.
  bool is_from_peer = false;
};

/// What a call has been through and has left.
struct CallProgress {
  std::set<UpstreamId> tried;
  std::set<RegionId> tried_regions;
  int sends = 0;
  Micros to_target{0};
  Micros to_limit{0};
};

/// A verdict, with the upstream if it is to run here.
struct CallPlan {
  flow::DispatchDecision verdict;
  std::optional<flow::Placement> local;
};

/// Urgency of a route's calls at an engine, by its rank. Thread safe.
int UrgencyOf(const flow::Route& route);

/// How long an upstream may give no sign of life before a call of the route is
/// moved. Thread safe.
Millis SilenceBound(const flow::Route& route);

/// Collects the input of flow::DecideDispatch. Not thread safe.
CallPlan PlanCall(EdgeParts* parts, const CallContract& contract,
                  const CallParams& terms, const CallProgress& progress);

}  // namespace basilvalve::edge
