#include "Core/Flow/fleet_retry_budget.h"

#include <algorithm>
#include <numeric>

namespace basilvalve::flow {
namespace {

// Margin for instances that temporarily disagree about the fleet's size.
constexpr double kSafetyFactor = 0.75;

}  // namespace

FleetRetryBudget::WindowCounts& FleetRetryBudget::AdvanceWindow(
    const ServiceName& service, Instant now) {
  WindowCounts& counts = by_service_[service];
  int64_t slot_us = Micros(settings_.window).count() / int64_t{kSlots};
  int64_t slot = now.time_since_epoch().count() / slot_us;
  int64_t stale = std::min<int64_t>(slot - counts.slot, kSlots);
  for (int64_t i = 0; i < stale; ++i) {
    size_t at = static_cast<size_t>((slot - i) % int64_t{kSlots});
    counts.requests[at] = 0;
    counts.retries[at] = 0;
  }
  counts.slot = std::max(counts.slot, slot);
  return counts;
}

void FleetRetryBudget::OnRequest(const ServiceName& service, Instant now) {
  WindowCounts& counts = AdvanceWindow(service, now);
  ++counts.requests[static_cast<size_t>(counts.slot) % kSlots];
}

bool FleetRetryBudget::HasRoom(const ServiceName& service, size_t instances,
                               Instant now) {
  WindowCounts& counts = AdvanceWindow(service, now);
  double requests = std::accumulate(counts.requests.begin(),
                                    counts.requests.end(), uint32_t{0});
  double retries = std::accumulate(counts.retries.begin(), counts.retries.end(),
                                   uint32_t{0});
  double headroom_share =
      settings_.headroom / static_cast<double>(std::max<size_t>(1, instances));
  return retries + 1 <=
         kSafetyFactor * (settings_.ratio * requests + headroom_share);
}

bool FleetRetryBudget::TryConsume(const ServiceName& service, size_t instances,
                                  Instant now) {
  if (!HasRoom(service, instances, now)) {
    return false;
  }
  WindowCounts& counts = AdvanceWindow(service, now);
  ++counts.retries[static_cast<size_t>(counts.slot) % kSlots];
  return true;
}

uint32_t FleetRetryBudget::RetriesInWindow(const ServiceName& service,
                                           Instant now) {
  WindowCounts& counts = AdvanceWindow(service, now);
  return std::accumulate(counts.retries.begin(), counts.retries.end(),
                         uint32_t{0});
}

}  // namespace basilvalve::flow
