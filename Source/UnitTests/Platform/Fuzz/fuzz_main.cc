// Fuzzes all parsers of external input for a given time.
#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "UnitTests/Platform/Fuzz/fuzz_target.h"

namespace basilvalve::fuzz {
namespace {

// Inputs for one parser before the next parser is tested.
constexpr uint64_t kExecutionsPerRound = 20'000;

int Main(int argc, char** argv) {
  if (argc != 3) {
    std::fputs("usage: basilvalve-fuzz SEED SECONDS\n", stderr);
    return 2;
  }
  uint64_t seed = std::strtoull(argv[1], nullptr, 10);
  auto end = std::chrono::steady_clock::now() +
             std::chrono::seconds(std::strtoll(argv[2], nullptr, 10));
  uint64_t executions = 0;
  int findings = 0;
  while (std::chrono::steady_clock::now() < end) {
    for (const FuzzTarget& target : FuzzTargets()) {
      FuzzReport report = RunFuzz(target, seed, kExecutionsPerRound);
      executions += report.executions;
      if (!report.violation.empty()) {
        ++findings;
        std::printf("target=%s seed=%ju execution=%ju violation=\"%s\"\n",
                    target.name, static_cast<uintmax_t>(seed),
                    static_cast<uintmax_t>(report.executions),
                    report.violation.c_str());
      }
    }
    ++seed;
  }
  std::printf("executions=%ju findings=%d\n",
              static_cast<uintmax_t>(executions), findings);
  return findings == 0 ? 0 : 1;
}

}  // namespace
}  // namespace basilvalve::fuzz

int main(int argc, char** argv) { return basilvalve::fuzz::Main(argc, argv); }
