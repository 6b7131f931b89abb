#include <catch2/catch.hpp>

#include "UnitTests/Explore/paper_fleet.h"

namespace basilvalve::explore {
namespace {

constexpr int kSteps = 400;
constexpr uint64_t kSeeds = 150;

TEST_CASE("the promises about calls hold through every explored interleaving") {
  int runs = 0;
  int forwards = 0;
  std::map<Outcome, int> told;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PaperFleet fleet(seed, 3, 2);
    fleet.Explore(kSteps);
    CHECK(fleet.violation() == "");
    runs += fleet.total_runs();
    forwards += fleet.forwards();
    for (const auto& [outcome, n] : fleet.told()) {
      told[outcome] += n;
    }
  }
  // The exploration has to reach what it checks.
  CHECK(runs > 1000);
  CHECK(forwards > 1000);
  CHECK(told[Outcome::kDone] > 1000);
  CHECK(told[Outcome::kNotRun] > 1000);
  CHECK(told[Outcome::kUnknown] > 1000);
  CHECK(told[Outcome::kRunning] > 10);
}

TEST_CASE("seed 64: a stricter document that came during the call is obeyed") {
  PaperFleet fleet(64, 3, 2);
  fleet.Explore(kSteps);
  CHECK(fleet.violation() == "");
}

}  // namespace
}  // namespace basilvalve::explore
