// Plays a case of the review, or serves as one of its workers.
#include <sys/resource.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>

#include "cases.h"
#include "http.h"
#include "worker.h"

namespace review {
namespace {

constexpr int kMetricsPort = 9464;

// Each gateway has its metrics at the same port, so it needs an address of its
// own.
std::string FreeAddress() {
  for (int i = 1; i < 250; ++i) {
    std::string ip = "127.0.77." + std::to_string(i);
    if (auto channel = Channel::Connect(ip, kMetricsPort, 200); !channel) {
      return ip;
    }
  }
  return "";
}

int Main(int argc, char** argv) {
  if (argc > 1 && strcmp(argv[1], "worker") == 0) {
    return RunWorker(argc, argv);
  }
  if (argc != 5) {
    fprintf(stderr, "usage: %s CASE GATEWAY FOLDER RECORD\n", argv[0]);
    return kCannotRun;
  }
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  const char* trouble = getenv("TROUBLE");
  CaseSettings settings{argv[2], argv[3], argv[4], FreeAddress(),
                        trouble == nullptr || strcmp(trouble, "0") != 0};
  if (settings.ip.empty()) {
    return kCannotRun;
  }
  const std::map<std::string, int (*)(const CaseSettings&)> cases = {
      {"freeze", &PlayFreeze},
      {"deadly", &PlayDeadly},
      {"crashloop", &PlayCrashLoop},
      {"unframed", &PlayUnframed},
      {"endless", &PlayEndless}};
  auto it = cases.find(argv[1]);
  return it == cases.end() ? kCannotRun : it->second(settings);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  int code = review::Main(argc, argv);
  fflush(stdout);
  // Threads of the stand-ins still serve.
  _Exit(code);
}
