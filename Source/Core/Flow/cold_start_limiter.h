// Rate limit on requests to upstreams that started recently.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::flow {

/// Limits the request rate to cold upstreams. Rendezvous hashing assigns each
/// cold upstream to one instance of the region, and only this owner sends to
/// it. While instances disagree about the membership, two owners together stay
/// below twice the rate. Not thread safe.
class ColdStartLimiter {
 public:
  explicit ColdStartLimiter(InstanceId self) : self_(std::move(self)) {}

  /// Sets the live instances of the region, with or without this one.
  void SetNeighbours(std::vector<InstanceId> neighbours);
  /// Whether this instance owns the upstream and may send it one more request
  /// now. `per_second` is the rate that the upstream tolerates; 0 means no
  /// limit.
  bool Allows(const UpstreamId& upstream, double per_second, Instant now) const;
  /// Records that a request was sent to the upstream.
  void OnSent(const UpstreamId& upstream, Instant now);

 private:
  bool Owns(const UpstreamId& upstream) const;

  InstanceId self_;
  std::vector<InstanceId> neighbours_;
  std::map<UpstreamId, Instant> last_sent_;
};

}  // namespace basilvalve::flow
