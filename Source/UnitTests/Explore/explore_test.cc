#include <catch2/catch.hpp>

#include "UnitTests/Explore/simulated_fleet.h"

namespace basilvalve::explore {
namespace {

constexpr int kSteps = 400;
constexpr uint64_t kSeeds = 150;

TEST_CASE("the guarantees about calls hold in every explored interleaving") {
  int runs = 0;
  int forwards = 0;
  std::map<Outcome, int> outcome_counts;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimulatedFleet fleet(seed, 3, 2);
    fleet.Explore(kSteps);
    CHECK(fleet.violation() == "");
    runs += fleet.total_runs();
    forwards += fleet.forwards();
    for (const auto& [outcome, n] : fleet.outcome_counts()) {
      outcome_counts[outcome] += n;
    }
  }
  // Guards against a vacuous pass: every outcome and forwarding must actually
  // occur.
  CHECK(runs > 1000);
  CHECK(forwards > 1000);
  CHECK(outcome_counts[Outcome::kDone] > 1000);
  CHECK(outcome_counts[Outcome::kNotRun] > 1000);
  CHECK(outcome_counts[Outcome::kUnknown] > 1000);
  CHECK(outcome_counts[Outcome::kRunning] > 10);
}

TEST_CASE(
    "seed 64: a stricter document that arrives during a call is enforced") {
  SimulatedFleet fleet(64, 3, 2);
  fleet.Explore(kSteps);
  CHECK(fleet.violation() == "");
}

}  // namespace
}  // namespace basilvalve::explore
