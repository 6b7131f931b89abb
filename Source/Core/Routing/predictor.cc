#include "Core/Routing/predictor.h"

#include <algorithm>

namespace basilvalve::routing {
namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

Micros PredictFirstToken(const Candidate& candidate, const PromptShape& prompt,
                         const CrowdModel& crowd) {
  double age = static_cast<double>(candidate.age.count()) / kMicrosPerSecond;
  double crowding = 1 + (crowd.instances - 1) * crowd.share;
  // What was reported has been worked off since at the upstream's rate; what
  // was sent since has been added.
  double backlog =
      std::max(0.0, candidate.backlog_tokens - candidate.prefill_rate * age) +
      candidate.own_tokens * crowding;
  double uncached = std::max(1.0, prompt.tokens - candidate.cached_tokens);
  double prefill = (backlog + uncached) / candidate.prefill_rate;
  double service =
      static_cast<double>(candidate.mean_service.count()) / kMicrosPerSecond;
  double slot_wait = 0;
  if (service > 0) {
    double finished = candidate.slots / service * age;
    double reported =
        std::max(0.0, candidate.running + candidate.queued - finished);
    double ahead = reported + candidate.own_calls * crowding;
    slot_wait =
        std::max(0.0, ahead - candidate.slots + 1) * service / candidate.slots;
  }
  double seconds = (prefill + slot_wait) * candidate.slowness;
  return Micros(static_cast<int64_t>(seconds * kMicrosPerSecond));
}

}  // namespace basilvalve::routing
