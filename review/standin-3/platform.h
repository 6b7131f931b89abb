// The platform for the stand-ins of the third review: its store, and the gateways as processes.
#pragma once

#include <nlohmann/json.hpp>

#include "loop.h"

namespace review {

using nlohmann::json;

inline std::string Base64(const std::string& bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t n = static_cast<unsigned char>(bytes[i]) << 16;
    if (i + 1 < bytes.size()) n |= static_cast<unsigned char>(bytes[i + 1]) << 8;
    if (i + 2 < bytes.size()) n |= static_cast<unsigned char>(bytes[i + 2]);
    out += digits[n >> 18 & 63];
    out += digits[n >> 12 & 63];
    out += i + 1 < bytes.size() ? digits[n >> 6 & 63] : '=';
    out += i + 2 < bytes.size() ? digits[n & 63] : '=';
  }
  return out;
}

// The store, as PROTOCOL.md describes it. Values stay in base64.
class Store {
 public:
  Store(Loop* loop, const std::string& host)
      : loop_(loop), listener_(loop, host, 0, [this](Connection::Ptr c) { Serve(std::move(c)); }), host_(host) {
    Reap();
  }
  std::string address() const { return host_ + ":" + std::to_string(listener_.port()); }

  void Put(const std::string& key, const std::string& value) { PutEncoded(key, Base64(value), 0); }
  void Remove(const std::string& key) {
    if (items_.erase(key) == 0) return;
    events_.push_back({{"key", key}, {"revision", ++revision_}, {"tombstone", true}});
    Wake();
  }

 private:
  struct Waiting {
    Connection::Ptr connection;
    uint64_t after;
    double ends;
  };

  void PutEncoded(const std::string& key, const std::string& value, uint64_t lease) {
    ++revision_;
    uint64_t created = items_.count(key) > 0 ? items_[key]["created_rev"].get<uint64_t>() : revision_;
    items_[key] = {{"key", key}, {"value", value}, {"revision", revision_}, {"created_rev", created}, {"lease", lease}};
    events_.push_back(items_[key]);
    Wake();
  }
  void Serve(Connection::Ptr connection) {
    auto reader = std::make_shared<RequestReader>();
    connections_.insert(connection);
    connection->on_read = [this, raw = connection.get(), reader] {
      Message request;
      while (reader->Next(&raw->in, &request)) Answer(raw->shared_from_this(), request);
    };
    connection->on_end = [this, raw = connection.get()] {
      auto self = raw->shared_from_this();
      loop_->After(0, [this, self] { connections_.erase(self); });
    };
  }
  static void Reply(const Connection::Ptr& connection, int status, const json& body) {
    std::string text = body.dump();
    connection->Write("HTTP/1.1 " + std::to_string(status) +
                      " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
                      "\r\n\r\n" + text);
  }
  static std::string Query(const std::string& target, const std::string& name) {
    size_t at = target.find(name + "=");
    if (at == std::string::npos) return "";
    at += name.size() + 1;
    return target.substr(at, target.find('&', at) - at);
  }
  void Answer(const Connection::Ptr& connection, const Message& request) {
    std::string target = request.Word(1);
    auto is = [&](const char* path) { return target.rfind(path, 0) == 0; };
    auto last = [&] { return static_cast<uint64_t>(atoll(target.substr(target.rfind('/') + 1).c_str())); };
    if (is("/basilvalve/kv-range")) {
      json rows = json::array();
      for (const auto& [key, item] : items_) rows.push_back(item);
      Reply(connection, 200, {{"items", rows}, {"truncated", false}, {"current_rev", revision_}});
    } else if (is("/basilvalve/kv-watch")) {
      waiting_.push_back({connection, static_cast<uint64_t>(atoll(Query(target, "after").c_str())),
                          Now() + atof(Query(target, "wait_ms").c_str()) / 1000});
      Wake();
    } else if (is("/basilvalve/kv-lease-end/")) {
      leases_.erase(last());
      Reply(connection, 200, json::object());
    } else if (is("/basilvalve/kv-lease")) {
      double ttl = json::parse(request.body).at("ttl_ms").get<double>();
      leases_[++last_lease_] = {ttl / 1000, Now() + ttl / 1000};
      Reply(connection, 200, {{"lease", last_lease_}, {"ttl_ms", ttl}});
    } else if (is("/basilvalve/kv-keep/")) {
      auto lease = leases_.find(last());
      if (lease == leases_.end()) return Reply(connection, 404, json::object());
      lease->second.second = Now() + lease->second.first;
      Reply(connection, 200, {{"ttl_ms", lease->second.first * 1000}});
    } else if (is("/basilvalve/kv-txn")) {
      json body = json::parse(request.body);
      for (const json& row : body.at("writes")) {
        uint64_t lease = row.value("lease", uint64_t{0});
        if (lease != 0 && leases_.count(lease) == 0) return Reply(connection, 404, json::object());
      }
      for (const json& row : body.at("writes")) {
        PutEncoded(row.at("key"), row.at("value"), row.value("lease", uint64_t{0}));
      }
      Reply(connection, 200, {{"revision", revision_}});
    } else {
      Reply(connection, 404, json::object());
    }
  }
  void Wake() {
    std::vector<Waiting> still;
    for (Waiting& it : waiting_) {
      json rows = json::array();
      for (const json& event : events_) {
        if (event["revision"].get<uint64_t>() > it.after) rows.push_back(event);
      }
      if (rows.empty() && Now() < it.ends) {
        still.push_back(it);
      } else {
        Reply(it.connection, 200, {{"events", rows}, {"current_rev", revision_}});
      }
    }
    waiting_ = std::move(still);
  }
  void Reap() {
    std::set<uint64_t> ended;
    for (const auto& [lease, time] : leases_) {
      if (time.second < Now()) ended.insert(lease);
    }
    for (uint64_t lease : ended) leases_.erase(lease);
    std::vector<std::string> gone;
    for (const auto& [key, item] : items_) {
      uint64_t lease = item["lease"].get<uint64_t>();
      if (lease != 0 && leases_.count(lease) == 0) gone.push_back(key);
    }
    for (const std::string& key : gone) Remove(key);
    Wake();
    loop_->After(0.1, [this] { Reap(); });
  }

