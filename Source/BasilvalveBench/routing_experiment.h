// Runs the router's decision code over virtual engines.
#pragma once

#include <string>
#include <vector>

#include "BasilvalveBench/virtual_engine.h"
#include "Core/Routing/router.h"

namespace basilvalve::bench {

/// A change in the course of a scenario.
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
  /// Engines concerned, from the first of the region.
  size_t engine_count = 0;
};

/// Load and faults of one experiment.
struct Scenario {
  std::string name;
  size_t regions = 3;
  std::vector<size_t> engines = {7, 7, 6};
  size_t instances_per_region = 3;
  Micros link_delay{55000};
  double link_bytes_per_second = 250e6;
  Micros report_lag{1000000};
  /// Requests per second in each region, as a part of what its engines can
  /// carry.
  std::vector<double> offered_load = {0.5, 0.5, 0.5};
  /// A customer's extra rate, as a factor of the whole load, from a third of
  /// the time on.
  double surge_factor = 0;
  /// Part of requests that fail and come again at once, from a third of the
  /// time on.
  double retry_probability = 0;
  std::vector<ScenarioEvent> events;
  Micros duration{120000000};
  Micros target_latency{1800000};
};

/// Who decides.
enum class DecisionSource { kRouter, kOracle };

/// Figures of one run.
struct ExperimentResult {
  double first_token_p50_ms = 0;
  double first_token_p95_ms = 0;
  double first_token_p99_ms = 0;
  double between_tokens_p95_ms = 0;
  double target_met_ratio = 0;
  double forwarded_ratio = 0;
  double cross_region_bytes = 0;
  double total_recomputed_tokens = 0;
  double rejected_ratio = 0;
  double wrongly_rejected_ratio = 0;
  double goodput_per_second = 0;
  size_t requests = 0;
};

/// Runs one scenario with one strategy and seed. Thread safe.
ExperimentResult RunExperiment(const Scenario& scenario,
                               DecisionSource decision_source,
                               routing::ChooserKind chooser, uint64_t seed);

}  // namespace basilvalve::bench
