// Stand-in for the platform: settings files, the gateways' processes, their
// memory limit, the operator's desired state, and the record of a run.
#pragma once

#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstdarg>
#include <cstdio>
#include <fstream>
#include <memory>
#include <mutex>
#include <random>
#include <set>

#include "store.h"

namespace review {

inline int64_t start_ms = NowMs();

/// What was sent, answered and run, as lines with the time in seconds.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const char* format, ...) {
    char text[1024];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    char at[32];
    snprintf(at, sizeof(at), "%8.3f ",
             static_cast<double>(NowMs() - start_ms) / 1000);
    std::lock_guard lock(mutex_);
    out_ << at << text << "\n";
    out_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}
  double Share() {
    std::lock_guard lock(mutex_);
    return std::uniform_real_distribution<double>(0, 1)(engine_);
  }
  uint64_t Next() {
    std::lock_guard lock(mutex_);
    return engine_();
  }
  std::string Hex() {
    char text[20];
    snprintf(text, sizeof(text), "%016llx",
             static_cast<unsigned long long>(Next()));
    return text;
  }

 private:
  std::mutex mutex_;
  std::mt19937_64 engine_;
};

/// The gateways of one deployment, started as the deploy file says.
class Fleet {
 public:
  struct Node {
    std::string name;
    std::string zone;
    std::string ip;
    int front = 0;
    int ready = 0;
    int directory = 0;
    int internal = 0;
    pid_t pid = -1;
    int64_t peak_kb = 0;
    int killed_for_memory = 0;
    int ended = 0;
  };

  Fleet(Record* record, int store_port) : record_(record), store_(store_port) {
    char name[] = "/tmp/review-XXXXXX";
    folder_ = mkdtemp(name);
    // Processes of the same port on different loopback addresses.
    net_ = "127." + std::to_string(20 + getpid() % 200) + "." +
           std::to_string(1 + getpid() / 200 % 250) + ".";
  }
  ~Fleet() { Stop(); }

  /// `zones`: zone to region; `machines`: the zone of each machine.
  void Create(const std::map<std::string, std::string>& zones,
              const std::vector<std::string>& machines, int memory_mb) {
    memory_mb_ = memory_mb;
    std::map<std::string, int> numbers;
    for (const std::string& zone : machines) {
      Node node;
      node.zone = zone;
      node.name = "edge-" + zone + "-" + std::to_string(++numbers[zone]);
      node.ip = net_ + std::to_string(nodes_.size() + 1);
      node.front = FreePort(node.ip, 24);
      node.ready = node.front + 1;
      node.directory = node.front + 2;
      node.internal = node.front + 3;
      nodes_.push_back(node);
    }
    for (const Node& node : nodes_) {
      WriteSettings(node, zones);
    }
  }

  bool StartAll() {
    for (Node& node : nodes_) {
      if (!Start(&node)) {
        return false;
      }
    }
    watcher_ = std::thread([this] { Watch(); });
    return true;
  }

  /// Waits until each gateway says that it is ready.
  bool WaitReady(int timeout_ms) {
    int64_t until = NowMs() + timeout_ms;
    for (const Node& node : nodes_) {
      while (!IsReady(node)) {
        if (NowMs() > until) {
          return false;
        }
        SleepMs(50);
      }
    }
    return true;
  }

  bool IsReady(const Node& node) {
    int fd = Channel::Connect(node.ip, node.ready, 500);
    if (fd < 0) {
      return false;
    }
    Channel channel(fd);
    Message answer;
    return channel.Write("GET /basilvalve/readyz HTTP/1.1\r\nHost: p\r\n\r\n") &&
           channel.Read(&answer, NowMs() + 1000, true) == ReadResult::kDone &&
           answer.Status() == 200;
  }

  void Signal(size_t i, int number) {
    std::lock_guard lock(mutex_);
    if (nodes_[i].pid > 0) {
      record_->Line("signal %d to %s", number, nodes_[i].name.c_str());
      kill(nodes_[i].pid, number);
    }
  }

  void Stop() {
    {
      std::lock_guard lock(mutex_);
      is_stopping_ = true;
    }
    if (watcher_.joinable()) {
      watcher_.join();
    }
    for (Node& node : nodes_) {
      if (node.pid > 0) {
        kill(node.pid, SIGKILL);
        waitpid(node.pid, nullptr, 0);
        node.pid = -1;
      }
      unlink(SettingsPath(node).c_str());
      unlink((folder_ + "/" + node.name + ".log").c_str());
    }
    rmdir(folder_.c_str());
  }
  void KeepLogs(const std::string& to) {
    for (const Node& node : nodes_) {
      std::ifstream in(folder_ + "/" + node.name + ".log");
      std::ofstream(to + "/" + node.name + ".log") << in.rdbuf();
    }
  }

  std::vector<Node>& nodes() { return nodes_; }

 private:
  std::string SettingsPath(const Node& node) const {
    return folder_ + "/" + node.name + ".json";
  }