  Loop* loop_;
  Listener listener_;
  std::string host_;
  std::set<Connection::Ptr> connections_;
  std::map<std::string, json> items_;
  std::vector<json> events_;
  std::vector<Waiting> waiting_;
  std::map<uint64_t, std::pair<double, double>> leases_;
  uint64_t last_lease_ = 1000;
  uint64_t revision_ = 10;
};

// What a process holds, as DEPLOY.md counts it: its memory and the bytes that it has received and not
// read yet.
struct MemoryUse {
  double resident = 0;
  double unread = 0;
  double sum() const { return resident + unread; }
};

// Bytes received and not read yet, by the socket's inode, where there are any. The fields before them have
// fixed widths after the number of the line; most lines are of closed connections and are skipped fast.
inline std::vector<std::pair<std::string, double>> UnreadBytes() {
  constexpr size_t kState = 30, kReceived = 42, kDigits = 8;
  std::vector<std::pair<std::string, double>> out;
  std::ifstream table("/proc/self/net/tcp");
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    size_t colon = line.find(':');
    if (colon == std::string::npos || line.size() < colon + kReceived + kDigits) continue;
    // A listening socket counts its queue of connections there.
    bool is_listening = line.compare(colon + kState, 2, "0A") == 0;
    if (is_listening || line.compare(colon + kReceived, kDigits, "00000000") == 0) continue;
    std::istringstream in(line.substr(colon + kReceived));
    std::string received, timer, retransmits, uid, timeout, inode;
    in >> received >> timer >> retransmits >> uid >> timeout >> inode;
    out.emplace_back(inode, static_cast<double>(strtoul(received.c_str(), nullptr, 16)));
  }
  return out;
}

