// Clients and upstreams that misbehave in front of one process with lowered
// limits. Prints every limit that the process does not keep.
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>

#include "BasilvalveProcessSoak/daemon_load.h"
#include "BasilvalveProcessSoak/gateway_load.h"
#include "Core/Common/option_parser.h"

namespace basilvalve::process_soak {
namespace {

constexpr int kUsageExit = 2;

int Main(int argc, char** argv) {
  std::string gateway;
  std::string daemon;
  std::string name;
  bool help = false;
  OptionParser parser(
      "basilvalve-client-load", "[flags]",
      {{"gateway", "PATH", "", "The gateway's program.", SetText(&gateway)},
       {"daemon", "PATH", "", "The program of basilvalved.", SetText(&daemon)},
       {"case", "NAME", "", "The case; an unknown one prints all names.",
        SetText(&name)},
       {"help", "", "false", "Print this text.", SetFlag(&help), true}});
  auto arguments = parser.Parse(argc, argv);
  if (!arguments || !arguments->empty() || help ||
      gateway.empty() == daemon.empty()) {
    std::fputs(parser.Help().c_str(), help ? stdout : stderr);
    return help ? 0 : kUsageExit;
  }
  // Its threads serve until the process ends.
  ClientLoad* load = nullptr;
  if (daemon.empty()) {
    load = new GatewayLoad(gateway);
  } else {
    load = new DaemonLoad(daemon);
  }
  auto report = load->Run(name);
  if (!report) {
    std::fprintf(stderr, "basilvalve-client-load: %s\n",
                 report.error().message.c_str());
    return kUsageExit;
  }
  for (const std::string& violation : report->violations) {
    std::printf("%s\n", violation.c_str());
  }
  std::printf("case=%s violations=%zu %s\n", name.c_str(),
              report->violations.size(), report->figures.c_str());
  return report->violations.empty() ? 0 : 1;
}

}  // namespace
}  // namespace basilvalve::process_soak

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  int code = basilvalve::process_soak::Main(argc, argv);
  std::fflush(stdout);
  _exit(code);
}
