// Plays one case of the review: the gateways of a small deployment as separate
// processes, with stand-ins for the platform, the workers and the clients.
// Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
#include <cmath>
#include <cstdlib>

#include "traffic.h"

namespace review {
namespace {

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCannotRun = 2;
constexpr const char* kHost = "ficu95.example";

struct Case {
  std::string folder;
  bool has_trouble = true;
  Record record;
  Ledger ledger;
  Random random;
  Store store;
  std::unique_ptr<Fleet> fleet;
  std::vector<std::unique_ptr<Worker>> workers;

  explicit Case(const std::string& in, uint64_t seed)
      : folder(in), record(in + "/record.txt"), random(seed) {}

  Worker* AddWorker(const WorkerOptions& options) {
    workers.push_back(std::make_unique<Worker>(options, &store, &ledger,
                                               &record, &random));
    return workers.back()->Start() ? workers.back().get() : nullptr;
  }

  /// Starts the gateways and waits until all serve.
  bool StartFleet(const std::map<std::string, std::string>& zones,
                  const std::vector<std::string>& machines, int memory_mb) {
    fleet = std::make_unique<Fleet>(&record, store.port());
    fleet->Create(zones, machines, memory_mb);
    if (!fleet->StartAll() || !fleet->WaitReady(20'000)) {
      record.Line("the gateways did not get ready");
      return false;
    }
    // Traffic starts 10 s after the machines do.
    SleepMs(start_ms + 10'000 - NowMs());
    return true;
  }

  int Say(int code, const std::string& text) {
    record.Line("result %d: %s", code, text.c_str());
    printf("%s\n", text.c_str());
    return code;
  }
};

json ServiceRow(const std::string& name, bool is_model) {
  json row = {{"name", name},          {"health_path", "/healthz"},
              {"max_connections", 370}, {"protocol", "h1"},
              {"tls", false},           {"cold_start_s", 0.0},
              {"cold_per_s", 0.0}};
  if (is_model) {
    row["engine"] = {{"slots", 64},      {"kv_tokens", 443746},
                     {"kv_bytes", 18432}, {"link_mbps", 550000.0},
                     {"moves", false},    {"backups", false},
                     {"stride", 8},       {"most", 12},
                     {"pin_ms", 4000.0},  {"hold_ms", 2000.0},
                     {"handle_s", 5.0},   {"models", {{{"name", "m"}}}}};
  }
  return row;
}

json RouteRow(const std::string& name, const std::string& prefix,
              const std::string& kind, const std::string& service,
              int timeout_ms, int target_ms, int priority, int max_attempts,
              bool resumable) {
  json row = {{"name", name},
              {"host", kHost},
              {"prefix", prefix},
              {"kind", kind},
              {"timeout_ms", timeout_ms},
              {"target_latency_ms", target_ms},
              {"priority", priority},
              {"service", service},
              {"max_attempts", max_attempts},
              {"home_regions", json::array()}};
  if (kind == "streaming") {
    row["sticky"] = true;
    row["resumable"] = resumable;
    row["gap_aim_ms"] = 600;
  }
  return row;
}

/// The routes of the sheet of cera-valle, without homes.
std::string DesiredState() {
  return json{{"version", 7},
              {"routes",
               {RouteRow("plan", "/lohu930/", "streaming", "tuner", 12000, 1200,
                         1, 2, true),
                RouteRow("pick", "/pufi791/", "streaming", "tuner", 3000, 800,
                         0, 1, false),
                RouteRow("book", "/pule252/", "non_idempotent", "counter", 1500,
                         500, 2, 1, false),
                RouteRow("look", "/puxa403/", "idempotent", "counter", 1500,
                         500, 2, 2, false)}},
              {"services", {ServiceRow("tuner", true),
                            ServiceRow("counter", false)}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 4194304},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

Kind Plan(double per_s) {
  return {"plan", "POST", "/lohu930/2f", 12000, 12000, true, true,
          12000,  384,    per_s,          ""};
}
Kind Pick(double per_s) {
  return {"pick", "POST", "/pufi791/2f", 3000, 2400, false, true,
          2400,   24,     per_s,          ""};
}
Kind Book(double per_s) {
  return {"book", "POST", "/pule252/2f", 3000, 600, false, false, 0, 0, per_s,
          ""};
}
Kind Look(double per_s) {
  return {"look", "GET", "/puxa403/2f", 3000, 0, true, false, 0, 0, per_s, ""};
}

const std::map<std::string, std::string> kZones = {{"cartago-a", "cartago"},
                                                   {"liberia-a", "liberia"},
                                                   {"perez-a", "perez"}};
const std::vector<std::string> kMachines = {
    "cartago-a", "cartago-a", "cartago-a", "liberia-a",
    "liberia-a", "liberia-a", "perez-a",   "perez-a"};

/// Starts the clients of each machine; the rates are those of a zone.
class Traffic {
 public:
  Traffic(Case* play, const std::vector<Kind>& kinds,
          const std::set<std::string>& zones) {
    std::map<std::string, int> machines;
    for (const Fleet::Node& node : play->fleet->nodes()) {
      ++machines[node.zone];
    }
    for (const Fleet::Node& node : play->fleet->nodes()) {
      for (Kind kind : kinds) {
        if (!zones.contains(node.zone)) {
          continue;
        }
        kind.per_s /= machines[node.zone];
        clients_.push_back(std::make_unique<Client>(
            &node, kind, kHost, &play->ledger, &play->record, &play->random));
        threads_.emplace_back(
            [this, client = clients_.back().get()] { client->Run(is_over_); });
      }
    }
  }
  void Stop() {
    is_over_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

 private:
  std::atomic<bool> is_over_{false};
  std::vector<std::unique_ptr<Client>> clients_;
  std::vector<std::thread> threads_;
};

/// A worker sends more bytes after some of its answers.
int StrayRefusal(Case& play) {
  std::vector<Worker*> counter;
  for (const auto& [zone, region] : kZones) {
    counter.push_back(play.AddWorker({"i-" + play.random.Hex(), "counter", zone,
                                      6, 24, 60, false}));
  }
  play.store.Put("op/config", DesiredState());
  if (!play.StartFleet(kZones, kMachines, 0)) {
    return play.Say(kCannotRun, "the gateways did not start");
  }
  Traffic traffic(&play, {Book(26), Look(10)},
                  {"cartago-a", "liberia-a", "perez-a"});
  for (int episode = 0; episode < 2; ++episode) {
    SleepMs(3000);
    if (play.has_trouble) {
      play.record.Line("trouble begins at worker %s",
                       counter[0]->options().id.c_str());
      counter[0]->trouble.stray = 0.05;
    }
    SleepMs(5000);
    counter[0]->trouble.stray = 0;
    play.record.Line("trouble ends");
  }
  SleepMs(1000);
  traffic.Stop();
  SleepMs(1000);
  auto runs = play.ledger.runs();
  int twice = 0;
  int refused = 0;
  int sent = 0;
  for (const auto& [id, attempt] : play.ledger.attempts()) {
    if (attempt.is_idempotent) {
      continue;
    }
    ++sent;
    size_t n = runs.contains(id) ? runs[id].size() : 0;
    if (n > 1) {
      ++twice;
      play.record.Line("TWICE: %s ran at %s and at %s, answer %d", id.c_str(),
                       runs[id][0].worker.c_str(), runs[id][1].worker.c_str(),
                       attempt.status);
    }
    if (n > 0 && (attempt.status == 429 || attempt.status == 503 ||
                  attempt.status == 408 || attempt.status == 421)) {
      ++refused;
      play.record.Line("REFUSED: %s ran at %s and was answered %d", id.c_str(),
                       runs[id][0].worker.c_str(), attempt.status);
    }
  }
  return play.Say(twice + refused > 0 ? kBroken : kHeld,
                  std::to_string(sent) + " bookings sent, " +
                      std::to_string(twice) + " ran twice, " +
                      std::to_string(refused) +
                      " were refused with 503 and ran");
}

/// Workers answer with bytes without end.
int EndlessBytes(Case& play) {
  constexpr double kShare = 0.45;
  std::vector<Worker*> tuner;
  const std::vector<std::pair<std::string, int>> kWorkers = {
      {"cartago-a", 8}, {"liberia-a", 6}, {"perez-a", 4}};
  std::map<std::string, std::unique_ptr<Link>> links;
  for (const auto& [zone, n] : kWorkers) {
    for (int i = 0; i < n; ++i) {
      tuner.push_back(play.AddWorker({"i-" + play.random.Hex(), "tuner", zone,
                                      64, 192, 50, true}));
    }
  }
  play.store.Put("op/config", DesiredState());
  if (!play.StartFleet(kZones, kMachines, 260)) {
    return play.Say(kCannotRun, "the gateways did not start");
  }
  for (const Fleet::Node& node : play.fleet->nodes()) {
    links[node.name] = std::make_unique<Link>(0.95 * 1000e6 / 8);
  }
  for (Worker* worker : tuner) {
    worker->link = [&](const std::string& name) { return links.at(name).get(); };
  }
  // Peak of a zone in the site file: 2.3 x (18.0 and 69.4 of 117.9) x 61.9/s.
  Traffic traffic(&play, {Plan(21.7), Pick(83.8)},
                  {"cartago-a", "liberia-a", "perez-a"});
  for (int episode = 0; episode < 7; ++episode) {
    SleepMs(2000);
    if (play.has_trouble) {
      play.record.Line("trouble begins at all workers");
      for (Worker* worker : tuner) {
        worker->trouble.endless = kShare;
      }
    }
    SleepMs(6500);
    for (Worker* worker : tuner) {
      worker->trouble.endless = 0;
    }
    play.record.Line("trouble ends");
    SleepMs(4000);
  }
  traffic.Stop();
  int machines = 0;
  int kills = 0;
  for (const Fleet::Node& node : play.fleet->nodes()) {
    play.record.Line("%s: peak %lld KB, ended %d times", node.name.c_str(),
                     static_cast<long long>(node.peak_kb), node.ended);
    printf("%s: peak %lld KB, ended %d times\n", node.name.c_str(),
           static_cast<long long>(node.peak_kb), node.ended);
    kills += node.ended;
    machines += node.ended >= 3 ? 1 : 0;
  }
  // A tenth of the machines in use, two at least, three times.
  return play.Say(machines >= 2 ? kBroken : kHeld,
                  std::to_string(kills) + " ends of gateways over their memory, " +
                      std::to_string(machines) + " machines three times or more");
}

/// A part of a prompt crashes workers, and comes seldom.
int SeldomDeadlyPart(Case& play) {
  constexpr const char* kPart = "dead1";
  constexpr int64_t kGapMs = 15'500;
  std::mutex mutex;
  std::vector<int64_t> crashes;
  std::vector<int64_t> arrivals;
  const std::vector<std::pair<std::string, int>> kWorkers = {
      {"cartago-a", 8}, {"liberia-a", 6}, {"perez-a", 4}};
  for (const auto& [zone, n] : kWorkers) {
    for (int i = 0; i < n; ++i) {
      Worker* worker = play.AddWorker({"i-" + play.random.Hex(), "tuner", zone,
                                       64, 192, 50, true});
      worker->trouble.deadly_part = play.has_trouble ? kPart : "";
      worker->on_deadly = [&](const std::string& name, const std::string& id) {
        play.record.Line("deadly request %s reaches worker %s", id.c_str(),
                         name.c_str());
        std::lock_guard lock(mutex);
        arrivals.push_back(NowMs());
      };
      worker->on_crash = [&](const std::string&, const std::string&) {
        std::lock_guard lock(mutex);
        crashes.push_back(NowMs());
      };
    }
  }
  play.store.Put("op/config", DesiredState());
  if (!play.StartFleet(kZones, kMachines, 0)) {
    return play.Say(kCannotRun, "the gateways did not start");
  }
  Traffic traffic(&play, {Plan(8), Pick(30)},
                  {"cartago-a", "liberia-a", "perez-a"});
  SleepMs(3000);
  Kind deadly = Plan(1);
  deadly.first_part = kPart;
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(std::make_unique<Client>(
        &play.fleet->nodes()[static_cast<size_t>(i * 3) % 8], deadly, kHost,
        &play.ledger, &play.record, &play.random));
    std::thread([client = clients.back().get()] { client->SendOne(); }).detach();
    SleepMs(kGapMs);
  }
  traffic.Stop();
  std::lock_guard lock(mutex);
  size_t after = 0;
  if (crashes.size() >= 5) {
    // stable_window_ms after the fifth crash.
    int64_t bound = crashes[4] + 5000;
    play.record.Line("fifth crash at %.3f",
                     static_cast<double>(crashes[4] - start_ms) / 1000);
    for (int64_t at : arrivals) {
      after += at > bound ? 1 : 0;
    }
  }
  std::set<std::string> broken;
  for (const auto& [id, attempt] : play.ledger.attempts()) {
    if (attempt.ending == "channel ended") {
      broken.insert(id);
    }
  }
  return play.Say(after > 3 ? kBroken : kHeld,
                  std::to_string(crashes.size()) + " crashes, " +
                      std::to_string(arrivals.size()) +
                      " deadly requests at workers, " + std::to_string(after) +
                      " of them later than 5 s after the fifth crash; " +
                      std::to_string(broken.size()) + " channels ended early");
}

int Main(int argc, char** argv) {
  if (argc != 3) {
    fprintf(stderr, "standin stray-refusal|endless-bytes|seldom-deadly-part FOLDER\n");
    return kCannotRun;
  }
  const char* trouble = getenv("TROUBLE");
  const char* seed = getenv("SEED");
  // Never destroyed: threads of stand-ins use it until the process exits.
  Case& play = *new Case(argv[2], seed ? strtoull(seed, nullptr, 10)
                                       : static_cast<uint64_t>(NowMs()));
  play.has_trouble = trouble == nullptr || std::string(trouble) != "0";
  int code = kCannotRun;
  if (!play.store.Start("127.0.0.1")) {
    return code;
  }
  std::string name = argv[1];
  if (name == "stray-refusal") {
    code = StrayRefusal(play);
  } else if (name == "endless-bytes") {
    code = EndlessBytes(play);
  } else if (name == "seldom-deadly-part") {
    code = SeldomDeadlyPart(play);
  }
  if (play.fleet) {
    if (const char* keep = getenv("KEEP_LOGS")) {
      play.fleet->KeepLogs(keep);
    }
    play.fleet->Stop();
  }
  fflush(stdout);
  _exit(code);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv); }
