// Decides where a call is sent next.
#pragma once

#include <memory>
#include <optional>
#include <set>

#include "Core/Edge/edge_components.h"

namespace basilvalve::edge {

/// The route, service and time limits of a call.
struct CallContext {
  std::shared_ptr<const flow::Route> route;
  /// The caller's workspace; nullptr if it has none. For a call from a peer, it
  /// has only name and priority.
  std::shared_ptr<const flow::Workspace> workspace;
  /// Whether the caller's own headers for key and workspace are removed.
  bool hides_identity = false;
  /// What the call was charged to the quota of its workspace; 0 if it has none.
  uint64_t charged_tokens = 0;
  ServiceName service;
  /// Version of the desired state that the route was taken from; 0 for a call
  /// from a peer.
  uint64_t state_version = 0;
  /// A copy, because the call may outlive that version of the desired state.
  flow::ServiceTraits traits;
  /// Time until the caller's deadline, counted from the arrival of the call.
  /// The route's own timeout applies separately.
  Millis time_left{0};
  /// Time until the response-time objective, counted in the same way.
  Millis target_left{0};
  /// Whether a peer instance forwarded the call. Such a call is executed here
  /// or rejected, and never forwarded again.
  bool is_from_peer = false;
  /// Whether the instance that forwarded the call chose this one for its
  /// upstreams, so that it is not passed on within the region either.
  bool is_last_hop = false;
  /// Whether the caller has received the start of the stream.
  bool is_resumed = false;
  /// Whether that instance sends the call elsewhere if it fails here.
  bool can_sender_retry = false;
  /// The upstream that it had in mind; empty if none.
  UpstreamId suggested_upstream;

  /// Whether data residency of route and workspace permits the region.
  bool Permits(const RegionId& region) const {
    return route->Permits(region) &&
           (workspace == nullptr || workspace->Permits(region));
  }
};

/// Where the call was sent so far, and the time it has left.
struct CallProgress {
  std::set<UpstreamId> tried_upstreams;
  std::set<RegionId> tried_regions;
  /// Instances of this region that refused or failed the call.
  std::set<InstanceId> tried_dispatchers;
  /// Number of attempts sent to upstreams or other regions.
  int sends = 0;
  /// Time left until the response-time objective, then until the deadline.
  Micros time_to_target{0};
  Micros time_to_deadline{0};
};

/// A decision, with the chosen upstream if the call is executed in this region.
struct CallPlan {
  flow::DispatchDecision decision;
  std::optional<flow::Placement> local;
  /// Set if a part of the prompt is blocked: the call is refused, or sent from
  /// here as the part's probe.
  std::optional<flow::BlockedPart> blocked;
};

/// Urgency that is sent to engines with the call, from 0 (the highest) to 9:
/// by the priority of the workspace if there is one, then by the route's.
/// Thread safe.
int UrgencyOf(const CallContext& context);

/// Rank of the call in admission: the route's priority. Engines order calls by
/// workspace; a share of capacity that admission withheld from the others would
/// stay unused. Thread safe.
int RankOf(const CallContext& context);

/// How long an upstream may send nothing before a call of the route is retried
/// elsewhere, and a stream that has started is resumed. Thread safe.
Millis SilenceTimeout(const flow::Route& route, bool has_started);

/// If all upstreams of the service asked this instance for a pause: when a call
/// may come back, spread over as long again; else zero. Not thread safe.
Millis PauseRetryAfter(EdgeComponents* components, const ServiceName& service);

/// Gathers the input of flow::DecideDispatch, takes its decision and records in
/// the registry whether a new call was rejected. Not thread safe.
CallPlan PlanCall(EdgeComponents* components, const CallContext& context,
                  const CallParams& params, const CallProgress& progress);

}  // namespace basilvalve::edge
