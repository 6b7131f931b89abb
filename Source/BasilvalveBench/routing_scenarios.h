// The scenarios of the routing experiments and their table.
#pragma once

#include <cstdint>
#include <vector>

#include "BasilvalveBench/routing_experiment.h"

namespace basilvalve::bench {

/// The scenarios, at the users' sizes.
std::vector<Scenario> RoutingScenarios();
/// Runs all strategies over all scenarios and seeds and prints CSV. Returns an
/// exit code.
int PrintRoutingResults(uint64_t seeds);
/// Prints the time of one choice among 20, 100 and 400 candidates.
int PrintChoiceCost();

}  // namespace basilvalve::bench