  void WriteSettings(const Node& node,
                     const std::map<std::string, std::string>& zones) {
    auto at = [&](int port) { return node.ip + ":" + std::to_string(port); };
    json settings = {
        {"node", node.name},
        {"role", "gateway"},
        {"machine_class", "edge"},
        {"serves", {"edge", "directory"}},
        {"ip", node.ip},
        {"zone", node.zone},
        {"region", zones.at(node.zone)},
        {"zones", zones},
        {"listen",
         {{"front", at(node.front)},
          {"ready", at(node.ready)},
          {"directory", at(node.directory)}}},
        {"internal_ports", {node.internal, node.internal + 15}},
        {"seeds", json::array()},
        {"bootstrap", true},
        {"limits",
         {{"cpu_share", 0.25},
          {"cores", 1},
          {"memory_mb", memory_mb_},
          {"max_fds", 4100},
          {"link_mbps", 1000.0},
          {"disk_mb", 0}}},
        {"discovery", "platform"},
        {"entry", "directory"},
        {"heartbeat_ms", 1200},
        {"contracts",
         {"base", "drain", "config", "cost", "retry", "recover", "engine",
          "stream", "places", "platform"}},
        {"fault_tolerance", {{"machines", 2}, {"zones", 1}, {"regions", 1}}},
        {"bounds",
         {{"seed_lag_s", 3},          {"addr_reuse_s", 2},
          {"stable_window_ms", 5000}, {"ack_ms", 6000},
          {"catch_up_s", 4},          {"drain_ms", 3000},
          {"grace_s", 8},             {"loss_slack_ms", 200},
          {"config_apply_ms", 3000},  {"downgrade_slack_ms", 250},
          {"outer_bound_ms", 8000},   {"retry_budget_ratio", 0.2},
          {"budget_window_s", 10},    {"retry_headroom", 56},
          {"cold_overshoot", 1.5},    {"cold_slack", 3},
          {"evacuate_ms", 5000},      {"recover_s", 12},
          {"pass_ms", 600},           {"again_s", 10},
          {"ttl_max_s", 5}}},
        {"platform",
         {{"address", "127.0.0.1:" + std::to_string(store_)},
          {"form", "kv"},
          {"writes_per_s", 400},
          {"reads_per_s", 2000},
          {"history_s", 20},
          {"value_bytes", 1048576},
          {"ttl_min_ms", 1000}}}};
    std::ofstream(SettingsPath(node)) << settings.dump(1);
  }

  bool Start(Node* node) {
    std::string program = "target/platform/basilvalve-gateway";
    if (const char* other = getenv("REVIEW_GATEWAY")) {
      program = other;
    }
    std::string variable = "BASILVALVE_BOOT=" + SettingsPath(*node);
    std::string log = folder_ + "/" + node->name + ".log";
    pid_t parent = getpid();
    pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(1);
      }
      int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(fd, 1);
      dup2(fd, 2);
      std::string path = std::string("PATH=") + getenv("PATH");
      std::string home =
          std::string("HOME=") + (getenv("HOME") ? getenv("HOME") : "/tmp");
      char* argv[] = {program.data(), nullptr};
      char* env[] = {variable.data(), path.data(), home.data(), nullptr};
      execve(program.c_str(), argv, env);
      _exit(127);
    }
    node->pid = pid;
    record_->Line("start %s pid %d", node->name.c_str(), static_cast<int>(pid));
    return pid > 0;
  }

  static int64_t ResidentKb(pid_t pid) {
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    int64_t size = 0;
    int64_t resident = 0;
    in >> size >> resident;
    return resident * sysconf(_SC_PAGESIZE) / 1024;
  }

  // Ends a process that exceeds its memory, and starts ended ones again after a
  // short delay, as the platform does.
  void Watch() {
    std::map<size_t, int64_t> start_at;
    for (;;) {
      SleepMs(10);
      std::lock_guard lock(mutex_);
      if (is_stopping_) {
        return;
      }
      for (size_t i = 0; i < nodes_.size(); ++i) {
        Node& node = nodes_[i];
        if (node.pid <= 0) {
          if (start_at.contains(i) && NowMs() >= start_at[i]) {
            start_at.erase(i);
            Start(&node);
          }
          continue;
        }
        int64_t kb = ResidentKb(node.pid);
        node.peak_kb = std::max(node.peak_kb, kb);
        if (memory_mb_ > 0 && kb > int64_t{memory_mb_} * 1024) {
          record_->Line("%s uses %lld KB, more than its %d MB: killed",
                        node.name.c_str(), static_cast<long long>(kb),
                        memory_mb_);
          ++node.killed_for_memory;
          kill(node.pid, SIGKILL);
        }
        int status = 0;
        if (waitpid(node.pid, &status, WNOHANG) == node.pid) {
          ++node.ended;
          record_->Line("%s ended, %s %d", node.name.c_str(),
                        WIFSIGNALED(status) ? "signal" : "code",
                        WIFSIGNALED(status) ? WTERMSIG(status)
                                            : WEXITSTATUS(status));
          node.pid = -1;
          start_at[i] = NowMs() + 500;
        }
      }
    }
  }

  Record* record_;
  int store_;
  int memory_mb_ = 0;
  std::string folder_;
  std::string net_;
  std::vector<Node> nodes_;
  std::mutex mutex_;
  bool is_stopping_ = false;
  std::thread watcher_;
};

}  // namespace review
