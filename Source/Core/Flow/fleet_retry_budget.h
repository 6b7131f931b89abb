// This instance's share of the fleet-wide retry budget.
#pragma once

#include <array>
#include <map>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::flow {

/// The budget of the whole fleet: in any window, a service may receive `ratio`
/// retries per request, plus `headroom`.
struct FleetRetryBudgetSettings {
  double ratio = 0.2;
  double headroom = 50;
  Millis window{10000};
};

/// Counts requests and retries per service in a sliding window. Each instance
/// applies the ratio to its own requests; the headroom is divided evenly among
/// the instances. Not thread safe.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(const FleetRetryBudgetSettings& settings)
      : settings_(settings) {}

  /// Counts a caller's request for the service.
  void OnRequest(const ServiceName& service, Instant now);
  /// Whether the budget allows one more retry in a fleet of `instances`
  /// instances. Counts nothing.
  bool HasRoom(const ServiceName& service, size_t instances, Instant now);
  /// Returns whether the budget allows one more retry in a fleet of `instances`
  /// instances, and counts the retry if so.
  bool TryConsume(const ServiceName& service, size_t instances, Instant now);
  /// Number of retries in the current window.
  uint32_t RetriesInWindow(const ServiceName& service, Instant now);

 private:
  static constexpr size_t kSlots = 20;
  struct WindowCounts {
    std::array<uint32_t, kSlots> requests{};
    std::array<uint32_t, kSlots> retries{};
    int64_t slot = 0;
  };

  WindowCounts& AdvanceWindow(const ServiceName& service, Instant now);

  FleetRetryBudgetSettings settings_;
  std::map<ServiceName, WindowCounts> by_service_;
};

}  // namespace basilvalve::flow
