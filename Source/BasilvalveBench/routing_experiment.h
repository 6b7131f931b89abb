// Runs the production routing code against simulated engines.
#pragma once

#include <string>
#include <vector>

#include "BasilvalveBench/virtual_engine.h"
#include "Core/Routing/router.h"

namespace basilvalve::bench {

/// A fault, or the end of one, during a scenario.
struct ScenarioEvent {
  enum class Kind {
    kEnginesDown,
    kEnginesUp,
    kEnginesSlowed,
    kLinkDown,
    kLinkUp
  };
  Micros at{0};
  Kind kind = Kind::kEnginesDown;
  size_t region = 0;
  /// Number of affected engines, counted from the first of the region.
  size_t engine_count = 0;
};

/// Load and faults of one simulation run.
struct Scenario {
  std::string name;
  size_t regions = 3;
  /// Number of engines in each region.
  std::vector<size_t> engines = {7, 7, 6};
  size_t instances_per_region = 3;
  /// One-way delay between regions.
  Micros link_delay{55000};
  double link_bytes_per_second = 250e6;
  /// Delay until instances receive an engine's load report.
  Micros report_lag{1000000};
  /// Request rate in each region, as a fraction of its engines' capacity.
  std::vector<double> offered_load = {0.5, 0.5, 0.5};
  /// Additional load of one workspace, as a factor of the total load, after a
  /// third of the duration.
  double surge_factor = 0;
  /// Probability that a request fails and is retried at once, after a third of
  /// the duration.
  double retry_probability = 0;
  std::vector<ScenarioEvent> events;
  Micros duration{120000000};
  /// Contracted time to first token.
  Micros target_latency{1800000};
};

/// What assigns requests: the production router, or an oracle that knows the
/// true state of every engine and gives a bound for comparison.
enum class DecisionSource { kRouter, kOracle };

/// Results of one run. Ratios are fractions of all requests; retries count as
/// requests.
struct ExperimentResult {
  double first_token_p50_ms = 0;
  double first_token_p95_ms = 0;
  double first_token_p99_ms = 0;
  double between_tokens_p95_ms = 0;
  double target_met_ratio = 0;
  double forwarded_ratio = 0;
  /// Request and response bytes sent between regions.
  double cross_region_bytes = 0;
  /// Prompt tokens that were prefilled because they were not in the cache.
  double total_recomputed_tokens = 0;
  double rejected_ratio = 0;
  /// Rejected although an engine could have met the target.
  double wrongly_rejected_ratio = 0;
  /// Requests that met the target latency, per second.
  double goodput_per_second = 0;
  size_t requests = 0;
};

/// Runs one scenario with one decision source, chooser and seed. Thread safe.
ExperimentResult RunExperiment(const Scenario& scenario,
                               DecisionSource decision_source,
                               routing::ChooserKind chooser, uint64_t seed);

}  // namespace basilvalve::bench
