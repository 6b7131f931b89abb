// Which upstream of the region runs a call, and what it may expect there.
#pragma once

#include <optional>
#include <set>

#include "Core/Flow/upstream_registry.h"

namespace basilvalve::flow {

/// What a call needs of its upstream.
struct PlacementRequest {
  const Route* route = nullptr;
  const ServiceTraits* traits = nullptr;
  ServiceName service;
  const CallSize* size = nullptr;
  /// Upstreams that were tried before.
  const std::set<UpstreamId>* tried = nullptr;
  /// Expected output of the call.
  double output_tokens = 0;
  /// Time left of the response-time objective and of the limit.
  Micros to_target{0};
  Micros to_limit{0};
  /// Calls that neighbours may have sent to one upstream since they last told
  /// of their work.
  double unreported_sends = 0;
  /// Drawn for this call.
  uint64_t sampling_seed = 0;
};

/// An upstream or region that fails all its calls is as bad a choice as one
/// that uses up objective and limit several times over.
inline constexpr double kFailureWeight = 4;

/// An expectation for one upstream or region.
struct Forecast {
  Micros first_byte{0};
  /// To the end of the whole answer.
  Micros finish{0};
  /// Prompt tokens to be read for the call itself.
  double own_prefill_tokens = 0;
  /// Time to read them on an idle upstream.
  Micros own_prefill_time{0};
  /// Prompt tokens of others that are read before.
  double queued_prefill_tokens = 0;
  /// Pace of tokens against the slowest that every kind of call bears.
  double time_per_token_ratio = 0;
  /// How much its reading holds up the calls that run there, together, as a
  /// share of the longest limit.
  double burden = 0;
  /// Share of such calls that failed there of late.
  double failure_rate = 0;
};

/// An upstream with what a call may expect of it.
struct Placement {
  UpstreamRegistry::Ptr upstream;
  Forecast forecast;
  /// Prompt tokens that it has to read for this call.
  uint32_t prefill_tokens = 0;
  /// An upstream from which it can copy what it lacks; nullptr if none.
  UpstreamRegistry::Ptr prompt_source;
};

/// Whether a cold upstream may take one more call from this instance.
using ColdGateFn = bool (*)(void* context, const Upstream& upstream);

/// Chooses by forecast among some upstreams that are drawn for the call and
/// those that keep the shared pieces of its prompt. Pure but for what the
/// registry learned. Not thread safe.
class Placer {
 public:
  Placer(UpstreamRegistry* registry, void* cold_context, ColdGateFn cold_gate)
      : registry_(registry),
        cold_context_(cold_context),
        cold_gate_(cold_gate) {}

  /// The best upstream that may be sent to and has room; nullopt if none has.
  std::optional<Placement> Choose(const PlacementRequest& need,
                                  Instant now) const;

 private:
  struct Keeping;

  Keeping WhoKeeps(const PlacementRequest& need, Instant now) const;
  bool IsUsable(const PlacementRequest& need, const Upstream& upstream,
                Instant now) const;
  Placement Consider(const PlacementRequest& need,
                     const UpstreamRegistry::Ptr& upstream,
                     const Keeping& keeping, Instant now) const;
  Forecast Predict(const PlacementRequest& need, const Upstream& upstream,
                   double prefill_tokens, Instant now) const;
  bool HasRoom(const PlacementRequest& need, const Upstream& upstream,
               Instant now) const;

  UpstreamRegistry* registry_;
  void* cold_context_;
  ColdGateFn cold_gate_;
};

}  // namespace basilvalve::flow
