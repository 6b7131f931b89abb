// Soak of gateways as processes of their own: signals, links that are cut and
// workers that misbehave. Prints every violation of "runs once" and "a refusal
// is a promise".
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>

#include "BasilvalveProcessSoak/soak.h"
#include "Core/Common/option_parser.h"

namespace basilvalve::process_soak {
namespace {

constexpr int kUsageExit = 2;

int Main(int argc, char** argv) {
  SoakSettings settings;
  int64_t seed = 1;
  bool help = false;
  OptionParser parser(
      "basilvalve-process-soak", "[flags]",
      {{"seed", "", "1", "Draws requests and troubles.",
        SetNumber(&seed, 0, INT64_MAX)},
       {"seconds", "s", "20", "How long requests come.",
        SetNumber(&settings.seconds, 1, 86400)},
       {"pause", "ms", "300", "Mean time between troubles.",
        SetNumber(&settings.pause_ms, 1, 60000)},
       {"shape", "", "small", "cera, tabkasse, cera-grown or small.",
        SetText(&settings.shape)},
       {"trouble", "LIST", "all", "Kinds of trouble; -NAME leaves one out.",
        SetText(&settings.troubles)},
       {"gateway", "PATH", "", "The gateway's program.",
        SetText(&settings.gateway)},
       {"record", "FOLDER", "", "Keeps the record, and logs on a violation.",
        SetText(&settings.record_folder)},
       {"help", "", "false", "Print this text.", SetFlag(&help), true}});
  auto arguments = parser.Parse(argc, argv);
  if (!arguments || !arguments->empty() || help || settings.gateway.empty()) {
    std::fputs(parser.Help().c_str(), help ? stdout : stderr);
    return help ? 0 : kUsageExit;
  }
  settings.seed = static_cast<uint64_t>(seed);
  if (!settings.record_folder.empty()) {
    mkdir(settings.record_folder.c_str(), 0755);
  }
  // Its threads serve until the process ends.
  auto* soak = new Soak(settings);
  auto violations = soak->Run();
  if (!violations) {
    std::fprintf(stderr, "basilvalve-process-soak: %s\n",
                 violations.error().message.c_str());
    return kUsageExit;
  }
  for (const std::string& violation : *violations) {
    std::printf("%s\n", violation.c_str());
  }
  std::printf("shape=%s seed=%lld violations=%zu %s\n", settings.shape.c_str(),
              static_cast<long long>(seed), violations->size(),
              soak->Summary().c_str());
  return violations->empty() ? 0 : 1;
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
