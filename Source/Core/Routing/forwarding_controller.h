// Limits forwarding to other regions with hysteresis and a gradual ramp, so
// that load does not oscillate between regions.
#pragma once

#include <map>

#include "Core/Common/clock.h"
#include "Core/Common/random.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::routing {

/// Thresholds and ramp times of forwarding. Thresholds are fractions of the
/// target time to first token in the service document.
struct ForwardingSettings {
  /// Forwarding starts when the local prediction exceeds this fraction of the
  /// target.
  double start_threshold = 0.8;
  /// Forwarding stops when the local prediction is at or below this fraction of
  /// the target.
  double stop_threshold = 0.5;
  /// A request is forwarded only if the remote prediction is below this
  /// fraction of the local one.
  double max_latency_ratio = 0.8;
  /// Time in which the share of requests that may be forwarded to a region
  /// grows by 1.
  Millis ramp_duration{10000};
  /// The same after a partition from the region has healed: its caches are cold
  /// for this region's requests.
  Millis cold_ramp_duration{60000};
  /// Share of requests that may be forwarded as soon as forwarding starts.
  double initial_share = 0.1;
};

/// Tracks for each remote region whether forwarding is active and since when.
/// Not thread safe.
class ForwardingController {
 public:
  explicit ForwardingController(const ForwardingSettings& settings)
      : settings_(settings) {}

  /// Whether a request may be forwarded to `region`. `local` and `remote` are
  /// the predicted times to first token, `target` is the document's target, and
  /// `reconnected_at` is when the last partition from the region healed (zero
  /// if there was none). With `local_misses_deadline` the request would be
  /// refused here, so the start-up ramp does not apply to it.
  bool Allows(const RegionId& region, Micros local, Micros remote,
              Micros target, bool local_misses_deadline, Instant reconnected_at,
              Instant now, Random* random);
  /// Stops forwarding to all regions if the local prediction is at or below the
  /// stop threshold.
  void OnLocalPrediction(Micros local, Micros target);

 private:
  struct RegionState {
    bool active = false;
    Instant active_since;
  };

  double AllowedShare(const RegionState& state, bool local_misses_deadline,
                      Instant reconnected_at, Instant now) const;

  ForwardingSettings settings_;
  std::map<RegionId, RegionState> regions_;
};

}  // namespace basilvalve::routing
