// Load generator and simulation tool. It prints measurements and is
// not part of the tests.
#include <cstdio>
#include <string>
#include <vector>

#include "BasilvalveBench/capacity.h"
#include "BasilvalveBench/control_plane_costs.h"
#include "BasilvalveBench/routing_scenarios.h"
#include "BasilvalveBench/stream_load.h"
#include "Core/Common/option_parser.h"

namespace basilvalve::bench {
namespace {

constexpr int kUsageExit = 2;

int Main(int argc, char** argv) {
  StreamLoad load;
  std::string direct = "127.0.1.11:9001";
  std::string gateway = "127.0.1.1:9901";
  std::string slopes_path = "docs/measurements/slopes.csv";
  int64_t seeds = 3;
  bool help = false;
  OptionParser parser(
      "basilvalve-bench",
      "streams|requests|routing|choice|slopes|capacity [flags]",
      {{"direct", "ip:port", direct, "Engine, for streams.", SetText(&direct)},
       {"gateway", "ip:port", gateway, "Instance, for streams.",
        SetText(&gateway)},
       {"concurrent", "streams", "50", "Streams at once.",
        SetNumber(&load.concurrent, 1, 2000)},
       {"rounds", "streams", "5", "Streams one after another.",
        SetNumber(&load.rounds, 1, 100000)},
       {"tokens", "tokens", "50", "Tokens of each answer.",
        SetNumber(&load.tokens, 1, 100000)},
       {"seeds", "runs", "3", "Seeds of each routing scenario.",
        SetNumber(&seeds, 1, 1000)},
       {"slopes", "file", slopes_path, "Slopes file, for capacity.",
        SetText(&slopes_path)},
       {"help", "", "false", "Print this text.", SetFlag(&help), true}});
  Result<std::vector<std::string>> arguments = parser.Parse(argc, argv);
  bool valid = arguments && arguments->size() == 1 && !help &&
               http::ParseEndpoint(direct, &load.direct) &&
               http::ParseEndpoint(gateway, &load.gateway);
  std::string command = valid ? arguments->front() : "";
  if (command == "streams") {
    return RunStreamLoad(load);
  }
  if (command == "requests") {
    return RunRequestLoad(load);
  }
  if (command == "routing") {
    return PrintRoutingResults(static_cast<uint64_t>(seeds));
  }
  if (command == "choice") {
    return PrintChoiceCost();
  }
  if (command == "slopes") {
    return PrintControlPlaneCosts();
  }
  if (command == "capacity") {
    return PrintCapacity(slopes_path);
  }
  std::fputs(parser.Help().c_str(), help ? stdout : stderr);
  return help ? 0 : kUsageExit;
}

}  // namespace
}  // namespace basilvalve::bench

int main(int argc, char** argv) { return basilvalve::bench::Main(argc, argv); }
