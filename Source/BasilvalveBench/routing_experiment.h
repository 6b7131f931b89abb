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
    kEnginesGone,
    kEnginesBack,
    kSlowEngines,
    kLinkCut,
    kLinkBack
  };
  Micros at{0};
  Kind kind = Kind::kEnginesGone;
  size_t region = 0;
  /// Engines concerned, from the first of the region.
  size_t engines = 0;
};

/// Load and faults of one experiment.
struct Scenario {
  std::string name;
  size_t regions = 3;
  std::vector<size_t> engines = {7, 7, 6};
  size_t instances_each = 3;
  Micros link_delay{55000};
  double link_bytes_per_second = 250e6;
  Micros report_lag{1000000};
  /// Requests per second in each region, as a part of what its engines can
  /// carry.
  std::vector<double> load = {0.5, 0.5, 0.5};
  /// A customer's extra rate, as a factor of the whole load, from a third of
  /// the time on.
  double storm = 0;
  /// Part of requests that fail and come again at once, from a third of the
  /// time on.
  double retry_storm = 0;
  std::vector<ScenarioEvent> events;
  Micros length{120000000};
  Micros target{1800000};
};

/// Who decides.
enum class Decider { kRouter, kOracle };

/// Figures of one run.
struct ExperimentResult {
  double first_token_p50 = 0;
  double first_token_p95 = 0;
  double first_token_p99 = 0;
  double between_tokens_p95 = 0;
  double contract_met = 0;
  double sent_away = 0;
  double region_bytes = 0;
  double recomputed = 0;
  double refused = 0;
  double refused_wrongly = 0;
  double goodput = 0;
  size_t requests = 0;
};

/// Runs one scenario with one strategy and seed. Thread safe.
ExperimentResult RunExperiment(const Scenario& scenario, Decider decider,
                               routing::ChooserKind chooser, uint64_t seed);

}  // namespace basilvalve::bench
