#include "BasilvalveProcessSoak/process_watch.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>

#include "BasilvalveProcessSoak/channel.h"

namespace basilvalve::process_soak {
namespace {

constexpr int64_t kSampleMs = 10;
// Longer than a busy machine keeps a process from reading.
constexpr int64_t kSteadyMs = 500;

}  // namespace

ProcessWatch::ProcessWatch(pid_t pid)
    : pid_(pid), sampler_([this] { Sample(); }) {}

ProcessWatch::~ProcessWatch() {
  is_over_ = true;
  sampler_.join();
}

void ProcessWatch::Sample() {
  std::string folder = "/proc/" + std::to_string(pid_) + "/fd";
  while (!is_over_) {
    int n = 0;
    std::error_code ec;
    for (std::filesystem::directory_iterator it(folder, ec), end;
         !ec && it != end; it.increment(ec)) {
      ++n;
    }
    peak_descriptors_ = std::max(peak_descriptors_.load(), n);
    SleepMs(kSampleMs);
  }
}

int64_t ProcessWatch::PeakMemory() const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  const std::string name = "VmHWM:";
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with(name)) {
      return std::stoll(line.substr(name.size())) * 1024;
    }
  }
  return -1;
}

void ProcessWatch::WaitUntilSteady() const {
  int64_t size = PeakMemory();
  for (int64_t since = NowMs(); NowMs() - since < kSteadyMs;) {
    SleepMs(kSampleMs);
    int64_t now = PeakMemory();
    if (now != size) {
      size = now;
      since = NowMs();
    }
  }
}

}  // namespace basilvalve::process_soak
