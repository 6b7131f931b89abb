#pragma once

#include <sys/types.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "BasilvalveProcessSoak/channel.h"
#include "BasilvalveProcessSoak/datagram_relay.h"
#include "BasilvalveProcessSoak/ledger.h"
#include "BasilvalveProcessSoak/proxy.h"
#include "UnitTests/Platform/Soak/platform_words.h"
#include "UnitTests/Platform/Soak/store_stand_in.h"

namespace basilvalve::process_soak {

/// As the gateway has it.
inline constexpr int kMetricsPort = 9464;

/// The gateways' processes, each with proxies in front of its public address,
/// its peer address and the store. Restarts processes that ended. Thread safe.
class GatewayFleet {
 public:
  struct Gateway {
    GatewayPlace place;
    std::unique_ptr<Proxy> front;
    std::unique_ptr<Proxy> peer;
    std::unique_ptr<Proxy> store;
    pid_t pid = -1;
    int64_t start_at_ms = 0;
    int64_t kill_at_ms = 0;
  };

  GatewayFleet(std::string program, StoreStandIn* store, Ledger* ledger)
      : program_(std::move(program)), store_(store), ledger_(ledger) {}

  /// `regions`: data centre to region; one gateway for each entry of `zones`.
  bool Create(const std::map<std::string, std::string>& regions,
              const std::vector<std::string>& zones, uint64_t seed,
              const MachineLimits& limits = {});
  bool StartAll(int ready_timeout_ms);
  void Signal(size_t i, int number);
  /// A gateway that has not been disturbed lately and has another version of
  /// the desired state is a violation.
  void JudgeStates(int64_t version);
  /// Ends all processes.
  void Stop();
  /// Copies the gateways' logs.
  void KeepLogs(const std::string& folder) const;
  /// Pre: Stop was called.
  void RemoveFiles() const;
  /// Name of the gateway whose process holds this loopback connection; empty if
  /// none does.
  std::string OwnerOf(int local_port, int remote_port);
  /// The vector does not change after Create.
  std::vector<Gateway>& gateways() { return gateways_; }
  const std::vector<Gateway>& gateways() const { return gateways_; }
  DatagramRelay& datagrams() { return datagrams_; }

 private:
  bool Launch(Gateway* gateway);
  void Watch();
  bool IsReady(const GatewayPlace& place) const;
  /// -1 if the gateway does not tell.
  static int64_t StateVersion(const GatewayPlace& place);
  std::string Path(const Gateway& gateway, const char* ending) const;

  std::string program_;
  StoreStandIn* store_;
  Ledger* ledger_;
  std::string folder_;
  Listener store_listener_;
  DatagramRelay datagrams_;
  std::mutex mutex_;
  std::vector<Gateway> gateways_;
  bool is_stopping_ = false;
};

}  // namespace basilvalve::process_soak
