#include "BasilvalveBench/routing_scenarios.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace basilvalve::bench {
namespace {

using Kind = ScenarioEvent::Kind;

constexpr Micros kThirdOfDuration{40000000};
constexpr double kSlowLinkBytesPerSecond = 17.5e6;  // 140 Mbit/s

Scenario MakeScenario(const char* name, std::vector<double> offered_load) {
  Scenario scenario;
  scenario.name = name;
  scenario.offered_load = std::move(offered_load);
  return scenario;
}

struct Strategy {
  const char* name;
  DecisionSource decision_source;
  routing::ChooserKind chooser;
};

constexpr std::array kStrategies = {
    Strategy{"random", DecisionSource::kRouter, routing::ChooserKind::kRandom},
    Strategy{"round-robin", DecisionSource::kRouter,
             routing::ChooserKind::kRoundRobin},
    Strategy{"least-outstanding", DecisionSource::kRouter,
             routing::ChooserKind::kLeastOutstanding},
    Strategy{"join-shortest", DecisionSource::kRouter,
             routing::ChooserKind::kJoinShortest},
    Strategy{"prefix-hash", DecisionSource::kRouter,
             routing::ChooserKind::kPrefixHash},
    Strategy{"predicted", DecisionSource::kRouter,
             routing::ChooserKind::kPredicted},
    Strategy{"oracle", DecisionSource::kOracle,
             routing::ChooserKind::kPredicted},
};

void PrintRow(const Scenario& scenario, const char* strategy, uint64_t seed,
              const ExperimentResult& result) {
  std::printf(
      "%s,%s,%llu,%zu,%.0f,%.0f,%.0f,%.1f,%.4f,%.4f,%.0f,%.0f,%.4f,%.4f,%.2f\n",
      scenario.name.c_str(), strategy,
      static_cast<unsigned long long>(seed),  // NOLINT(google-runtime-int)
      result.requests, result.first_token_p50_ms, result.first_token_p95_ms,
      result.first_token_p99_ms, result.between_tokens_p95_ms,
      result.target_met_ratio, result.forwarded_ratio,
      result.cross_region_bytes, result.total_recomputed_tokens,
      result.rejected_ratio, result.wrongly_rejected_ratio,
      result.goodput_per_second);
}

}  // namespace

std::vector<Scenario> RoutingScenarios() {
  std::vector<Scenario> scenarios;
  scenarios.push_back(MakeScenario("calm", {0.4, 0.4, 0.4}));
  scenarios.push_back(MakeScenario("peak", {0.9, 0.6, 0.5}));
  scenarios.push_back(MakeScenario("peak-thin-link", {0.9, 0.6, 0.5}));
  scenarios.back().link_bytes_per_second = kSlowLinkBytesPerSecond;
  scenarios.push_back(MakeScenario("half-lost", {0.7, 0.5, 0.5}));
  scenarios.back().events = {{kThirdOfDuration, Kind::kEnginesDown, 0, 3}};
  scenarios.push_back(MakeScenario("lost-and-back", {0.7, 0.5, 0.5}));
  scenarios.back().events = {{kThirdOfDuration, Kind::kEnginesDown, 0, 3},
                             {2 * kThirdOfDuration, Kind::kEnginesUp, 0, 3}};
  scenarios.push_back(MakeScenario("link-cut-and-back", {1.1, 0.5, 0.5}));
  scenarios.back().events = {{kThirdOfDuration, Kind::kLinkDown, 1, 0},
                             {2 * kThirdOfDuration, Kind::kLinkUp, 1, 0}};
  for (int64_t lag : {5, 30}) {
    scenarios.push_back(
        MakeScenario(lag == 5 ? "lag-5s" : "lag-30s", {0.7, 0.7, 0.7}));
    scenarios.back().report_lag = Seconds(lag);
  }
  scenarios.push_back(MakeScenario("slow-engines", {0.6, 0.6, 0.6}));
  scenarios.back().events = {{kThirdOfDuration, Kind::kEnginesSlowed, 0, 2}};
  scenarios.push_back(MakeScenario("storm", {0.3, 0.3, 0.3}));
  scenarios.back().surge_factor = 9;
  scenarios.push_back(MakeScenario("retry-storm", {0.8, 0.8, 0.8}));
  scenarios.back().retry_probability = 0.5;
  scenarios.push_back(MakeScenario("overload-1x", {1.0, 1.0, 1.0}));
  scenarios.push_back(MakeScenario("overload-2x", {2.0, 2.0, 2.0}));
  scenarios.push_back(MakeScenario("overload-3x", {3.0, 3.0, 3.0}));
  return scenarios;
}

int PrintRoutingResults(uint64_t seeds) {
  std::printf(
      "scenario,strategy,seed,requests,first_p50_ms,first_p95_ms,first_p99_ms,"
      "between_p95_ms,"
      "contract_met,sent_away,region_bytes,recomputed_tokens,refused,refused_"
      "wrongly,goodput\n");
  for (const Scenario& scenario : RoutingScenarios()) {
    for (const Strategy& strategy_row : kStrategies) {
      for (uint64_t seed = 1; seed <= seeds; ++seed) {
        PrintRow(scenario, strategy_row.name, seed,
                 RunExperiment(scenario, strategy_row.decision_source,
                               strategy_row.chooser, seed));
      }
    }
  }
  return 0;
}

int PrintChoiceCost() {
  constexpr int kRounds = 20000;
  std::printf("candidates,ns_per_choice\n");
  for (size_t n : {20, 100, 400}) {
    std::vector<routing::Candidate> candidates(n);
    Random random(1);
    for (routing::Candidate& it : candidates) {
      it.slots = 16;
      it.prefill_rate = 4000;
      it.mean_service_time = Seconds(2);
      it.running = static_cast<double>(random.Below(20));
      it.backlog_tokens = static_cast<double>(random.Below(4000));
    }
    auto chooser = routing::CreateChooser(routing::ChooserKind::kPredicted);
    SteadyClock clock;
    Instant begin = clock.Now();
    size_t sum = 0;
    for (int i = 0; i < kRounds; ++i) {
      sum +=
          chooser->Choose({candidates, {1000}, {8, 0.25}, 1}, &random)->index;
    }
    Micros elapsed = clock.Now() - begin;
    std::printf("%zu,%.0f\n", n,
                static_cast<double>(elapsed.count()) * 1000 / kRounds);
    if (sum == 0) {
      return 1;
    }
  }
  return 0;
}

}  // namespace basilvalve::bench
