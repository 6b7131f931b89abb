#include "Core/Flow/fleet_retry_budget.h"

#include <algorithm>
#include <numeric>

namespace basilvalve::flow {
namespace {

// Left for views of the fleet's size that differ for a moment.
constexpr double kSafety = 0.75;

}  // namespace

FleetRetryBudget::Counts& FleetRetryBudget::Advance(const ServiceName& service,
                                                    Instant now) {
  Counts& counts = by_service_[service];
  int64_t slot_us = Micros(settings_.window).count() / int64_t{kSlots};
  int64_t slot = now.time_since_epoch().count() / slot_us;
  int64_t stale = std::min<int64_t>(slot - counts.slot, kSlots);
  for (int64_t i = 0; i < stale; ++i) {
    size_t at = static_cast<size_t>((slot - i) % int64_t{kSlots});
    counts.requests[at] = 0;
    counts.repeats[at] = 0;
  }
  counts.slot = std::max(counts.slot, slot);
  return counts;
}

void FleetRetryBudget::OnRequest(const ServiceName& service, Instant now) {
  Counts& counts = Advance(service, now);
  ++counts.requests[static_cast<size_t>(counts.slot) % kSlots];
}

bool FleetRetryBudget::TryConsume(const ServiceName& service, size_t instances,
                                  Instant now) {
  Counts& counts = Advance(service, now);
  double requests = std::accumulate(counts.requests.begin(),
                                    counts.requests.end(), uint32_t{0});
  double repeats = std::accumulate(counts.repeats.begin(), counts.repeats.end(),
                                   uint32_t{0});
  double share =
      settings_.headroom / static_cast<double>(std::max<size_t>(1, instances));
  if (repeats + 1 > kSafety * (settings_.ratio * requests + share)) {
    return false;
  }
  ++counts.repeats[static_cast<size_t>(counts.slot) % kSlots];
  return true;
}

uint32_t FleetRetryBudget::TakenInWindow(const ServiceName& service,
                                         Instant now) {
  Counts& counts = Advance(service, now);
  return std::accumulate(counts.repeats.begin(), counts.repeats.end(),
                         uint32_t{0});
}

}  // namespace basilvalve::flow
