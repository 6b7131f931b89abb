#include "BasilvalveProcessSoak/soak.h"

#include <algorithm>
#include <map>
#include <thread>

namespace basilvalve::process_soak {
namespace {

constexpr int kReadyTimeoutMs = 30'000;
constexpr int64_t kRegisterMs = 1200;
constexpr int64_t kSettleMs = 2000;
// The longest time limit of a request, and what may come behind it.
constexpr int64_t kLastAnswerMs = 13'000;
constexpr int64_t kLastRunMs = 6000;
constexpr int64_t kStallStepMs = 20;
constexpr int64_t kStallMs = 150;

const std::vector<RequestKind>& RequestKinds() {
  static const std::vector<RequestKind> kKinds = {
      {"book", 3000, 600, false, 0, 0, 30},
      {"look", 3000, 0, true, 0, 0, 8},
      {"plan", 12000, 12000, true, 12000, 384, 6},
      {"pick", 3000, 2400, false, 2400, 24, 20},
  };
  return kKinds;
}

}  // namespace

Soak::Soak(SoakSettings settings)
    : settings_(std::move(settings)),
      ledger_(settings_.record_folder.empty()
                  ? "/dev/null"
                  : settings_.record_folder + "/record.txt"),
      fleet_(settings_.gateway, &store_, &ledger_) {}

bool Soak::CreateWorkers(const Deployment& deployment) {
  std::map<std::string, int> numbers;
  for (const std::string service : {"counter", "model"}) {
    for (const auto& [zone, shape] : deployment) {
      int n = service == "model" ? shape.model_workers : shape.counter_workers;
      for (int i = 0; i < n; ++i) {
        std::string name = service + "-" + std::to_string(++numbers[service]);
        workers_.push_back(std::make_unique<Worker>(
            name, zone, service, &store_, &ledger_, &fleet_,
            settings_.seed * 1000 + workers_.size()));
        if (!workers_.back()->Start()) {
          return false;
        }
      }
    }
  }
  std::thread([this] {
    for (;;) {
      SleepMs(kRegisterMs);
      for (const auto& worker : workers_) {
        worker->Register();
      }
    }
  }).detach();
  return true;
}

void Soak::WatchStalls() {
  for (int64_t last = NowMs();; last = NowMs()) {
    SleepMs(kStallStepMs);
    if (NowMs() - last > kStallMs) {
      ledger_.OnStalled();
    }
  }
}

void Soak::StartClients() {
  auto n = static_cast<double>(fleet_.gateways().size());
  uint64_t seed = settings_.seed * 100'000;
  for (const GatewayFleet::Gateway& gateway : fleet_.gateways()) {
    for (const RequestKind& kind : RequestKinds()) {
      clients_.push_back(std::make_unique<Client>(
          gateway.place.name, gateway.place.ip, gateway.front->port(), kind,
          kind.per_s / n, &client_trouble_, &ledger_, ++seed));
      std::thread([this, client = clients_.back().get()] {
        client->Run(is_over_);
      }).detach();
    }
  }
}

void Soak::WaitForClients() {
  int64_t until = NowMs() + kLastAnswerMs;
  auto is_open = [](const auto& client) { return client->open() > 0; };
  while (NowMs() < until &&
         std::any_of(clients_.begin(), clients_.end(), is_open)) {
    SleepMs(20);
  }
}

Result<std::vector<std::string>> Soak::Run() {
  Deployment deployment = DeploymentOf(settings_.shape);
  if (deployment.empty()) {
    return Fail(ResultCode::kSettingInvalid, "no shape " + settings_.shape);
  }
  std::map<std::string, std::string> regions;
  std::vector<std::string> zones;
  for (const auto& [zone, shape] : deployment) {
    regions[zone] = shape.region;
    zones.insert(zones.end(), static_cast<size_t>(shape.gateways), zone);
  }
  store_.Put(DesiredStateKey(), DesiredStateText(7, 2, 1500, false));
  if (!CreateWorkers(deployment) ||
      !fleet_.Create(regions, zones, settings_.seed) ||
      !fleet_.StartAll(kReadyTimeoutMs)) {
    fleet_.Stop();
    return Fail(ResultCode::kSettingInvalid, "the gateways do not get ready");
  }
  SleepMs(kSettleMs);
  TroubleSchedule schedule(&fleet_, &workers_, &store_, &client_trouble_,
                           &ledger_, settings_.seed);
  if (!schedule.Choose(settings_.troubles)) {
    fleet_.Stop();
    return Fail(ResultCode::kSettingInvalid,
                "troubles are " + TroubleSchedule::Names());
  }
  std::thread([this] { WatchStalls(); }).detach();
  StartClients();
  schedule.Run(NowMs() + settings_.seconds * 1000,
               static_cast<int>(settings_.pause_ms));
  is_over_ = true;
  WaitForClients();
  SleepMs(kLastRunMs);
  fleet_.JudgeStates(schedule.version());
  std::vector<std::string> violations = ledger_.Judge();
  fleet_.Stop();
  for (const GatewayFleet::Gateway& gateway : fleet_.gateways()) {
    for (int i = 0; i < gateway.peer->connections(); ++i) {
      ledger_.Count("peer_connections");
    }
  }
  if (!settings_.record_folder.empty() && !violations.empty()) {
    fleet_.KeepLogs(settings_.record_folder);
  }
  fleet_.RemoveFiles();
  return violations;
}

}  // namespace basilvalve::process_soak
