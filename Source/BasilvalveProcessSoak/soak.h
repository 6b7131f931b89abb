#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "BasilvalveProcessSoak/client.h"
#include "BasilvalveProcessSoak/deployment.h"
#include "BasilvalveProcessSoak/gateway_fleet.h"
#include "BasilvalveProcessSoak/ledger.h"
#include "BasilvalveProcessSoak/trouble_schedule.h"
#include "BasilvalveProcessSoak/worker.h"
#include "Core/Common/result.h"

namespace basilvalve::process_soak {

struct SoakSettings {
  uint64_t seed = 1;
  int64_t seconds = 20;
  int64_t pause_ms = 300;
  std::string shape = "small";
  std::string troubles = "all";
  std::string gateway;
  std::string record_folder;
};

/// Gateways as processes under trouble; workers, clients and the store are
/// played by this process.
class Soak {
 public:
  explicit Soak(SoakSettings settings);

  /// Plays the run and returns the violations. Errors: kSettingInvalid for an
  /// unknown name or a gateway that does not start.
  Result<std::vector<std::string>> Run();
  std::string Summary() { return ledger_.Summary(); }

 private:
  bool CreateWorkers(const Deployment& deployment);
  void WatchStalls();
  void StartClients();
  void WaitForClients();

  SoakSettings settings_;
  Ledger ledger_;
  StoreStandIn store_;
  GatewayFleet fleet_;
  ClientTrouble client_trouble_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::atomic<bool> is_over_{false};
};

}  // namespace basilvalve::process_soak
