// Whether a call runs here, in another region, or is refused at once.
#pragma once

#include <optional>
#include <vector>

#include "Core/Flow/fleet_view.h"

namespace basilvalve::flow {

/// What the decision is made from.
struct DispatchInput {
  bool is_model_call = false;
  /// Tokens that another region would have to read.
  double tokens_to_prefill = 0;
  /// Expected output.
  double output_tokens = 0;
  /// Rank of the route, 0 is the most urgent.
  int rank = 0;
  /// The slowest pace of tokens that every kind of call bears, microseconds.
  double max_time_per_token_us = 0;
  /// Time left of the response-time objective; may be negative.
  Micros to_target{0};
  /// Time left until the caller's or the route's limit.
  Micros to_limit{0};
  /// Whether the caller has clearly waited already, so that it is late whatever
  /// is done.
  bool is_late = false;
  /// The best upstream here, if any has room.
  std::optional<Forecast> local;
  /// Permitted other regions; empty for a call that came from one.
  std::vector<RegionCapacity> remote_capacities;
  /// Time there and back to another region.
  Micros hop{0};
  /// Share of such calls that were refused of late.
  double refusal_rate = 0;
  /// In [0, 1), drawn for this call: callers that are refused together do not
  /// come back together.
  double retry_jitter = 0;
};

enum class DispatchKind { kLocal, kRemote, kRefuse };

struct DispatchDecision {
  DispatchKind kind = DispatchKind::kRefuse;
  /// For kRemote.
  RegionId region;
  /// For kRefuse: when there will be room.
  Millis retry_after{0};
  /// What the choice was made by; zero if there was none.
  Forecast forecast;
};

/// Pure. Thread safe.
DispatchDecision DecideDispatch(const DispatchInput& input);

}  // namespace basilvalve::flow
