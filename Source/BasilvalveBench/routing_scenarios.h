// Scenarios of the routing simulation and the table of their results.
#pragma once

#include <cstdint>
#include <vector>

#include "BasilvalveBench/routing_experiment.h"

namespace basilvalve::bench {

/// All scenarios, with the engine and instance counts of the users'
/// deployments.
std::vector<Scenario> RoutingScenarios();
/// Runs every strategy on every scenario with the seeds 1 to `seeds` and prints
/// CSV. Returns an exit code.
int PrintRoutingResults(uint64_t seeds);
/// Measures one upstream choice among 20, 100 and 400 candidates and prints
/// CSV. Returns an exit code.
int PrintChoiceCost();

}  // namespace basilvalve::bench
