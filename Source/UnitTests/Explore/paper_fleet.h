// Several instances' decisions in one thread, on virtual time, with seeded
// faults.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/random.h"
#include "Core/Gateway/call_runner.h"
#include "Core/Gateway/claim_gate.h"
#include "Core/Gateway/cluster_view.h"
#include "Core/Gateway/filters.h"
#include "Core/Gateway/forwarded_calls.h"
#include "Core/Gateway/node_state.h"
#include "Fakes/memory_store.h"

namespace basilvalve::explore {

class PaperFleet;

/// A store client of one instance: its calls can be cut off, and its replies
/// lost.
class PaperStore : public platform::KeyValueStore {
 public:
  PaperStore(PaperFleet* fleet, size_t node) : fleet_(fleet), node_(node) {}
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
  PaperFleet* fleet_;
  size_t node_;
};

/// One start of one instance, with the code that serves and paper in place of
/// sockets.
class PaperNode : private gateway::UpstreamPort,
                  private gateway::PeerPort,
                  private gateway::ClusterView {
 public:
  PaperNode(PaperFleet* fleet, size_t index,
            const gateway::NodeSettings& settings, const Clock* clock,
            const Keyring* keyring, Incarnation incarnation, uint64_t seed);

  /// Runs a call from a caller through the filters.
  gateway::CallEnd Call(gateway::Call* call, gateway::AnswerSink* sink);

  bool dead = false;
  size_t index;
  membership::MemberInfo info;
  PaperStore store;
  gateway::NodeState state;
  gateway::CallRunner runner;
  gateway::ClaimGate gate;
  gateway::FilterChain filters;
  gateway::ForwardedCalls forwarded;

 private:
  friend class PaperFleet;

  gateway::CallEnd Run(const gateway::Call& call,
                       const gateway::LocalPlan& plan, uint32_t attempt,
                       gateway::AnswerSink* sink) override;
  gateway::CallEnd Run(const gateway::Call& call,
                       const membership::MemberInfo& to, peer::Purpose purpose,
                       uint32_t attempt, gateway::AnswerSink* sink) override;
  std::vector<membership::MemberInfo> Live() const override;
  std::vector<membership::MemberView> Members() const override { return {}; }
  std::optional<membership::MemberInfo> Find(
      const InstanceId& id) const override;
  std::vector<membership::RegionView> ReachableRegions() const override;
  std::vector<membership::RegionView> AllRegions() const override { return {}; }
  std::optional<membership::MemberInfo> PickContact(
      const RegionId& region, uint64_t turn) const override;
  void AnnounceUpstreamLeaving(const UpstreamId& /*upstream*/) override {}

  PaperFleet* fleet_;
  uint64_t next_sequence_ = 1;
};

/// A settlement that a caller may try several times.
struct Settlement {
  std::string body;
  std::string ticket;
  std::string key;
  int runs = 0;
};

/// The fleet, its faults and the checks of the promises. A violated promise is
/// recorded with the seed and the step; it never throws.
class PaperFleet {
 public:
  PaperFleet(uint64_t seed, size_t regions, size_t nodes_each);

  /// Makes random steps; stops at the first violation.
  void Explore(int steps);
  /// The first violation, empty if there is none.
  const std::string& violation() const { return violation_; }
  /// Settlements that were run, to show that the exploration reached them.
  int total_runs() const { return total_runs_; }
  /// Calls told each outcome, by outcome.
  const std::map<Outcome, int>& told() const { return told_; }
  /// Calls that were forwarded between instances.
  int forwards() const { return forwards_; }

 private:
  friend class PaperNode;
  friend class PaperStore;

  using Step = void (PaperFleet::*)();

  struct Weighted {
    Step step;
    uint64_t weight;
  };

  void RandomStep();
  void NewSettlement();
  void RetrySettlement();
  void ReuseWithOtherBody();
  void IdempotentCall();
  void CrashNode();
  void ToggleLink();
  void ToggleStore();
  void ApplyDocument();
  void SpreadDocument();
  void AdvanceTime();

  void StartNode(size_t index);
  void Try(Settlement* settlement, const std::string& body);
  void Check(const gateway::Call& call, const gateway::CallEnd& end,
             const std::string& answer, const std::string& body);
  /// Lets other things happen in the middle of what the caller of this is
  /// doing.
  void Interleave();
  gateway::CallEnd OnUpstream(PaperNode* node, const gateway::Call& call,
                              gateway::AnswerSink* sink);
  gateway::CallEnd OnForward(PaperNode* from, const gateway::Call& call,
                             const membership::MemberInfo& to,
                             peer::Purpose purpose, uint32_t attempt,
                             gateway::AnswerSink* sink);
  Result<void> StoreAccess(size_t node);
  bool LoseReply();
  bool LinkUp(size_t a, size_t b) const;
  void Violate(const std::string& what);
  bool Chance(uint64_t percent) { return random_.Below(100) < percent; }
  PaperNode& AnyNode() { return *nodes_[random_.Below(nodes_.size())]; }
  size_t RegionOf(size_t node) const { return node / nodes_each_; }

  uint64_t seed_;
  size_t regions_;
  size_t nodes_each_;
  Random random_;
  VirtualClock clock_;
  Keyring keyring_;
  fakes::MemoryStore store_;
  bool store_down_ = false;
  std::set<std::pair<size_t, size_t>> cut_;
  std::vector<std::unique_ptr<PaperNode>> nodes_;
  std::vector<std::unique_ptr<PaperNode>> graveyard_;
  std::vector<std::unique_ptr<Settlement>> settlements_;
  /// Requests that reached an upstream, by request id.
  std::set<std::string> reached_;
  /// The document by which an instance forwarded a request last.
  std::map<std::pair<std::string, InstanceId>, document::RecordPtr> senders_;
  std::map<Outcome, int> told_;
  int total_runs_ = 0;
  int forwards_ = 0;
  int depth_ = 0;
  int step_ = 0;
  uint64_t next_name_ = 1;
  uint64_t next_incarnation_ = 1;
  std::string violation_;
};

}  // namespace basilvalve::explore
