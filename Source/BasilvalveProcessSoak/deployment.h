#pragma once

#include <map>
#include <string>
#include <vector>

namespace basilvalve::process_soak {

struct ZoneShape {
  std::string region;
  int gateways = 0;
  int counter_workers = 0;
  int model_workers = 0;
};

/// Machines and workers of a deployment, by data centre.
using Deployment = std::map<std::string, ZoneShape>;

/// Known names: cera, tabkasse, cera-grown, small. Empty for others.
Deployment DeploymentOf(const std::string& name);

}  // namespace basilvalve::process_soak
