// This instance's part of the fleet's retry budget.
#pragma once

#include <array>
#include <map>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::flow {

/// The fleet's budget: in any window a service may get `ratio` repeats for
/// each request, and `headroom` more.
struct FleetRetryBudgetSettings {
  double ratio = 0.2;
  double headroom = 50;
  Millis window{10000};
};

/// Counts requests and repeats by service in a sliding window. The ratio is
/// each instance's own, the headroom is divided by the instances. Not thread
/// safe.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(const FleetRetryBudgetSettings& settings)
      : settings_(settings) {}

  /// A caller's request for the service came in here.
  void OnRequest(const ServiceName& service, Instant now);
  /// Whether one more repeat fits, with the fleet at `instances`; counts it if
  /// so.
  bool TryConsume(const ServiceName& service, size_t instances, Instant now);
  /// Repeats counted in the window.
  uint32_t TakenInWindow(const ServiceName& service, Instant now);

 private:
  static constexpr size_t kSlots = 20;
  struct Counts {
    std::array<uint32_t, kSlots> requests{};
    std::array<uint32_t, kSlots> repeats{};
    int64_t slot = 0;
  };

  Counts& Advance(const ServiceName& service, Instant now);

  FleetRetryBudgetSettings settings_;
  std::map<ServiceName, Counts> by_service_;
};

}  // namespace basilvalve::flow
