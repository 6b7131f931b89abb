// Bytes that may be sent over the link to another region.
#pragma once

#include <map>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::routing {

/// The links' rate and the part of it that forwarded requests may use.
struct LinkSettings {
  double bytes_per_second = 250e6;
  /// Part of the link that all instances of the region together may use.
  double share = 0.5;
  /// Seconds of the rate that can be saved up.
  double burst_seconds = 1;
};

/// A token bucket for each region; every instance takes an equal part of the
/// region's share, by the number of live instances. Not thread safe.
class LinkBudget {
 public:
  explicit LinkBudget(const LinkSettings& settings) : settings_(settings) {}

  /// Sets how many instances share the links. Pre: count > 0.
  void SetInstances(size_t count) { instances_ = static_cast<double>(count); }
  /// Takes bytes out of a region's bucket; false, taking none, if they are not
  /// there.
  bool TryTake(const RegionId& region, double bytes, Instant now);
  /// Time the bytes take on the idle link.
  Micros TransferTime(double bytes) const;

 private:
  struct Bucket {
    double bytes = 0;
    Instant last_refill;
    bool initialized = false;
  };

  LinkSettings settings_;
  double instances_ = 1;
  std::map<RegionId, Bucket> buckets_;
};

}  // namespace basilvalve::routing
