#include "Core/Flow/cold_start_limiter.h"

#include <algorithm>

#include "Core/Common/hash.h"

namespace basilvalve::flow {
namespace {

// Share of the tolerated rate that is used, since requests sent at intervals
// may arrive together.
constexpr double kSafeRateShare = 0.8;

}  // namespace

void ColdStartLimiter::SetNeighbours(std::vector<InstanceId> neighbours) {
  neighbours_ = std::move(neighbours);
}

bool ColdStartLimiter::Owns(const UpstreamId& upstream) const {
  uint64_t own_score = Hash64(self_.value(), Hash64(upstream.value()));
  return std::none_of(
      neighbours_.begin(), neighbours_.end(), [&](const InstanceId& other) {
        return other != self_ &&
               Hash64(other.value(), Hash64(upstream.value())) > own_score;
      });
}

bool ColdStartLimiter::Allows(const UpstreamId& upstream, double per_second,
                              Instant now) const {
  if (per_second <= 0) {
    return true;
  }
  if (!Owns(upstream)) {
    return false;
  }
  auto it = last_sent_.find(upstream);
  auto min_interval =
      Micros(static_cast<int64_t>(1e6 / (per_second * kSafeRateShare)));
  return it == last_sent_.end() || now - it->second >= min_interval;
}

void ColdStartLimiter::OnSent(const UpstreamId& upstream, Instant now) {
  last_sent_[upstream] = now;
}

}  // namespace basilvalve::flow
