#include "Core/Flow/cold_gate.h"

#include <algorithm>

#include "Core/Common/hash.h"

namespace basilvalve::flow {
namespace {

// Below the pace that the upstream tolerates, since requests that were sent
// apart may arrive together.
constexpr double kPaceShare = 0.8;

}  // namespace

void ColdGate::SetNeighbours(std::vector<InstanceId> neighbours) {
  neighbours_ = std::move(neighbours);
}

bool ColdGate::Owns(const UpstreamId& upstream) const {
  uint64_t own = Hash64(self_.value(), Hash64(upstream.value()));
  return std::none_of(
      neighbours_.begin(), neighbours_.end(), [&](const InstanceId& other) {
        return other != self_ &&
               Hash64(other.value(), Hash64(upstream.value())) > own;
      });
}

bool ColdGate::Allows(const UpstreamId& upstream, double per_second,
                      Instant now) const {
  if (per_second <= 0) {
    return true;
  }
  if (!Owns(upstream)) {
    return false;
  }
  auto it = last_sent_.find(upstream);
  auto gap = Micros(static_cast<int64_t>(1e6 / (per_second * kPaceShare)));
  return it == last_sent_.end() || now - it->second >= gap;
}

void ColdGate::OnSent(const UpstreamId& upstream, Instant now) {
  last_sent_[upstream] = now;
}

}  // namespace basilvalve::flow
