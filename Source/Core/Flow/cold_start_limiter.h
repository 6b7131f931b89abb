// Who may send to an upstream that has just started, and how fast.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::flow {

/// One instance of the region owns each cold upstream, by rendezvous hash, and
/// paces what it sends there. Two owners during a disagreement together stay
/// under twice the pace. Not thread safe.
class ColdStartLimiter {
 public:
  explicit ColdStartLimiter(InstanceId self) : self_(std::move(self)) {}

  /// The live instances of the region, this one included or not.
  void SetNeighbours(std::vector<InstanceId> neighbours);
  /// Whether this instance owns the upstream and its pace allows one more now.
  bool Allows(const UpstreamId& upstream, double per_second, Instant now) const;
  /// One was sent.
  void OnSent(const UpstreamId& upstream, Instant now);

 private:
  bool Owns(const UpstreamId& upstream) const;

  InstanceId self_;
  std::vector<InstanceId> neighbours_;
  std::map<UpstreamId, Instant> last_sent_;
};

}  // namespace basilvalve::flow
