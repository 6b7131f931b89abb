// Chooses the upstream of this instance's region that executes a call, by
// predicted latency and load.
#pragma once

#include <optional>
#include <set>

#include "Core/Flow/upstream_registry.h"

namespace basilvalve::flow {

class DispatcherSet;

/// Requirements of the call to be placed.
struct PlacementRequest {
  const Route* route = nullptr;
  const ServiceTraits* traits = nullptr;
  ServiceName service;
  const CallSize* size = nullptr;
  /// Upstreams that earlier attempts of the call used.
  const std::set<UpstreamId>* tried_upstreams = nullptr;
  /// Expected output length of the call.
  double output_tokens = 0;
  /// Time left until the response-time objective; may be negative.
  Micros time_to_target{0};
  /// Time left until the deadline set by the caller or the route.
  Micros time_to_deadline{0};
  /// Estimated calls per upstream that other instances of the region sent since
  /// their last heartbeats.
  double unreported_sends = 0;
  /// Random number of this call; selects the candidates.
  uint64_t sampling_seed = 0;
  /// Senders of the region; nullptr if every instance sends to every upstream.
  const DispatcherSet* dispatchers = nullptr;
  /// Dispatchers that already refused or failed the call.
  const std::set<InstanceId>* tried_dispatchers = nullptr;
  /// Whether only this instance's own upstreams and `suggested_upstream` are
  /// candidates, since another instance chose this one for the call.
  bool is_last_hop = false;
  UpstreamId suggested_upstream;
};

/// Cost of a failure rate of 1. An upstream or region where all calls fail
/// costs as much as one that exceeds the objective or the deadline several
/// times over.
inline constexpr double kFailureWeight = 4;

/// Predicted latency and load of a call at an upstream or in a region.
struct Forecast {
  /// Time until the first byte of the response.
  Micros first_byte{0};
  /// Time until the response is complete.
  Micros finish{0};
  /// Prompt tokens that are prefilled for the call itself.
  double own_prefill_tokens = 0;
  /// Time to prefill them on an idle upstream.
  Micros own_prefill_time{0};
  /// Prompt tokens of other calls that are prefilled first.
  double queued_prefill_tokens = 0;
  /// Time per generated token, in microseconds.
  double time_per_token_us = 0;
  /// The same relative to the longest at which calls of every rank still meet
  /// their time limits.
  double time_per_token_ratio = 0;
  /// Total delay that the call's prefill adds to the calls that are running
  /// there, relative to the longest time limit of any rank.
  double interference = 0;
  /// Recent failure rate there, in [0, 1].
  double failure_rate = 0;
  /// For a plain call: its time relative to that without queueing.
  double queue_factor = 1;
  /// For a plain call: whether its time was measured, so that it may be refused
  /// because of it.
  bool is_reliable = false;
};

/// The forecast of a model call if learned speeds count as much as `confidence`
/// says. Thread safe.
Forecast DiscountForecast(const Forecast& forecast,
                          const SpeedConfidence& confidence);

/// An upstream chosen for a call.
struct Placement {
  UpstreamRegistry::Ptr upstream;
  Forecast forecast;
  /// Prompt tokens that it has to prefill for this call.
  uint32_t prefill_tokens = 0;
  /// Upstream from which it can copy missing prompt parts; nullptr if none.
  UpstreamRegistry::Ptr prompt_source;
};

/// Returns whether this instance may send one more call to an upstream that is
/// cold or limited.
using SendCheck = bool (*)(void* context, const Upstream& upstream);

/// Chooses the upstream with the lowest predicted cost among a random sample
/// and those with cache affinity to the call's prompt. The result depends only
/// on the arguments and the registry. Not thread safe.
class Placer {
 public:
  Placer(UpstreamRegistry* registry, void* send_context, SendCheck send_check)
      : registry_(registry),
        send_context_(send_context),
        send_check_(send_check) {}

  /// The best upstream that accepts requests and has capacity; nullopt if there
  /// is none.
  std::optional<Placement> Choose(const PlacementRequest& request,
                                  Instant now) const;

 private:
  struct PromptLocations;

  PromptLocations LocatePrompt(const PlacementRequest& request,
                               Instant now) const;
  bool IsUsable(const PlacementRequest& request, const Upstream& upstream,
                Instant now) const;
  bool IsReachable(const PlacementRequest& request, const Upstream& upstream,
                   Instant now) const;
  Placement Evaluate(const PlacementRequest& request,
                     const UpstreamRegistry::Ptr& upstream,
                     const PromptLocations& locations, Instant now) const;
  /// The first home of the prompt that can respond well within the objective;
  /// nullopt if there is none or the region is small.
  std::optional<Placement> ChooseHome(const PlacementRequest& request,
                                      const PromptLocations& locations,
                                      Instant now) const;
  double LimitedCost(const PlacementRequest& request,
                     const Upstream& upstream) const;
  Forecast Predict(const PlacementRequest& request, const Upstream& upstream,
                   double prefill_tokens, Instant now) const;
  bool HasCapacity(const PlacementRequest& request, const Upstream& upstream,
                   Instant now) const;

  UpstreamRegistry* registry_;
  void* send_context_;
  SendCheck send_check_;
};

}  // namespace basilvalve::flow
