// Explores many seeds: basilvalve-explore FIRST_SEED COUNT [STEPS]
#include <cstdio>
#include <cstdlib>

#include "UnitTests/Explore/simulated_fleet.h"

int main(int argc, char** argv) {
  constexpr int kDefaultSteps = 400;
  uint64_t first = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  uint64_t count = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 100;
  int steps = argc > 3 ? std::atoi(argv[3]) : kDefaultSteps;
  int violations = 0;
  int runs = 0;
  int forwards = 0;
  std::map<basilvalve::Outcome, int> outcome_counts;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    basilvalve::explore::SimulatedFleet fleet(seed, 3, 2);
    fleet.Explore(steps);
    runs += fleet.total_runs();
    forwards += fleet.forwards();
    for (const auto& [outcome, n] : fleet.outcome_counts()) {
      outcome_counts[outcome] += n;
    }
    if (!fleet.violation().empty()) {
      ++violations;
      std::printf("VIOLATION %s\n", fleet.violation().c_str());
    }
  }
  std::printf(
      "seeds=%llu steps=%d violations=%d settlements=%d forwards=%d",
      static_cast<unsigned long long>(count),  // NOLINT(google-runtime-int)
      steps, violations, runs, forwards);
  for (const auto& [outcome, n] : outcome_counts) {
    std::printf(" %s=%d", basilvalve::OutcomeName(outcome).data(), n);
  }
  std::printf("\n");
  return violations == 0 ? 0 : 1;
}
