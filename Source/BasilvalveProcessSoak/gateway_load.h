#pragma once

#include <atomic>
#include <string>
#include <vector>

#include "BasilvalveProcessSoak/client_load.h"
#include "BasilvalveProcessSoak/gateway_fleet.h"
#include "BasilvalveProcessSoak/ledger.h"
#include "BasilvalveProcessSoak/load_upstream.h"

namespace basilvalve::process_soak {

/// Clients that misbehave in front of one gateway process. Not thread safe.
class GatewayLoad : public ClientLoad {
 public:
  explicit GatewayLoad(std::string program);

 private:
  bool Start(const Case& row) override;
  pid_t pid() const override { return fleet_.gateways()[0].pid; }
  void Stop() override;
  CrowdTarget Callers() override;
  std::vector<CrowdTarget> OtherAddresses() override;

  void AddCallerCases();
  void AddStatusCases();
  void LeaveResponsesUnread();
  void AskForEndlessResponses();

  std::string RequestHead(const std::string& method, const std::string& part);
  const GatewayPlace& place() const { return fleet_.gateways()[0].place; }
  CrowdTarget StatusAddress(int port, const std::string& request) const;
  CrowdTarget Directory() const;
  CrowdTarget Readiness() const;
  CrowdTarget Metrics() const;

  Ledger ledger_;
  StoreStandIn store_;
  LoadUpstream upstream_;
  GatewayFleet fleet_;
  std::atomic<int> requests_ = 0;
};

}  // namespace basilvalve::process_soak
