// Decides how much may be sent to each other region, without sloshing.
#pragma once

#include <map>

#include "Core/Common/clock.h"
#include "Core/Common/random.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::routing {

/// Thresholds, as parts of the contract's time to first token, and speeds.
struct ForwardingSettings {
  /// Sending away starts when the local prediction exceeds this part of the
  /// target.
  double start_at = 0.8;
  /// It stops when the local prediction falls below this part.
  double stop_at = 0.5;
  /// The other region has to be better by this factor.
  double advantage = 0.8;
  /// Time in which the share allowed to a region rises from nothing to all.
  Millis ramp{10000};
  /// The same for a region that was cut off, whose caches are cold.
  Millis cold_ramp{60000};
  /// Share allowed at once when sending starts.
  double initial_share = 0.1;
};

/// Keeps, for each region, whether sending there is on and since when. Not
/// thread safe.
class ForwardingController {
 public:
  explicit ForwardingController(const ForwardingSettings& settings)
      : settings_(settings) {}

  /// Whether a request may go to `region`, given the predictions for both
  /// sides, the contract and the time the region returned from a partition
  /// (zero if never). One that would be refused here (`hopeless`) does not wait
  /// for the share to grow.
  bool Allows(const RegionId& region, Micros local, Micros remote,
              Micros target, bool hopeless, Instant returned, Instant now,
              Random* random);
  /// Tells what the local prediction is when no other region was looked at.
  void OnLocal(Micros local, Micros target);

 private:
  struct Flow {
    bool on = false;
    Instant since;
  };

  double ShareOf(const Flow& flow, bool hopeless, Instant returned,
                 Instant now) const;

  ForwardingSettings settings_;
  std::map<RegionId, Flow> flows_;
};

}  // namespace basilvalve::routing