// One gateway machine of a small deployment.
class Gateway {
 public:
  Gateway(std::string name, std::string ip, std::string zone, std::string region, const json& zones,
          const std::string& store, const std::string& folder, int memory_mb)
      : name_(std::move(name)), ip_(std::move(ip)), folder_(folder) {
    constexpr int kInternalPorts = 16;
    front_ = FreePorts(ip_, 3 + kInternalPorts);
    int ready = front_ + 1;
    int directory = front_ + 2;
    int internal = front_ + 3;
    auto at = [&](int port) { return ip_ + ":" + std::to_string(port); };
    json settings = {
        {"node", name_}, {"role", "gateway"}, {"machine_class", "edge"}, {"serves", {"edge", "directory"}},
        {"ip", ip_}, {"zone", zone}, {"region", region}, {"zones", zones},
        {"listen", {{"front", at(front_)}, {"ready", at(ready)}, {"directory", at(directory)}}},
        {"internal_ports", {internal, internal + kInternalPorts - 1}}, {"seeds", json::array()}, {"bootstrap", true},
        {"tolerance_member", false},
        {"limits", {{"cpu_share", 0.25}, {"cores", 1}, {"memory_mb", memory_mb}, {"max_fds", 4100},
                    {"link_mbps", 1000.0}, {"disk_mb", 0}}},
        {"data_dir", nullptr}, {"discovery", "platform"}, {"entry", "directory"}, {"heartbeat_ms", 1200},
        {"contracts", {"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "platform"}},
        {"fault_tolerance", {{"machines", 2}, {"zones", 1}, {"regions", 1}}},
        {"bounds", {{"seed_lag_s", 3}, {"addr_reuse_s", 2}, {"stable_window_ms", 5000}, {"ack_ms", 6000},
                    {"catch_up_s", 4}, {"drain_ms", 3000}, {"grace_s", 8}, {"loss_slack_ms", 200},
                    {"config_apply_ms", 3000}, {"downgrade_slack_ms", 250}, {"outer_bound_ms", 8000},
                    {"retry_budget_ratio", 0.2}, {"budget_window_s", 10}, {"retry_headroom", 54},
                    {"cold_overshoot", 1.5}, {"cold_slack", 3}, {"evacuate_ms", 5000}, {"recover_s", 12},
                    {"pass_ms", 600}, {"again_s", 10}, {"ttl_max_s", 5}}},
        {"platform", {{"address", store}, {"form", "kv"}, {"writes_per_s", 400}, {"reads_per_s", 2000},
                      {"history_s", 20}, {"value_bytes", 1048576}, {"ttl_min_ms", 1000}}}};
    file_ = folder_ + "/" + name_ + ".json";
    std::ofstream(file_) << settings.dump(1);
  }
  ~Gateway() { Kill(); }

  void Start() {
    pid_ = fork();
    if (pid_ != 0) return;
    // Whatever ends the stand-in ends its gateways.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int log = open((folder_ + "/" + name_ + ".log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    setenv("BASILVALVE_BOOT", file_.c_str(), 1);
    signal(SIGPIPE, SIG_DFL);
    execl("target/platform/basilvalve-gateway", "target/platform/basilvalve-gateway", nullptr);
    _exit(127);
  }
  void Signal(int number) const {
    if (pid_ > 0) kill(pid_, number);
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  // Whether the process has ended by itself; `status` is that of waitpid.
  bool HasEnded(int* status) {
    if (pid_ <= 0 || waitpid(pid_, status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  MemoryUse Memory() const {
    MemoryUse use;
    std::string proc = "/proc/" + std::to_string(pid_);
    char program[256] = {};
    // Until it runs the program, the process has the memory of the stand-in.
    if (readlink((proc + "/exe").c_str(), program, sizeof(program) - 1) <= 0 ||
        std::string(program).find("basilvalve-gateway") == std::string::npos) {
      return use;
    }
    std::ifstream status(proc + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("VmRSS:", 0) == 0) use.resident = atof(line.c_str() + 6) * 1024;
    }
    std::set<std::string> inodes;
    if (DIR* dir = opendir((proc + "/fd").c_str())) {
      while (dirent* entry = readdir(dir)) {
        char link[64] = {};
        ssize_t n = readlink((proc + "/fd/" + entry->d_name).c_str(), link, sizeof(link) - 1);
        std::string text(link, n > 0 ? static_cast<size_t>(n) : 0);
        if (text.rfind("socket:[", 0) == 0) inodes.insert(text.substr(8, text.size() - 9));
      }
      closedir(dir);
    }
    for (const auto& [inode, bytes] : UnreadBytes()) {
      if (inodes.count(inode) > 0) use.unread += bytes;
    }
    return use;
  }
  const std::string& name() const { return name_; }
  const std::string& ip() const { return ip_; }
  int front() const { return front_; }
  bool is_running() const { return pid_ > 0; }

 private:
  std::string name_;
  std::string ip_;
  std::string folder_;
  std::string file_;
  int front_ = 0;
  pid_t pid_ = -1;
};

inline std::string WorkerEntry(const std::string& service, const std::string& address, const std::string& zone,
                               int slots, int64_t born, const std::string& state = "ready", int sequence = 1) {
  return json{{"service", service}, {"address", address}, {"zone", zone}, {"version", "v1"}, {"slots", slots},
              {"state", state}, {"cold_remaining_ms", 0}, {"sequence", sequence}, {"born", born}}
      .dump();
}

inline json Engine() {
  return {{"slots", 64}, {"kv_tokens", 444719}, {"kv_bytes", 327680}, {"link_mbps", 1100000.0}, {"moves", true},
          {"backups", true}, {"stride", 8}, {"most", 12}, {"pin_ms", 4000.0}, {"hold_ms", 2000.0},
          {"handle_s", 5.0}, {"models", {{{"name", "m"}}}}};
}

inline json RouteRow(const std::string& prefix, const std::string& kind, const std::string& service, int timeout_ms,
                     int target_ms, int attempts, bool resumable) {
  return {{"name", "r" + prefix}, {"host", "bars.example"}, {"prefix", prefix}, {"kind", kind},
          {"timeout_ms", timeout_ms}, {"target_latency_ms", target_ms}, {"priority", 1}, {"service", service},
          {"max_attempts", attempts}, {"allow_anonymous", false}, {"sticky", kind == "streaming"},
          {"resumable", resumable}, {"gap_aim_ms", 600}, {"home_regions", json::array()}};
}

inline json DesiredState(int version, const json& routes) {
  return {{"version", version},
          {"routes", routes},
          {"services",
           {{{"name", "basil-serve"}, {"health_path", "/healthz"}, {"max_connections", 360}, {"protocol", "h1"},
             {"tls", false}, {"cold_start_s", 3.0}, {"cold_per_s", 2.4}, {"engine", Engine()}},
            {{"name", "tab-api"}, {"health_path", "/healthz"}, {"max_connections", 100}, {"protocol", "h1"},
             {"tls", false}, {"cold_start_s", 0.0}, {"cold_per_s", 0.0}}}},
          {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}}}};
}

}  // namespace review
