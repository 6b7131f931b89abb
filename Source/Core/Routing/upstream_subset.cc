#include "Core/Routing/upstream_subset.h"

#include <algorithm>

#include "Core/Platform/rendezvous.h"

namespace basilvalve::routing {

std::vector<platform::ListedInstance> UpstreamSubset(
    const std::vector<platform::ListedInstance>& upstreams,
    const std::vector<std::string>& instances, std::string_view self,
    const SubsetSettings& settings) {
  if (upstreams.size() <= settings.mean_upstreams) {
    return upstreams;
  }
  size_t instances_per_upstream =
      std::max(settings.min_instances_per_upstream,
               settings.mean_upstreams * instances.size() / upstreams.size());
  std::vector<platform::ListedInstance> subset;
  std::copy_if(upstreams.begin(), upstreams.end(), std::back_inserter(subset),
               [&](const platform::ListedInstance& it) {
                 return platform::IsChosen(instances, self, it.id,
                                           instances_per_upstream);
               });
  return subset;
}

Millis ReportPeriod(size_t upstreams, const SubsetSettings& settings) {
  constexpr double kMillisPerSecond = 1000;
  double bytes = static_cast<double>(upstreams) * settings.bytes_per_report;
  Millis period(static_cast<int64_t>(bytes / settings.bytes_per_second *
                                     kMillisPerSecond));
  return std::max(period, settings.min_report_period);
}

}  // namespace basilvalve::routing
