// Which upstreams of its region an instance uses and asks for their load.
#pragma once

#include <string_view>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Platform/instance_list.h"

namespace basilvalve::routing {

/// Bounds that keep the load reports of a large region within a node's control
/// budget.
struct SubsetSettings {
  /// Upstreams that one instance uses at most. Regions with fewer are used
  /// whole.
  size_t max_upstreams = 64;
  /// Bytes per second that load reports may take.
  double bytes_per_second = 2500;
  /// Bytes of one report with its request and headers.
  double bytes_each = 400;
  Millis min_period{500};
};

/// The upstreams an instance uses: all, or the `max_upstreams` with the highest
/// hash against its name, so that each upstream is used by about the same
/// number of instances. Thread safe.
std::vector<platform::ListedInstance> UpstreamSubset(
    const std::vector<platform::ListedInstance>& upstreams,
    std::string_view self, const SubsetSettings& settings);

/// Time between two reports of the same upstream. Thread safe.
Millis ReportPeriod(size_t upstreams, const SubsetSettings& settings);

}  // namespace basilvalve::routing
