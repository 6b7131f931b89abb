// A fleet of instances and upstreams in two regions, with the updates to their
// upstream registries, fleet lists and desired state.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "BasilvalveSoak/soak_upstream.h"
#include "Core/Edge/edge_node.h"
#include "Fakes/fake_dialect.h"

namespace basilvalve::soak {

/// Number of processes in each region.
struct FleetSize {
  int instances = 3;
  int upstreams = 4;
};

/// Runs all instances and upstreams on one event loop, over loopback. Not
/// thread safe.
class Fleet {
 public:
  Fleet(net::EventLoop* loop, InvariantChecker* checker, Random* random,
        FleetSize size);

  /// Starts all upstreams and instances. Errors: kIo if a port cannot be bound.
  Result<void> Start();
  size_t instance_count() const { return instances_.size(); }
  size_t upstream_count() const { return upstreams_.size(); }
  /// Address on which an instance accepts callers; nullopt while it is down or
  /// draining.
  std::optional<net::Endpoint> EntryAddress(size_t instance) const;

  /// Ends an instance without draining and restarts it later.
  void KillInstance(size_t instance);
  /// Drains an instance, stops it and restarts it.
  void StopInstance(size_t instance);
  /// Crashes an upstream and starts another one at its address at once. The old
  /// record leaves the registries later.
  void CrashUpstream(size_t upstream);
  /// Marks an upstream as draining, then replaces it by another one.
  void DrainUpstream(size_t upstream);
  /// Sets the fault mode of an upstream for `duration`.
  void SetUpstreamFault(size_t upstream, FaultMode mode, Millis duration);
  /// Publishes the next version of the desired state to all instances.
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
