#include "Core/Routing/predictor.h"

#include <algorithm>
#include <cmath>

namespace basilvalve::routing {
namespace {

constexpr double kMicrosPerSecond = 1e6;
// Time constant of the exponential decay of a report's weight: at this age it
// weighs about a third (1/e).
constexpr double kReportDecaySeconds = 1;

}  // namespace

Micros PredictTimeToFirstToken(const Candidate& candidate,
                               const PromptSize& prompt,
                               const PeerLoadModel& peer_load) {
  double age = static_cast<double>(candidate.age.count()) / kMicrosPerSecond;
  // A report loses weight with age. The calls in flight from this instance are
  // known without delay, and the other instances are assumed to have as many
  // each.
  double report_weight = std::exp(-age / kReportDecaySeconds);
  double peer_factor = 1 + (peer_load.instances - 1) * peer_load.share;
  // The reported backlog has drained at the prefill rate since the report was
  // taken, and the tokens sent since then have been added to it.
  double reported_backlog =
      std::max(0.0, candidate.backlog_tokens - candidate.prefill_rate * age) +
      candidate.tokens_since_report * peer_factor;
  double own_backlog = candidate.own_pending_tokens * peer_load.instances;
  double backlog =
      report_weight * reported_backlog + (1 - report_weight) * own_backlog;
  double uncached = std::max(1.0, prompt.tokens - candidate.cached_tokens);
  double prefill_seconds = (backlog + uncached) / candidate.prefill_rate;
  double service_seconds =
      static_cast<double>(candidate.mean_service_time.count()) /
      kMicrosPerSecond;
  double slot_wait_seconds = 0;
  if (service_seconds > 0) {
    double finished = candidate.slots / service_seconds * age;
    double reported =
        std::max(0.0, candidate.running + candidate.queued - finished);
    double own_ahead =
        static_cast<double>(candidate.own_in_flight) * peer_load.instances;
    double ahead = report_weight *
                       (reported + candidate.calls_since_report * peer_factor) +
                   (1 - report_weight) * own_ahead;
    slot_wait_seconds = std::max(0.0, ahead - candidate.slots + 1) *
                        service_seconds / candidate.slots;
  }
  double seconds = (prefill_seconds + slot_wait_seconds) * candidate.slowness;
  return Micros(static_cast<int64_t>(seconds * kMicrosPerSecond));
}

}  // namespace basilvalve::routing
