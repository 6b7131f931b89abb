#include "Core/Routing/upstream_subset.h"

#include <algorithm>
#include <set>

#include "Core/Platform/rendezvous.h"

namespace basilvalve::routing {

std::vector<platform::ListedInstance> UpstreamSubset(
    const std::vector<platform::ListedInstance>& upstreams,
    std::string_view self, const SubsetSettings& settings) {
  if (upstreams.size() <= settings.max_upstreams) {
    return upstreams;
  }
  std::vector<std::string> ids;
  ids.reserve(upstreams.size());
  for (const platform::ListedInstance& it : upstreams) {
    ids.push_back(it.id);
  }
  std::vector<std::string> chosen =
      platform::ChooseMembers(ids, self, settings.max_upstreams);
  std::set<std::string> wanted(chosen.begin(), chosen.end());
  std::vector<platform::ListedInstance> subset;
  std::copy_if(upstreams.begin(), upstreams.end(), std::back_inserter(subset),
               [&wanted](const platform::ListedInstance& it) {
                 return wanted.contains(it.id);
               });
  return subset;
}

Millis ReportPeriod(size_t upstreams, const SubsetSettings& settings) {
  constexpr double kMillisPerSecond = 1000;
  double bytes = static_cast<double>(upstreams) * settings.bytes_each;
  Millis period(static_cast<int64_t>(bytes / settings.bytes_per_second *
                                     kMillisPerSecond));
  return std::max(period, settings.min_period);
}

}  // namespace basilvalve::routing
