// Decides whether a call is executed in this region, is forwarded to another
// one, or is refused.
#pragma once

#include <optional>
#include <vector>

#include "Core/Flow/fleet_view.h"

namespace basilvalve::flow {

/// Inputs of the dispatch decision.
struct DispatchInput {
  bool is_model_call = false;
  /// Prompt tokens that another region would have to prefill.
  double tokens_to_prefill = 0;
  /// Expected output length.
  double output_tokens = 0;
  /// The route's priority; 0 is the most urgent.
  int rank = 0;
  /// Longest time per generated token at which calls of every rank still finish
  /// within their time limits, in microseconds; 0 if unknown.
  double max_time_per_token_us = 0;
  /// Time left until the response-time objective; may be negative.
  Micros time_to_target{0};
  /// Time left until the deadline set by the caller or the route.
  Micros time_to_deadline{0};
  /// Whether the caller has probably waited for earlier attempts, so that its
  /// response is late in any case.
  bool is_late = false;
  /// Forecast for the best local upstream; nullopt if none has capacity.
  std::optional<Forecast> local;
  /// Other regions that the route permits; empty for a call that was forwarded
  /// from another region.
  std::vector<RegionCapacity> remote_capacities;
  /// Round-trip time to another region.
  Micros remote_round_trip{0};
  /// Recent share of calls of the same service and rank that were refused.
  double refusal_rate = 0;
  /// Time until an upstream of the region takes calls again, if all of them
  /// asked for a pause; else zero.
  Micros pause_left{0};
  /// Random number in [0, 1) for this call; spreads the retries of callers that
  /// are refused at the same time.
  double retry_jitter = 0;
};

enum class DispatchKind { kLocal, kRemote, kRefuse };

struct DispatchDecision {
  DispatchKind kind = DispatchKind::kRefuse;
  /// For kRemote.
  RegionId region;
  /// For kRefuse: when capacity is expected.
  Millis retry_after{0};
  /// The forecast behind the decision; zero if there was no candidate.
  Forecast forecast;

  /// Whether the call is refused although there was a candidate, since its
  /// response would be late. Thread safe.
  bool IsTooLate() const {
    return kind == DispatchKind::kRefuse && forecast.finish > Micros::zero();
  }
};

/// Chooses between the best local upstream, the best other region and refusal.
/// Pure function; thread safe.
DispatchDecision DecideDispatch(const DispatchInput& input);

}  // namespace basilvalve::flow
