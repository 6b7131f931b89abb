// Simulates several instances in one thread, on virtual time, with faults drawn
// from a seed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/random.h"
#include "Core/Gateway/at_most_once_runner.h"
#include "Core/Gateway/call_runner.h"
#include "Core/Gateway/cluster_view.h"
#include "Core/Gateway/filters.h"
#include "Core/Gateway/forwarded_calls.h"
#include "Core/Gateway/node_state.h"
#include "Fakes/memory_store.h"

namespace basilvalve::explore {

class SimulatedFleet;

/// Store client of one instance. Its access can be cut off, and replies to its
/// writes can be lost.
class SimulatedStoreClient : public platform::KeyValueStore {
 public:
  SimulatedStoreClient(SimulatedFleet* fleet, size_t node)
      : fleet_(fleet), instance_index_(node) {}
  Result<std::optional<platform::StoreEntry>> Get(
      std::string_view key) override;
  Result<std::vector<platform::StoreEntry>> List(
      std::string_view prefix) override;
  Result<platform::SwapReply> CompareAndSwap(std::string_view key,
                                             std::string_view value,
                                             StoreIndex expected,
                                             Seconds time_to_live) override;
  Result<void> Remove(std::string_view key) override;
  Result<platform::WatchReply> Watch(std::string_view prefix, StoreIndex since,
                                     Millis wait) override;

 private:
  SimulatedFleet* fleet_;
  size_t instance_index_;
};

/// One incarnation of an instance: the production code that serves calls, with
/// in-memory links instead of sockets.
class SimulatedInstance : private gateway::UpstreamPort,
                          private gateway::PeerPort,
                          private gateway::ClusterView {
 public:
  SimulatedInstance(SimulatedFleet* fleet, size_t index,
                    const gateway::NodeSettings& settings, const Clock* clock,
                    const Keyring* keyring, Incarnation incarnation,
                    uint64_t seed);

  /// Runs a call from a caller through the filters and then the call runner.
  gateway::CallResult Call(gateway::Call* call,
                           gateway::CallResponseSink* sink);

  bool crashed = false;
  size_t index;
  membership::MemberInfo info;
  SimulatedStoreClient store;
  gateway::NodeState state;
  gateway::CallRunner runner;
  gateway::AtMostOnceRunner at_most_once_runner;
  gateway::FilterChain filters;
  gateway::ForwardedCalls forwarded;

 private:
  friend class SimulatedFleet;

  gateway::CallResult Run(const gateway::Call& call,
                          const gateway::LocalRoute& route, uint32_t attempt,
                          gateway::CallResponseSink* sink) override;
  gateway::CallResult Run(const gateway::Call& call,
                          const membership::MemberInfo& to,
                          peer::Purpose purpose, uint32_t attempt,
                          gateway::CallResponseSink* sink) override;
  std::vector<membership::MemberInfo> Live() const override;
  std::vector<membership::MemberView> Members() const override { return {}; }
  std::optional<membership::MemberInfo> Find(
      const InstanceId& id) const override;
  std::vector<membership::RegionView> ReachableRegions() const override;
  std::vector<membership::RegionView> AllRegions() const override { return {}; }
  std::optional<membership::MemberInfo> PickContact(
      const RegionId& region, uint64_t rotation) const override;
  void AnnounceUpstreamLeaving(const UpstreamId& /*upstream*/) override {}

  SimulatedFleet* fleet_;
  uint64_t next_sequence_ = 1;
};

/// A non-idempotent call that a caller may retry.
struct Settlement {
  std::string body;
  std::string ticket;
  std::string key;
  int runs = 0;
};

/// The simulated instances, the injected faults and the checks of the gateway's
/// guarantees. A violated guarantee is recorded with its seed and step; no
/// exception is thrown.
class SimulatedFleet {
 public:
  SimulatedFleet(uint64_t seed, size_t regions, size_t instances_per_region);

  /// Runs random steps until the given number or the first violation.
  void Explore(int steps);
  /// Description of the first violation, empty if there is none.
  const std::string& violation() const { return violation_; }
  /// Number of settlements executed by an upstream; shows that the exploration
  /// covers them.
  int total_runs() const { return total_runs_; }
  /// Number of calls that ended with each outcome.
  const std::map<Outcome, int>& outcome_counts() const {
    return outcome_counts_;
  }
  /// Number of calls forwarded between instances.
  int forwards() const { return forwards_; }

 private:
  friend class SimulatedInstance;
  friend class SimulatedStoreClient;

  using Step = void (SimulatedFleet::*)();

  struct WeightedStep {
    Step step;
    uint64_t weight;
  };

  void RandomStep();
  void NewSettlement();
  void RetrySettlement();
  void ReuseWithOtherBody();
  void IdempotentCall();
  void CrashInstance();
  void ToggleLink();
  void ToggleStore();
  void ApplyDocument();
  void PropagateDocument();
  void AdvanceTime();

  void StartInstance(size_t index);
  void SendSettlement(Settlement* settlement, const std::string& body);
  void CheckResult(const gateway::Call& call, const gateway::CallResult& result,
                   const std::string& response, const std::string& body);
  /// Runs a random step in the middle of the operation in progress, with a
  /// certain probability and up to kMaxNestingDepth deep.
  void Interleave();
  gateway::CallResult HandleUpstreamCall(SimulatedInstance* node,
                                         const gateway::Call& call,
                                         gateway::CallResponseSink* sink);
  gateway::CallResult HandleForwardedCall(SimulatedInstance* from,
                                          const gateway::Call& call,
                                          const membership::MemberInfo& to,
                                          peer::Purpose purpose,
                                          uint32_t attempt,
                                          gateway::CallResponseSink* sink);
  Result<void> CheckStoreAccess(size_t node);
  bool ShouldLoseReply();
  bool LinkUp(size_t a, size_t b) const;
  void RecordViolation(const std::string& what);
  bool Chance(uint64_t percent) { return random_.Below(100) < percent; }
  SimulatedInstance& RandomInstance() {
    return *instances_[random_.Below(instances_.size())];
  }
  size_t RegionOf(size_t node) const { return node / instances_per_region_; }

  uint64_t seed_;
  size_t regions_;
  size_t instances_per_region_;
  Random random_;
  VirtualClock clock_;
  Keyring keyring_;
  fakes::MemoryStore store_;
  bool store_down_ = false;
  std::set<std::pair<size_t, size_t>> cut_links_;
  std::vector<std::unique_ptr<SimulatedInstance>> instances_;
  std::vector<std::unique_ptr<SimulatedInstance>> crashed_instances_;
  std::vector<std::unique_ptr<Settlement>> settlements_;
  /// Ids of requests that an upstream executed.
  std::set<std::string> executed_requests_;
  /// The document record under which an instance last forwarded a request.
  std::map<std::pair<std::string, InstanceId>, document::RecordPtr>
      forwarded_records_;
  std::map<Outcome, int> outcome_counts_;
  int total_runs_ = 0;
  int forwards_ = 0;
  int nesting_depth_ = 0;
  int step_ = 0;
  uint64_t next_id_ = 1;
  uint64_t next_incarnation_ = 1;
  std::string violation_;
};

}  // namespace basilvalve::explore
