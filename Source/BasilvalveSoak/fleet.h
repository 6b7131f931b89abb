// Instances and upstreams of two regions, and what the platform would say of
// them.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "BasilvalveSoak/soak_upstream.h"
#include "Core/Edge/edge_node.h"
#include "Fakes/fake_dialect.h"

namespace basilvalve::soak {

/// Size of the fleet, in each of its regions.
struct FleetSize {
  int instances = 3;
  int upstreams = 4;
};

/// All run on one loop, over loopback. Not thread safe.
class Fleet {
 public:
  Fleet(net::EventLoop* loop, InvariantChecker* checker, Random* random,
        FleetSize size);

  /// Errors: kIo if a port cannot be had.
  Result<void> Start();
  size_t instance_count() const { return instances_.size(); }
  size_t upstream_count() const { return upstreams_.size(); }
  /// The entry address of an instance that takes calls; nullopt if it is down
  /// or about to stop.
  std::optional<net::Endpoint> EntryAddress(size_t instance) const;

  /// An instance ends at once and starts again after a while.
  void KillInstance(size_t instance);
  /// An instance stops in order and starts again.
  void StopInstance(size_t instance);
  /// An upstream ends at once; its record goes later, and another upstream
  /// starts at its address.
  void CrashUpstream(size_t upstream);
  /// An upstream tells that it leaves, leaves and is followed by another.
  void DrainUpstream(size_t upstream);
  /// An upstream behaves like this for a while.
  void SetUpstreamFault(size_t upstream, FaultMode mode, Millis duration);
  /// The next version of the desired state.
  void PublishNewState();
  uint64_t version() const { return version_; }

 private:
  struct Instance {
    edge::EdgeSettings settings;
    std::unique_ptr<edge::EdgeNode> node;
    bool is_stopping = false;
    std::unique_ptr<net::Timer> timer;
  };
  struct ManagedUpstream {
    std::unique_ptr<SoakUpstream> upstream;
    flow::UpstreamRecord record;
    std::unique_ptr<net::Timer> timer;
    std::unique_ptr<net::Timer> fault_mode_timer;
  };

  edge::EdgeSettings MakeEdgeSettings(const std::string& region, int number);
  Result<void> StartInstance(Instance* instance);
  void StartUpstream(ManagedUpstream* managed, uint16_t port);
  void ReplaceUpstream(ManagedUpstream* managed);
  void UpdateRegistries(const flow::UpstreamRecord& record);
  void RemoveFromRegistries(const UpstreamId& id);
  std::shared_ptr<const flow::DesiredState> MakeDesiredState() const;

  net::EventLoop* loop_;
  InvariantChecker* checker_;
  Random* random_;
  FleetSize size_;
  edge::FakeDialect dialect_;
  std::vector<Instance> instances_;
  std::vector<ManagedUpstream> upstreams_;
  uint64_t version_ = 1;
  uint64_t incarnation_ = 0;
  int upstreams_started_ = 0;
};

}  // namespace basilvalve::soak
