// The gateway daemon. Parses the settings, runs one instance and drains it on
// SIGTERM, SIGINT or a request to the admin address.
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
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

/// Blocks SIGTERM and SIGINT in this thread and in all threads started later,
/// so that only `sigtimedwait` receives them. Ignores SIGPIPE.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Most threads wait on a stream and allocate little. With one malloc arena per
// thread, the process would hold several times the memory that it uses.
constexpr int kMallocArenas = 4;

// Blocks of this size and more are given back to the system when they are
// freed. By default, the allocator raises the threshold with each of them.
constexpr int kMmapThreshold = 128 * 1024;

/// Raises the soft limit on open descriptors up to `wanted`, as far as the hard
/// limit permits.
void RaiseDescriptorLimit(int64_t wanted) {
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) != 0 ||
      files.rlim_cur >= static_cast<rlim_t>(wanted)) {
    return;
  }
  files.rlim_cur = std::min(files.rlim_max, static_cast<rlim_t>(wanted));
  if (setrlimit(RLIMIT_NOFILE, &files) != 0 ||
      files.rlim_cur < static_cast<rlim_t>(wanted)) {
    LogEvent(LogLevel::kWarn, "main", "descriptor_limit_low")
        .With("limit", static_cast<int64_t>(files.rlim_cur))
        .With("max_descriptors", wanted);
  }
}

int Run(const gateway::NodeSettings& settings) {
  mallopt(M_ARENA_MAX, kMallocArenas);
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);
  RaiseDescriptorLimit(settings.max_descriptors);
  sigset_t signals = BlockStopSignals();
  Result<std::unique_ptr<gateway::Node>> node = gateway::Node::Start(
      settings, gateway::Node::CreateHttpPlatform(settings));
  if (!node) {
    return ReportError(node.error());
  }
  std::thread stop_thread([&signals, node_ptr = node->get()] {
    // Polls, because a drain can also be requested over the admin address.
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
