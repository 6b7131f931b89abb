#include "BasilvalveProcessSoak/trouble_schedule.h"

#include <signal.h>

#include <algorithm>
#include <cmath>
#include <sstream>
#include <thread>

namespace basilvalve::process_soak {
namespace {

constexpr int64_t kDrainMs = 3000;
constexpr int64_t kTerminationMs = 9000;
constexpr double kFaultWeight = 1.5;
constexpr int64_t kTwoIdsMs = 4000;
// Of an upstream that writes no more.
constexpr int64_t kExpiryMs = 3600;

}  // namespace

TroubleSchedule::TroubleSchedule(GatewayFleet* fleet,
                                 std::vector<std::unique_ptr<Worker>>* workers,
                                 StoreStandIn* store, ClientTrouble* clients,
                                 Ledger* ledger, uint64_t seed)
    : fleet_(fleet),
      workers_(workers),
      store_(store),
      clients_(clients),
      ledger_(ledger),
      random_(seed),
      gateways_(static_cast<int64_t>(fleet->gateways().size())) {
  Choose("all");
}

const std::vector<TroubleSchedule::Kind>& TroubleSchedule::Kinds() {
  static const std::vector<Kind> kKinds = {
      {"freeze", 4, &TroubleSchedule::Freeze},
      {"term", 2, &TroubleSchedule::Terminate},
      {"kill", 2, &TroubleSchedule::Kill},
      {"kill-many", 0.3, &TroubleSchedule::KillMany},
      {"hup", 1, &TroubleSchedule::Reload},
      {"config", 2, &TroubleSchedule::ChangeState},
      {"crash", 2, &TroubleSchedule::CrashWorker},
      {"reuse", 1, &TroubleSchedule::ReuseAddress},
      {"drain", 1, &TroubleSchedule::DrainWorker},
      {"pause-worker", 2, &TroubleSchedule::PauseWorker},
      {"evacuate", 0.3, &TroubleSchedule::Evacuate},
      {"restore", 0.5, &TroubleSchedule::RestoreStore},
      {"link-worker", 5, &TroubleSchedule::HarmWorkerLink},
      {"link-front", 2, &TroubleSchedule::HarmFrontLink},
      {"link-peer", 4, &TroubleSchedule::HarmPeerLink},
      {"link-store", 2, &TroubleSchedule::HarmStoreLink},
      {"datagrams", 2, &TroubleSchedule::HarmDatagrams},
      {"clients", 2, &TroubleSchedule::TroubleClients},
  };
  return kKinds;
}

std::string TroubleSchedule::Names() {
  std::string text;
  for (const Kind& kind : Kinds()) {
    text += std::string(text.empty() ? "" : ", ") + kind.name;
  }
  for (size_t i = 0; i < static_cast<size_t>(Fault::kCount); ++i) {
    text += std::string(", ") + FaultName(static_cast<Fault>(i));
  }
  return text;
}

bool TroubleSchedule::Choose(const std::string& list) {
  std::set<std::string> all;
  for (const Kind& kind : Kinds()) {
    all.insert(kind.name);
  }
  for (size_t i = 0; i < static_cast<size_t>(Fault::kCount); ++i) {
    all.insert(FaultName(static_cast<Fault>(i)));
  }
  std::istringstream in(list);
  std::string word;
  chosen_.clear();
  if (list == "none") {
    return true;
  }
  bool is_first = true;
  while (std::getline(in, word, ',')) {
    bool is_left_out = word.starts_with("-");
    if (is_first && (is_left_out || word == "all")) {
      chosen_ = all;
    }
    is_first = false;
    std::string name = is_left_out ? word.substr(1) : word;
    if (word != "all" && !all.contains(name)) {
      return false;
    }
    if (is_left_out) {
      chosen_.erase(name);
    } else if (word != "all") {
      chosen_.insert(name);
    }
  }
  return true;
}

void TroubleSchedule::Run(int64_t until_ms, int mean_pause_ms) {
  std::vector<double> weights;
  for (const Kind& kind : Kinds()) {
    weights.push_back(chosen_.contains(kind.name) ? kind.weight : 0);
  }
  for (size_t i = 0; i < static_cast<size_t>(Fault::kCount); ++i) {
    weights.push_back(
        chosen_.contains(FaultName(static_cast<Fault>(i))) ? kFaultWeight : 0);
  }
  if (chosen_.empty()) {
    SleepMs(until_ms - NowMs());
    return;
  }
  std::discrete_distribution<size_t> which(weights.begin(), weights.end());
  for (;;) {
    SleepMs(
        static_cast<int64_t>(-std::log(1 - DrawShare(0, 1)) * mean_pause_ms));
    if (NowMs() >= until_ms) {
      break;
    }
    size_t i = which(random_);
    if (i < Kinds().size()) {
      ledger_->Count(std::string("play:") + Kinds()[i].name);
      (this->*Kinds()[i].play)();
    } else {
      PlayFault(static_cast<Fault>(i - Kinds().size()));
    }
  }
  while (is_restoring_) {
    SleepMs(kExpiryMs / 100);
  }
}

int64_t TroubleSchedule::Draw(int64_t from, int64_t to) {
  return std::uniform_int_distribution<int64_t>(from, to)(random_);
}

double TroubleSchedule::DrawShare(double from, double to) {
  return std::uniform_real_distribution<double>(from, to)(random_);
}

Worker& TroubleSchedule::DrawWorker() {
  // The few workers of calls that must not repeat are troubled more often.
  auto n = static_cast<int64_t>(workers_->size());
  int64_t i =
      Draw(0, 1) == 0 ? Draw(0, std::min<int64_t>(n, 3) - 1) : Draw(0, n - 1);
  return *(*workers_)[static_cast<size_t>(i)];
}

template <typename Action>
void TroubleSchedule::Later(int64_t ms, Action action) {
  std::thread([ms, action] {
    SleepMs(ms);
    action();
  }).detach();
}

void TroubleSchedule::Freeze() {
  size_t i = DrawGateway();
  int64_t ms = Draw(200, 5000);
  int64_t pieces = Draw(1, 3);
  const std::string& name = fleet_->gateways()[i].place.name;
  ledger_->Line("freeze %s %lld ms, %lld times", name.c_str(),
                static_cast<long long>(ms), static_cast<long long>(pieces));
  ledger_->OnDisturbed(name, NowMs() + ms + 100 * pieces);
  Later(0, [this, i, ms, pieces] {
    for (int64_t n = 0; n < pieces; ++n) {
      fleet_->Signal(i, SIGSTOP);
      SleepMs(ms / pieces);
      fleet_->Signal(i, SIGCONT);
      SleepMs(100 / pieces);
    }
  });
}

void TroubleSchedule::Terminate() {
  size_t i = DrawGateway();
  ledger_->OnDisturbed(fleet_->gateways()[i].place.name,
                       NowMs() + kTerminationMs);
  fleet_->Signal(i, SIGTERM);
}

void TroubleSchedule::Kill() {
  size_t i = DrawGateway();
  ledger_->OnDisturbed(fleet_->gateways()[i].place.name, NowMs());
  fleet_->Signal(i, SIGKILL);
}

void TroubleSchedule::KillMany() {
  for (int64_t n = 0; n < std::max<int64_t>(2, gateways_ / 3); ++n) {
    Kill();
  }
}

void TroubleSchedule::Reload() { fleet_->Signal(DrawGateway(), SIGHUP); }

void TroubleSchedule::ChangeState() {
  version_ += static_cast<int>(Draw(1, 3));
  int attempts = static_cast<int>(Draw(1, 3));
  int timeout_ms = static_cast<int>(Draw(800, 2500));
  ledger_->Line("state %d: %d attempts, %d ms", version_, attempts, timeout_ms);
  store_->Put(DesiredStateKey(), DesiredStateText(version_, attempts,
                                                  timeout_ms, Draw(0, 1) == 0));
}

void TroubleSchedule::CrashWorker() {
  Worker& worker = DrawWorker();
  int64_t down_ms = Draw(50, 4000);
  ledger_->Line("crash %s for %lld ms", worker.name().c_str(),
                static_cast<long long>(down_ms));
  worker.Crash(down_ms, false);
  if (chosen_.contains(FaultName(Fault::kRefusalCopy)) && Draw(0, 1) == 0) {
    // It is listed under two ids for a while, and refuses calls to the old one.
    worker.SetFault(Fault::kRefusalCopy, 1);
    Later(down_ms + kTwoIdsMs,
          [&worker] { worker.SetFault(Fault::kRefusalCopy, 0); });
  }
}

void TroubleSchedule::ReuseAddress() {
  Worker& worker = DrawWorker();
  int64_t down_ms = Draw(500, 3000);
  ledger_->Line("reuse the address of %s after %lld ms", worker.name().c_str(),
                static_cast<long long>(down_ms));
  worker.Crash(down_ms, true);
}

void TroubleSchedule::DrainWorker() {
  Worker& worker = DrawWorker();
  int64_t more_ms = Draw(0, 2000);
  ledger_->Line("drain %s", worker.name().c_str());
  worker.Drain(kDrainMs + more_ms, Draw(500, 2000));
}

void TroubleSchedule::PauseWorker() {
  Worker& worker = DrawWorker();
  int64_t ms = Draw(300, 4000);
  ledger_->Line("pause %s %lld ms", worker.name().c_str(),
                static_cast<long long>(ms));
  worker.Pause(ms);
}

void TroubleSchedule::Evacuate() {
  std::string zone = fleet_->gateways()[DrawGateway()].place.zone;
  ledger_->Line("evacuate %s", zone.c_str());
  store_->Put(EvacuationKey(zone), "{}");
  Later(Draw(1000, 4000), [this, zone] {
    store_->Remove(EvacuationKey(zone));
    ledger_->Line("%s is taken back", zone.c_str());
  });
}

void TroubleSchedule::RestoreStore() {
  if (is_restoring_.exchange(true)) {
    return;
  }
  int64_t age_ms = Draw(500, 6000);
  int64_t away_ms = Draw(50, 2000);
  int64_t rewrite_ms = Draw(50, 1500);
  store_->TakeCopy();
  Later(age_ms, [this, age_ms, away_ms, rewrite_ms] {
    ledger_->Line("store away for %lld ms, comes back %lld ms older",
                  static_cast<long long>(away_ms),
                  static_cast<long long>(age_ms));
    ledger_->Count("restores");
    store_->GoAway();
    SleepMs(away_ms);
    store_->RestoreCopy();
    SleepMs(rewrite_ms);
    store_->RewriteOperatorItems();
    SleepMs(kExpiryMs - rewrite_ms);
    store_->RemoveSilentUpstreams();
    is_restoring_ = false;
  });
}

void TroubleSchedule::HarmLink(Proxy* proxy, const std::string& who,
                               const char* what) {
  int64_t ms = Draw(100, 4000);
  LinkTrouble trouble;
  int64_t kind = Draw(0, 6);
  trouble.holds_requests = kind == 0 || kind == 2;
  trouble.holds_answers = kind == 1 || kind == 2;
  trouble.delay_ms = kind == 3 ? static_cast<int>(Draw(10, 800)) : 0;
  trouble.cuts_into_pieces = kind == 4;
  bool ends = kind >= 5 || Draw(0, 2) == 0;
  auto how = static_cast<LinkEnd>(Draw(0, 3));
  double share = DrawShare(0.2, 1);
  ledger_->Line("link %s of %s: kind %lld for %lld ms, end %d of %.2f", what,
                who.c_str(), static_cast<long long>(kind),
                static_cast<long long>(ms), ends ? static_cast<int>(how) : -1,
                share);
  ledger_->Count("link_kind_" + std::to_string(kind));
  ledger_->OnDisturbed(who, NowMs() + (kind < 5 ? ms : 0));
  if (kind >= 5) {
    proxy->End(how, share);
    return;
  }
  proxy->SetTrouble(trouble);
  Later(ms, [proxy, ends, how, share] {
    if (ends) {
      proxy->End(how, share);
    }
    proxy->SetTrouble({});
  });
}

void TroubleSchedule::HarmWorkerLink() {
  Worker& worker = DrawWorker();
  HarmLink(&worker.proxy(), worker.name(), "worker");
}

void TroubleSchedule::HarmFrontLink() {
  GatewayFleet::Gateway& gateway = fleet_->gateways()[DrawGateway()];
  HarmLink(gateway.front.get(), gateway.place.name, "front");
}

void TroubleSchedule::HarmPeerLink() {
  GatewayFleet::Gateway& gateway = fleet_->gateways()[DrawGateway()];
  HarmLink(gateway.peer.get(), gateway.place.name, "peer");
}

void TroubleSchedule::HarmStoreLink() {
  GatewayFleet::Gateway& gateway = fleet_->gateways()[DrawGateway()];
  HarmLink(gateway.store.get(), gateway.place.name, "store");
}

void TroubleSchedule::HarmDatagrams() {
  double lost = DrawShare(0, 0.9);
  double doubled = DrawShare(0, 0.5);
  double late = DrawShare(0, 0.5);
  int64_t ms = Draw(500, 3000);
  ledger_->Line("datagrams for %lld ms: %.2f lost, %.2f doubled, %.2f late",
                static_cast<long long>(ms), lost, doubled, late);
  fleet_->datagrams().SetTrouble(lost, doubled, late);
  for (const GatewayFleet::Gateway& gateway : fleet_->gateways()) {
    ledger_->OnDisturbed(gateway.place.name, NowMs() + ms);
  }
  Later(ms, [this] { fleet_->datagrams().SetTrouble(0, 0, 0); });
}

void TroubleSchedule::TroubleClients() {
  std::atomic<double>* shares[] = {
      &clients_->gives_up, &clients_->resets, &clients_->writes_pieces,
      &clients_->sends_long_bodies, &clients_->keeps_ids};
  std::atomic<double>* share = shares[Draw(0, 4)];
  int64_t ms = Draw(500, 4000);
  *share = DrawShare(0.1, 0.6);
  ledger_->Line("clients are troubled for %lld ms", static_cast<long long>(ms));
  Later(ms, [share] { *share = 0; });
}

void TroubleSchedule::PlayFault(Fault fault) {
  Worker& worker = DrawWorker();
  int64_t ms = Draw(500, 4000);
  double share = DrawShare(0.05, 0.6);
  ledger_->Line("%s: %s for %lld ms, share %.2f", worker.name().c_str(),
                FaultName(fault), static_cast<long long>(ms), share);
  ledger_->Count(std::string("play:") + FaultName(fault));
  worker.SetFault(fault, share);
  Later(ms, [&worker, fault] { worker.SetFault(fault, 0); });
}

}  // namespace basilvalve::process_soak
