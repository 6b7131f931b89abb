// The daemon: parses settings, starts one instance and stops it on a signal.
#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "Core/Common/log.h"
#include "Core/Gateway/node.h"

namespace basilvalve {
namespace {

constexpr int kInvalidSettingsExit = 2;
constexpr int kDrainTimeoutExit = 3;

int ReportError(const Error& error) {
  std::fprintf(stderr, "basilvalved: %s\n", error.message.c_str());
  return kInvalidSettingsExit;
}

/// Blocks the signals that stop the daemon in every thread started later.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

/// Most threads wait in a stream and allocate little; with an arena for each of
/// them the process would hold several times what it uses.
constexpr int kMallocArenas = 4;

int Run(const gateway::NodeSettings& settings) {
  mallopt(M_ARENA_MAX, kMallocArenas);
  sigset_t signals = BlockStopSignals();
  Result<std::unique_ptr<gateway::Node>> node = gateway::Node::Start(
      settings, gateway::Node::CreateHttpPlatform(settings));
  if (!node) {
    return ReportError(node.error());
  }
  std::thread stop_thread([&signals, node_ptr = node->get()] {
    // A drain may also be asked for over the admin address.
    constexpr timespec kPollInterval{0, 100'000'000};
    while (!node_ptr->draining() &&
           sigtimedwait(&signals, nullptr, &kPollInterval) < 0) {
    }
    node_ptr->BeginDrain();
  });
  bool drained = (*node)->AwaitDrained();
  stop_thread.join();
  return drained ? 0 : kDrainTimeoutExit;
}

int Main(int argc, char** argv) {
  gateway::NodeSettings settings;
  OptionParser parser("basilvalved", "[flags]",
                      gateway::NodeOptions(&settings));
  Result<std::vector<std::string>> positional = parser.Parse(argc, argv);
  if (!positional) {
    return ReportError(positional.error());
  }
  if (!positional->empty()) {
    return ReportError(
        MakeError(ResultCode::kSettingInvalid,
                  positional->front() + ": unexpected argument"));
  }
  if (settings.help || settings.print_settings) {
    std::fputs(
        settings.help ? parser.Help().c_str() : parser.Markdown().c_str(),
        stdout);
    return 0;
  }
  Result<void> validation = gateway::CheckNodeSettings(settings);
  if (!validation) {
    return ReportError(validation.error());
  }
  if (settings.check) {
    std::puts("settings are valid");
    return 0;
  }
  InitLogging(gateway::LogLevelOf(settings));
  return Run(settings);
}

}  // namespace
}  // namespace basilvalve

int main(int argc, char** argv) { return basilvalve::Main(argc, argv); }
