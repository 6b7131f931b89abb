#include "BasilvalveProcessSoak/process_watch.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "BasilvalveProcessSoak/channel.h"

namespace basilvalve::process_soak {
namespace {

constexpr int64_t kSampleMs = 10;
// Longer than a busy machine keeps a process from reading.
constexpr int64_t kSteadyMs = 500;
// Reading the kernel's table of sockets takes longer than the other samples.
constexpr int kSamplesPerSocketScan = 10;
constexpr int kHex = 16;
constexpr const char* kListening = "0A";

// Texts such as "socket:[1234]" of a process's open descriptors.
std::set<std::string> OpenDescriptors(pid_t pid) {
  std::set<std::string> open;
  std::error_code ec;
  for (std::filesystem::directory_iterator
           it("/proc/" + std::to_string(pid) + "/fd", ec),
       end;
       !ec && it != end; it.increment(ec)) {
    std::error_code unreadable;
    open.insert(std::filesystem::read_symlink(it->path(), unreadable).string());
  }
  return open;
}

// Sum of the received and unread bytes of the process's TCP sockets.
int64_t UnreadBytes(pid_t pid) {
  std::set<std::string> open = OpenDescriptors(pid);
  std::ifstream table("/proc/net/tcp");
  int64_t sum = 0;
  for (std::string line; std::getline(table, line);) {
    std::istringstream row(line);
    std::string slot, local, remote, state, queues, timer, retransmits, uid,
        timeout, inode;
    row >> slot >> local >> remote >> state >> queues >> timer >> retransmits >>
        uid >> timeout >> inode;
    size_t colon = queues.find(':');
    // The queue of a listening socket counts connections.
    if (colon != std::string::npos && state != kListening &&
        open.count("socket:[" + inode + "]") > 0) {
      sum += std::stoll(queues.substr(colon + 1), nullptr, kHex);
    }
  }
  return sum;
}

}  // namespace

ProcessWatch::ProcessWatch(pid_t pid)
    : pid_(pid), sampler_([this] { Sample(); }) {}

ProcessWatch::~ProcessWatch() {
  is_over_ = true;
  sampler_.join();
}

void ProcessWatch::Sample() {
  std::string folder = "/proc/" + std::to_string(pid_) + "/fd";
  for (int sample = 0; !is_over_; ++sample) {
    int n = 0;
    std::error_code ec;
    for (std::filesystem::directory_iterator it(folder, ec), end;
         !ec && it != end; it.increment(ec)) {
      ++n;
    }
    peak_descriptors_ = std::max(peak_descriptors_.load(), n);
    if (sample % kSamplesPerSocketScan == 0) {
      peak_unread_bytes_ =
          std::max(peak_unread_bytes_.load(), UnreadBytes(pid_));
    }
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
