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
  /// Upstreams that one instance uses on average. Regions with fewer are used
  /// whole.
  size_t mean_upstreams = 64;
  /// Instances that use the same upstream at least, so that losing one of them
  /// does not leave it idle.
  size_t min_instances_per_upstream = 2;
  /// Bytes per second that load reports may take.
  double bytes_per_second = 2000;
  /// Bytes of one load report and one list of cache events, with requests and
  /// headers.
  double bytes_per_report = 800;
  Millis min_report_period{500};
};

/// The upstreams an instance uses: all, or those whose users it is among. Each
/// upstream has the same number of users, chosen by hash among the region's
/// live instances, so that none is left out and a change of the membership
/// moves few of them. Thread safe.
std::vector<platform::ListedInstance> UpstreamSubset(
    const std::vector<platform::ListedInstance>& upstreams,
    const std::vector<std::string>& instances, std::string_view self,
    const SubsetSettings& settings);

/// Time between two reports of the same upstream. Thread safe.
Millis ReportPeriod(size_t upstreams, const SubsetSettings& settings);

}  // namespace basilvalve::routing
