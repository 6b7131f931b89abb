// Selects the upstreams of the region that one instance uses and polls for load
// reports.
#pragma once

#include <string_view>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Platform/instance_list.h"

namespace basilvalve::routing {

/// Limits that keep the control traffic for load reports of an instance bounded
/// in large regions.
struct SubsetSettings {
  /// Average number of upstreams per instance. An instance uses all upstreams
  /// of a region that has no more than this.
  size_t mean_upstreams = 64;
  /// Minimum number of instances per upstream, so that an upstream does not go
  /// idle when one instance fails.
  size_t min_instances_per_upstream = 2;
  /// Bandwidth for load reports and cache events, for each instance.
  double bytes_per_second = 2000;
  /// Bytes of one load report and one list of cache events, including the
  /// requests and headers.
  double bytes_per_report = 800;
  /// Lower bound of ReportPeriod.
  Millis min_report_period{500};
};

/// The upstreams that the instance `self` uses. In a large region each upstream
/// is assigned to the same number of live `instances` by rendezvous hashing, so
/// that every upstream is used and a membership change reassigns only few.
/// Thread safe.
std::vector<platform::ListedInstance> UpstreamSubset(
    const std::vector<platform::ListedInstance>& upstreams,
    const std::vector<std::string>& instances, std::string_view self,
    const SubsetSettings& settings);

/// Time between two load reports of the same upstream when an instance polls
/// `upstreams` of them. Thread safe.
Millis ReportPeriod(size_t upstreams, const SubsetSettings& settings);

}  // namespace basilvalve::routing
