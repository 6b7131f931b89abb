// Bandwidth budget for requests forwarded to other regions.
#pragma once

#include <map>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::routing {

/// Bandwidth of the inter-region links and how much of it forwarded requests
/// may use.
struct LinkSettings {
  /// Bandwidth of the link to each region.
  double bytes_per_second = 250e6;
  /// Fraction of the bandwidth that all instances of the region may use
  /// together.
  double share = 0.5;
  /// Bucket size, in seconds of the refill rate.
  double burst_seconds = 1;
};

/// One token bucket per remote region. The share of the link is divided equally
/// between the live instances of the local region. Not thread safe.
class LinkBudget {
 public:
  explicit LinkBudget(const LinkSettings& settings) : settings_(settings) {}

  /// Sets the number of instances that share the links. Pre: count > 0.
  void SetInstances(size_t count) { instances_ = static_cast<double>(count); }
  /// Takes `bytes` from a region's bucket. If it holds fewer, takes none and
  /// returns false.
  bool TryTake(const RegionId& region, double bytes, Instant now);
  /// Transfer time of `bytes` over the full bandwidth of an idle link.
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
