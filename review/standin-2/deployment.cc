#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <sstream>

namespace review {
namespace {

using nlohmann::json;

constexpr int kMaxFds = 4100;

std::string AddressText(const std::string& ip, int port) {
  return ip + ":" + std::to_string(port);
}

}  // namespace

Record::Record(const std::string& path) : out_(path), start_ms_(NowMs()) {}

void Record::Line(const std::string& text) { LineAt(NowMs(), text); }

void Record::LineAt(int64_t at_ms, const std::string& text) {
  std::lock_guard lock(mutex_);
  char at[32];
  snprintf(at, sizeof(at), "%9.3f ",
           static_cast<double>(at_ms - start_ms_) / 1000);
  out_ << at << text << "\n" << std::flush;
}

Deployment::Deployment(std::string gateway_program, std::string folder,
                       Record* record)
    : gateway_program_(std::move(gateway_program)),
      folder_(std::move(folder)),
      record_(record) {}

Deployment::~Deployment() {
  std::vector<std::string> names;
  for (const auto& [name, pid] : pids_) {
    names.push_back(name);
  }
  for (const std::string& name : names) {
    Kill(name);
  }
  RecordRuns();
}

void Deployment::RecordRuns() {
  for (const std::string& worker : workers_) {
    std::ifstream in(folder_ + "/" + worker + ".log");
    std::string word;
    std::string id;
    int64_t at_ms = 0;
    while (in >> word >> id >> at_ms) {
      record_->LineAt(at_ms, word + " " + id + " at " + worker);
    }
  }
}

bool Deployment::StartStore() { return store_.Start("127.0.0.1"); }

pid_t Deployment::Spawn(const std::string& name,
                        const std::vector<std::string>& words,
                        const std::vector<std::string>& environment) {
  std::string log = folder_ + "/" + name + ".log";
  // Other threads run: between fork and exec nothing may take memory.
  std::vector<char*> argv;
  for (const std::string& word : words) {
    argv.push_back(const_cast<char*>(word.c_str()));
  }
  argv.push_back(nullptr);
  std::vector<char*> envp;
  for (const std::string& it : environment) {
    envp.push_back(const_cast<char*>(it.c_str()));
  }
  envp.push_back(nullptr);
  pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execve(argv[0], argv.data(), envp.data());
    _exit(127);
  }
  std::lock_guard lock(mutex_);
  pids_[name] = pid;
  return pid;
}

bool Deployment::StartGateway(GatewayPlace* place,
                              const std::map<std::string, std::string>& zones,
                              int memory_mb) {
  if (place->front == 0) {
    place->front = FreePort(place->ip);
    place->ready = FreePort(place->ip);
    place->directory = FreePort(place->ip);
    place->internal = FreePort(place->ip);
  }
  json settings{{"node", place->name},
                {"role", "gateway"},
                {"machine_class", "edge"},
                {"serves", {"edge", "directory"}},
                {"ip", place->ip},
                {"zone", place->zone},
                {"region", zones.at(place->zone)},
                {"zones", zones},
                {"listen",
                 {{"front", AddressText(place->ip, place->front)},
                  {"ready", AddressText(place->ip, place->ready)},
                  {"directory", AddressText(place->ip, place->directory)}}},
                {"internal_ports", {place->internal, place->internal}},
                {"seeds", json::array()},
                {"bootstrap", true},
                {"limits",
                 {{"cpu_share", 0.25},
                  {"cores", 1},
                  {"memory_mb", memory_mb},
                  {"max_fds", kMaxFds}}},
                {"data_dir", nullptr},
                {"discovery", "platform"},
                {"heartbeat_ms", 1200},
                {"bounds",
                 {{"seed_lag_s", 3},
                  {"stable_window_ms", 5000},
                  {"drain_ms", 3000},
                  {"grace_s", 8},
                  {"loss_slack_ms", 200},
                  {"config_apply_ms", 3000},
                  {"retry_budget_ratio", 0.2},
                  {"budget_window_s", 10},
                  {"retry_headroom", 54},
                  {"cold_overshoot", 1.5},
                  {"cold_slack", 3},
                  {"evacuate_ms", 5000},
                  {"recover_s", 12},
                  {"ttl_max_s", 5}}},
                {"platform",
                 {{"address", AddressText("127.0.0.1", store_.port())},
                  {"form", "kv"},
                  {"writes_per_s", 400},
                  {"reads_per_s", 2000},
                  {"history_s", 20},
                  {"value_bytes", 1048576},
                  {"ttl_min_ms", 1000}}}};
  std::string path = folder_ + "/" + place->name + ".json";
  std::ofstream(path) << settings.dump(2);
  record_->Line("start gateway " + place->name);
  std::istringstream command(gateway_program_);
  std::vector<std::string> words;
  for (std::string word; command >> word;) {
    words.push_back(word);
  }
  return Spawn(place->name, words,
               {"BASILVALVE_BOOT=" + path, "PATH=/usr/bin:/bin"}) > 0;
}

