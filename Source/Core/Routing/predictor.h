// Predicts the time to first token at an upstream from delayed load reports.
#pragma once

#include "Core/Common/clock.h"
#include "Core/Routing/candidate.h"

namespace basilvalve::routing {

/// Estimate of the load that other instances have sent since the last report.
struct PeerLoadModel {
  /// Instances that send to the same upstreams, this one included.
  double instances = 1;
  /// Load of each other instance relative to this one: 0 assumes that the
  /// others have sent nothing since the report, 1 that each has sent as much as
  /// this instance.
  double share = 0.25;
};

/// Predicted time from now to the first token. Thread safe. Pre: `prefill_rate`
/// and `slots` of the candidate are above zero.
Micros PredictTimeToFirstToken(const Candidate& candidate,
                               const PromptSize& prompt,
                               const PeerLoadModel& peer_load);

}  // namespace basilvalve::routing
