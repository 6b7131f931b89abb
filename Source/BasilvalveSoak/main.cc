// Soak test with fault injection for the event-driven request path. Runs real
// instances on loopback with failing upstreams and disconnecting callers, and
// prints every violated invariant.
#include <csignal>
#include <cstdio>

#include "BasilvalveSoak/soak.h"
#include "Core/Common/log.h"
#include "Core/Common/option_parser.h"

namespace basilvalve::soak {
namespace {

constexpr int kUsageExit = 2;
constexpr size_t kMaxPrintedViolations = 20;

int Report(const SoakSettings& settings, const Soak& soak) {
  const InvariantChecker& checker = soak.checker();
  std::printf(
      "seed=%llu calls=%llu served=%llu refused=%llu runs=%llu "
      "faults=%llu violations=%zu\n",
      static_cast<unsigned long long>(settings.seed),
      static_cast<unsigned long long>(checker.calls_sent()),
      static_cast<unsigned long long>(checker.served()),
      static_cast<unsigned long long>(checker.refused()),
      static_cast<unsigned long long>(checker.runs()),
      static_cast<unsigned long long>(soak.faults()),
      checker.violations().size());
  for (size_t i = 0;
       i < std::min(kMaxPrintedViolations, checker.violations().size()); ++i) {
    std::printf("  %s\n", checker.violations()[i].c_str());
  }
  return checker.violations().empty() ? 0 : 1;
}

int Main(int argc, char** argv) {
  int64_t seed = 1;
  int64_t seconds = 30;
  int64_t rate = 150;
  int64_t fault_interval_ms = 250;
  bool log = false;
  bool help = false;
  OptionParser parser(
      "basilvalve-soak", "[flags]",
      {{"seed", "", "1", "Draws calls and faults.",
        SetNumber(&seed, 0, INT64_MAX)},
       {"seconds", "s", "30", "How long calls come.",
        SetNumber(&seconds, 1, 86400)},
       {"rate", "calls/s", "150", "Calls a second, of the whole fleet.",
        SetNumber(&rate, 1, 2000)},
       {"fault-pause", "ms", "250", "Mean time between faults.",
        SetNumber(&fault_interval_ms, 10, 60000)},
       {"log", "", "false", "Print the instances' log.", SetFlag(&log), true},
       {"help", "", "false", "Print this text.", SetFlag(&help), true}});
  auto arguments = parser.Parse(argc, argv);
  if (!arguments || !arguments->empty() || help) {
    std::fputs(parser.Help().c_str(), help ? stdout : stderr);
    return help ? 0 : kUsageExit;
  }
  InitLogging(log ? LogLevel::kInfo : LogLevel::kError);
  SoakSettings settings;
  settings.seed = static_cast<uint64_t>(seed);
  settings.duration = Millis(seconds * 1000);
  settings.calls_per_second = static_cast<int>(rate);
  settings.mean_fault_interval = Millis(fault_interval_ms);
  Soak soak(settings);
  if (auto ran = soak.Run(); !ran) {
    std::fprintf(stderr, "basilvalve-soak: %s\n", ran.error().message.c_str());
    return kUsageExit;
  }
  return Report(settings, soak);
}

}  // namespace
}  // namespace basilvalve::soak

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  return basilvalve::soak::Main(argc, argv);
}
