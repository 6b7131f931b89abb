#pragma once

#include <memory>
#include <string>
#include <vector>

#include "BasilvalveProcessSoak/channel.h"
#include "BasilvalveProcessSoak/gateway_fleet.h"
#include "BasilvalveProcessSoak/ledger.h"
#include "BasilvalveProcessSoak/load_upstream.h"
#include "BasilvalveProcessSoak/process_watch.h"
#include "Core/Common/result.h"

namespace basilvalve::process_soak {

/// One gateway process with lowered limits and clients that misbehave in one
/// way. Not thread safe.
class ClientLoad {
 public:
  explicit ClientLoad(std::string gateway);

  /// Names of the cases, separated by commas.
  static std::string CaseNames();
  /// Plays a case and returns what was violated. Errors: kSettingInvalid for
  /// an unknown name or a gateway that does not start.
  Result<std::vector<std::string>> Run(const std::string& name);
  /// What the process used, as one line.
  const std::string& figures() const { return figures_; }

 private:
  using Channels = std::vector<std::unique_ptr<Channel>>;
  struct Case;
  static const std::vector<Case>& Cases();

  /// Each case returns the connections that stay open during the checks.
  Channels SendLargeChunks();
  Channels SendSmallChunks();
  Channels SendAnnouncedBodies();
  Channels SendUnannouncedBodies();
  Channels SendSlowHeads();
  Channels LeaveResponsesUnread();
  Channels AskForEndlessResponses();
  Channels SendOneLargeRequest();

  Channels SendUnfinishedBodies(const std::string& chunk);
  Channels ConnectMany();
  std::unique_ptr<Channel> Connect();
  std::string RequestHead(const std::string& method, const std::string& part);
  /// Asks until there is a response that is not a refusal.
  void ServeOrdinaryRequest();

  const GatewayPlace& place() { return fleet_.gateways()[0].place; }

  Ledger ledger_;
  StoreStandIn store_;
  LoadUpstream upstream_;
  GatewayFleet fleet_;
  int requests_ = 0;
  std::vector<std::string> violations_;
  std::string figures_;
};

}  // namespace basilvalve::process_soak