bool Deployment::StartWorker(WorkerPlace* place) {
  if (place->port == 0) {
    place->port = FreePort(place->ip);
  }
  char self[4096] = {};
  if (readlink("/proc/self/exe", self, sizeof(self) - 1) < 0) {
    return false;
  }
  record_->Line("start worker " + place->id);
  workers_.insert(place->id);
  return Spawn(
             place->id,
             {self, "worker", place->id, place->service, place->zone, place->ip,
              std::to_string(place->port), std::to_string(place->slots),
              place->behaviour, std::to_string(store_.port())},
             {"PATH=/usr/bin:/bin"}) > 0;
}

void Deployment::Signal(const std::string& name, int signal) {
  std::lock_guard lock(mutex_);
  auto it = pids_.find(name);
  if (it != pids_.end()) {
    record_->Line("signal " + std::to_string(signal) + " to " + name);
    kill(it->second, signal);
  }
}

void Deployment::Kill(const std::string& name) {
  std::lock_guard lock(mutex_);
  auto it = pids_.find(name);
  if (it == pids_.end()) {
    return;
  }
  kill(it->second, SIGKILL);
  waitpid(it->second, nullptr, 0);
  pids_.erase(it);
}

bool Deployment::IsRunning(const std::string& name) {
  std::lock_guard lock(mutex_);
  auto it = pids_.find(name);
  if (it == pids_.end()) {
    return false;
  }
  int status = 0;
  if (waitpid(it->second, &status, WNOHANG) == it->second) {
    record_->Line(name + " has ended by itself, wait status " +
                  std::to_string(status));
    pids_.erase(it);
    return false;
  }
  return true;
}

double Deployment::MemoryMb(const std::string& name) {
  std::lock_guard lock(mutex_);
  auto it = pids_.find(name);
  if (it == pids_.end()) {
    return 0;
  }
  std::ifstream in("/proc/" + std::to_string(it->second) + "/statm");
  double pages = 0;
  double resident = 0;
  in >> pages >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

bool Deployment::AwaitReady(const GatewayPlace& place, int64_t timeout_ms) {
  int64_t until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    auto channel = Channel::Connect(place.ip, place.ready, 500);
    Message answer;
    if (channel &&
        channel->Write("GET /basilvalve/readyz HTTP/1.1\r\nHost: p\r\n\r\n") &&
        channel->Read(&answer, NowMs() + 1000) && answer.Status() == 200) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

json ModelService(const std::string& name) {
  return {{"name", name},
          {"health_path", "/healthz"},
          {"max_connections", 360},
          {"cold_start_s", 3.0},
          {"cold_per_s", 2.4},
          {"engine",
           {{"slots", 64},
            {"kv_tokens", 444719},
            {"kv_bytes", 18432},
            {"link_mbps", 550000.0},
            {"moves", false},
            {"stride", 8},
            {"models", json::array({json{{"name", "m"}}})}}}};
}

json PlainService(const std::string& name) {
  return {{"name", name},
          {"health_path", "/healthz"},
          {"max_connections", 100},
          {"cold_start_s", 0.0},
          {"cold_per_s", 0.0}};
}

json RouteRow(const std::string& prefix, const std::string& kind,
              const std::string& service, int timeout_ms, int target_ms,
              int max_attempts, bool is_resumable) {
  json row = {{"name", prefix.substr(1, prefix.size() - 2)},
              {"host", "review.example"},
              {"prefix", prefix},
              {"kind", kind},
              {"timeout_ms", timeout_ms},
              {"target_latency_ms", target_ms},
              {"priority", 1},
              {"service", service},
              {"max_attempts", max_attempts},
              {"home_regions", json::array()}};
  if (kind == "streaming") {
    row["sticky"] = true;
    row["resumable"] = is_resumable;
    row["gap_aim_ms"] = 600;
  }
  return row;
}

std::string DesiredState(int version, const json& routes,
                         const json& services) {
  return json{{"version", version},
              {"routes", routes},
              {"services", services},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 4194304},
                {"header_timeout_ms", 5000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

std::string EntryOf(const WorkerPlace& place, int64_t born_ms,
                    uint64_t sequence, int64_t cold_remaining_ms) {
  return json{{"service", place.service},
              {"address", AddressText(place.ip, place.port)},
              {"zone", place.zone},
              {"version", "v1"},
              {"slots", place.slots},
              {"state", "ready"},
              {"cold_remaining_ms", cold_remaining_ms},
              {"sequence", sequence},
              {"born", born_ms}}
      .dump();
}

bool WriteEntry(const std::string& store_ip, int store_port,
                const std::string& key, const std::string& value) {
  auto channel = Channel::Connect(store_ip, store_port, 1000);
  std::string body = json{
      {"expected_rev", json::array()},
      {"writes", json::array({json{
                     {"key", key}, {"value", ToBase64(value)}, {"lease", 0}}})},
      {"remove",
       json::array()}}.dump();
  Message answer;
  return channel &&
         channel->Write(
             "POST /basilvalve/kv-txn HTTP/1.1\r\nHost: s\r\n"
             "Content-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body) &&
         channel->Read(&answer, NowMs() + 1000) && answer.Status() == 200;
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace review
