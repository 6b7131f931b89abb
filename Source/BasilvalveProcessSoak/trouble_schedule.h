#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "BasilvalveProcessSoak/client.h"
#include "BasilvalveProcessSoak/gateway_fleet.h"
#include "BasilvalveProcessSoak/worker.h"

namespace basilvalve::process_soak {

/// Draws troubles from a seed and plays them, overlapping.
class TroubleSchedule {
 public:
  TroubleSchedule(GatewayFleet* fleet,
                  std::vector<std::unique_ptr<Worker>>* workers,
                  StoreStandIn* store, ClientTrouble* clients, Ledger* ledger,
                  uint64_t seed);

  /// `list`: names, or names behind a minus that are left out; "all" for all.
  /// Returns false for a name that does not exist.
  bool Choose(const std::string& list);
  /// Plays until the time of NowMs, then ends what still goes on.
  void Run(int64_t until_ms, int mean_pause_ms);
  static std::string Names();
  /// Version of the desired state that the operator wrote last.
  int version() const { return version_; }

 private:
  struct Kind {
    const char* name;
    double weight;
    void (TroubleSchedule::*play)();
  };
  static const std::vector<Kind>& Kinds();

  void Freeze();
  void Terminate();
  void Kill();
  void KillMany();
  void Reload();
  void ChangeState();
  void CrashWorker();
  void ReuseAddress();
  void DrainWorker();
  void PauseWorker();
  void Evacuate();
  void RestoreStore();
  void HarmWorkerLink();
  void HarmFrontLink();
  void HarmPeerLink();
  void HarmStoreLink();
  void HarmDatagrams();
  void TroubleClients();
  void PlayFault(Fault fault);
  void HarmLink(Proxy* proxy, const std::string& who, const char* what);

  int64_t Draw(int64_t from, int64_t to);
  double DrawShare(double from, double to);
  size_t DrawGateway() { return static_cast<size_t>(Draw(0, gateways_ - 1)); }
  Worker& DrawWorker();
  template <typename Action>
  void Later(int64_t ms, Action action);

  GatewayFleet* fleet_;
  std::vector<std::unique_ptr<Worker>>* workers_;
  StoreStandIn* store_;
  ClientTrouble* clients_;
  Ledger* ledger_;
  std::mt19937_64 random_;
  std::set<std::string> chosen_;
  int64_t gateways_;
  int version_ = 7;
  // A copy of the store was taken that it has not come back from yet.
  std::atomic<bool> is_restoring_{false};
};

}  // namespace basilvalve::process_soak
