// Predicts the time to first token at an upstream from lagging reports.
#pragma once

#include "Core/Common/clock.h"
#include "Core/Routing/candidate.h"

namespace basilvalve::routing {

/// How much of the load that other instances sent since the report is assumed.
struct CrowdModel {
  /// Instances that choose among the same upstreams.
  double instances = 1;
  /// 0 assumes that others sent nothing since the report, 1 that each sent as
  /// much as this instance.
  double share = 0.25;
};

/// Predicted time from now to the first token. Thread safe. Pre: rates and
/// slots of the candidate are above zero.
Micros PredictTimeToFirstToken(const Candidate& candidate,
                               const PromptShape& prompt,
                               const CrowdModel& crowd);

}  // namespace basilvalve::routing
