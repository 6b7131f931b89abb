#include "Core/Routing/predictor.h"

#include <algorithm>
#include <cmath>

namespace basilvalve::routing {
namespace {

constexpr double kMicrosPerSecond = 1e6;
// Age at which a report counts for a third.
constexpr double kReportTrustSeconds = 1;

}  // namespace

Micros PredictTimeToFirstToken(const Candidate& candidate,
                               const PromptShape& prompt,
                               const CrowdModel& crowd) {
  double age = static_cast<double>(candidate.age.count()) / kMicrosPerSecond;
  // A report says less the older it is. What this instance has in flight is
  // known without lag, and the other instances are assumed to have as much.
  double trust = std::exp(-age / kReportTrustSeconds);
  double crowding = 1 + (crowd.instances - 1) * crowd.share;
  // What was reported has been worked off since at the upstream's rate; what
  // was sent since has been added.
  double reported_backlog =
      std::max(0.0, candidate.backlog_tokens - candidate.prefill_rate * age) +
      candidate.own_tokens * crowding;
  double own_backlog = candidate.own_pending_tokens * crowd.instances;
  double backlog = trust * reported_backlog + (1 - trust) * own_backlog;
  double uncached = std::max(1.0, prompt.tokens - candidate.cached_tokens);
  double prefill = (backlog + uncached) / candidate.prefill_rate;
  double service = static_cast<double>(candidate.mean_service_time.count()) /
                   kMicrosPerSecond;
  double slot_wait = 0;
  if (service > 0) {
    double finished = candidate.slots / service * age;
    double reported =
        std::max(0.0, candidate.running + candidate.queued - finished);
    double own_ahead =
        static_cast<double>(candidate.own_in_flight) * crowd.instances;
    double ahead = trust * (reported + candidate.own_calls * crowding) +
                   (1 - trust) * own_ahead;
    slot_wait =
        std::max(0.0, ahead - candidate.slots + 1) * service / candidate.slots;
  }
  double seconds = (prefill + slot_wait) * candidate.slowness;
  return Micros(static_cast<int64_t>(seconds * kMicrosPerSecond));
}

}  // namespace basilvalve::routing
