#pragma once

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>

#include "BasilvalveProcessSoak/channel.h"
#include "BasilvalveProcessSoak/gateway_fleet.h"
#include "BasilvalveProcessSoak/ledger.h"
#include "BasilvalveProcessSoak/proxy.h"
#include "UnitTests/Platform/Soak/platform_words.h"
#include "UnitTests/Platform/Soak/store_stand_in.h"

namespace basilvalve::process_soak {

/// What a worker does to a share of its requests.
enum class Fault : uint8_t {
  kShed,
  kShedWithPause,
  kShedEarly,
  kRefusalCopy,
  kAnswerCopy,
  kForeignRefusal,
  kGarble,
  kLoseAnswer,
  kSilence,
  kFailure,
  kBareRefusal,
  kShedWithoutId,
  kStrayWithoutId,
  kCount,
};
const char* FaultName(Fault fault);

/// A worker behind a proxy of its own. Thread safe.
class Worker {
 public:
  Worker(std::string name, std::string zone, std::string service,
         StoreStandIn* store, Ledger* ledger, GatewayFleet* fleet,
         uint64_t seed);

  bool Start();
  /// Registers again; called every status report interval.
  void Register();
  /// From now on, does this to a share of its requests; 0 ends it.
  void SetFault(Fault fault, double share);
  /// Reads, works and answers nothing for some time.
  void Pause(int64_t ms);
  /// Resets all connections and refuses new ones; is back on its port under a
  /// new id, and for the other service if `changes_service`.
  void Crash(int64_t down_ms, bool changes_service);
  /// Says that it leaves, serves `drain_ms`, then goes as by a crash.
  void Drain(int64_t drain_ms, int64_t down_ms);
  Proxy& proxy() { return *proxy_; }
  const std::string& name() const { return name_; }

 private:
  bool Listen();
  void Serve(Channel& channel);
  void ComeBack(bool changes_service);
  std::string Sender(const Channel& channel);
  bool Draws(Fault fault);
  uint64_t Random();
  std::string NewId();
  std::string id();
  std::string service();
  void WaitWhilePaused();
  /// Returns false when the caller is gone.
  bool Work(Channel& channel, int64_t ms);
  bool Enter(Channel& channel, int64_t until_ms);
  void Leave();
  /// `late`: bytes that go out in front of the connection's next answer.
  bool Run(Channel& channel, const HttpMessage& request, std::string* late);
  bool Answer(Channel& channel, const HttpMessage& request, std::string* late);
  bool Garble(Channel& channel, const std::string& id);
  bool Stream(Channel& channel, const HttpMessage& request);
  std::string Refusal(const std::string& id, int status, bool says_not_run,
                      double retry_after_s);

  const std::string name_;
  const std::string zone_;
  StoreStandIn* store_;
  Ledger* ledger_;
  GatewayFleet* fleet_;
  std::unique_ptr<Proxy> proxy_;
  std::array<std::atomic<double>, static_cast<size_t>(Fault::kCount)> shares_{};
  std::atomic<int64_t> paused_until_ms_{0};
  std::atomic<bool> is_up_{true};
  Listener listener_;
  int port_ = 0;
  std::mutex mutex_;
  std::condition_variable free_;
  std::mt19937_64 random_;
  UpstreamEntry entry_;
  std::set<Channel*> channels_;
  int running_ = 0;
  int waiting_ = 0;
};

}  // namespace basilvalve::process_soak
