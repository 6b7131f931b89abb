#include "BasilvalveBench/routing_scenarios.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace basilvalve::bench {
namespace {

using Kind = ScenarioEvent::Kind;

constexpr Micros kThird{40000000};
constexpr double kThinLink = 17.5e6;  // 140 Mbit/s

Scenario Named(const char* name, std::vector<double> load) {
  Scenario scenario;
  scenario.name = name;
  scenario.load = std::move(load);
  return scenario;
}

struct Row {
  const char* name;
  Decider decider;
  routing::ChooserKind chooser;
};

constexpr std::array kRows = {
    Row{"random", Decider::kRouter, routing::ChooserKind::kRandom},
    Row{"round-robin", Decider::kRouter, routing::ChooserKind::kRoundRobin},
    Row{"least-outstanding", Decider::kRouter,
        routing::ChooserKind::kLeastOutstanding},
    Row{"join-shortest", Decider::kRouter, routing::ChooserKind::kJoinShortest},
    Row{"prefix-hash", Decider::kRouter, routing::ChooserKind::kPrefixHash},
    Row{"predicted", Decider::kRouter, routing::ChooserKind::kPredicted},
    Row{"oracle", Decider::kOracle, routing::ChooserKind::kPredicted},
};

void PrintRow(const Scenario& scenario, const char* strategy, uint64_t seed,
              const ExperimentResult& r) {
  std::printf(
      "%s,%s,%llu,%zu,%.0f,%.0f,%.0f,%.1f,%.4f,%.4f,%.0f,%.0f,%.4f,%.4f,%.2f\n",
      scenario.name.c_str(), strategy,
      static_cast<unsigned long long>(seed),  // NOLINT(google-runtime-int)
      r.requests, r.first_token_p50, r.first_token_p95, r.first_token_p99,
      r.between_tokens_p95, r.contract_met, r.sent_away, r.region_bytes,
      r.recomputed, r.refused, r.refused_wrongly, r.goodput);
}

}  // namespace

std::vector<Scenario> RoutingScenarios() {
  std::vector<Scenario> all;
  all.push_back(Named("calm", {0.4, 0.4, 0.4}));
  all.push_back(Named("peak", {0.9, 0.6, 0.5}));
  all.push_back(Named("peak-thin-link", {0.9, 0.6, 0.5}));
  all.back().link_bytes_per_second = kThinLink;
  all.push_back(Named("half-lost", {0.7, 0.5, 0.5}));
  all.back().events = {{kThird, Kind::kEnginesGone, 0, 3}};
  all.push_back(Named("lost-and-back", {0.7, 0.5, 0.5}));
  all.back().events = {{kThird, Kind::kEnginesGone, 0, 3},
                       {2 * kThird, Kind::kEnginesBack, 0, 3}};
  all.push_back(Named("link-cut-and-back", {1.1, 0.5, 0.5}));
  all.back().events = {{kThird, Kind::kLinkCut, 1, 0},
                       {2 * kThird, Kind::kLinkBack, 1, 0}};
  for (int64_t lag : {5, 30}) {
    all.push_back(Named(lag == 5 ? "lag-5s" : "lag-30s", {0.7, 0.7, 0.7}));
    all.back().report_lag = Seconds(lag);
  }
  all.push_back(Named("slow-engines", {0.6, 0.6, 0.6}));
  all.back().events = {{kThird, Kind::kSlowEngines, 0, 2}};
  all.push_back(Named("storm", {0.3, 0.3, 0.3}));
  all.back().storm = 9;
  all.push_back(Named("retry-storm", {0.8, 0.8, 0.8}));
  all.back().retry_storm = 0.5;
  all.push_back(Named("overload-1x", {1.0, 1.0, 1.0}));
  all.push_back(Named("overload-2x", {2.0, 2.0, 2.0}));
  all.push_back(Named("overload-3x", {3.0, 3.0, 3.0}));
  return all;
}

int PrintRoutingTable(uint64_t seeds) {
  std::printf(
      "scenario,strategy,seed,requests,first_p50_ms,first_p95_ms,first_p99_ms,"
      "between_p95_ms,"
      "contract_met,sent_away,region_bytes,recomputed_tokens,refused,refused_"
      "wrongly,goodput\n");
  for (const Scenario& scenario : RoutingScenarios()) {
    for (const Row& row : kRows) {
      for (uint64_t seed = 1; seed <= seeds; ++seed) {
        PrintRow(scenario, row.name, seed,
                 RunExperiment(scenario, row.decider, row.chooser, seed));
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
    Micros took = clock.Now() - begin;
    std::printf("%zu,%.0f\n", n,
                static_cast<double>(took.count()) * 1000 / kRounds);
    if (sum == 0) {
      return 1;
    }
  }
  return 0;
}

}  // namespace basilvalve::bench
