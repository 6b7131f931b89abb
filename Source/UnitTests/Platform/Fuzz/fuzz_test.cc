#include <catch2/catch.hpp>

#include "UnitTests/Platform/Fuzz/fuzz_target.h"

namespace basilvalve::fuzz {
namespace {

// Takes a few seconds for all parsers together; basilvalve-fuzz runs longer.
constexpr uint64_t kExecutions = 4000;

TEST_CASE("no input violates a rule of its parser") {
  for (const FuzzTarget& target : FuzzTargets()) {
    for (uint64_t seed : {1, 2, 3}) {
      FuzzReport report = RunFuzz(target, seed, kExecutions);
      INFO(target.name << " seed " << seed << " execution " << report.executions
                       << ": " << report.input);
      CHECK(report.violation.empty());
    }
  }
}

TEST_CASE("each corpus entry is accepted and violates no rule") {
  for (const FuzzTarget& target : FuzzTargets()) {
    ByteMutator fragmenter(1, {"x"});
    for (const std::string& input : ReadCorpus(target)) {
      INFO(target.name << ": " << input);
      CHECK(target.check(input, &fragmenter).empty());
      CHECK(target.accepts(input));
    }
  }
}

}  // namespace
}  // namespace basilvalve::fuzz
