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
  Fleet(net::EventLoop* loop, Ledger* ledger, Random* random, FleetSize size);

  /// Errors: kIo if a port cannot be had.
  Result<void> Start();
  size_t instance_count() const { return instances_.size(); }
  size_t upstream_count() const { return upstreams_.size(); }
  /// The entry address of an instance that takes calls; nullopt if it is down
  /// or about to stop.
  std::optional<net::Endpoint> EntryOf(size_t instance) const;

  /// An instance ends at once and starts again after a while.
  void KillInstance(size_t instance);
  /// An instance stops in order and starts again.
  void StopInstance(size_t instance);
  /// An upstream ends at once; its record goes later, and another upstream
  /// starts at its address.
  void CrashUpstream(size_t upstream);
  /// An upstream tells that it leaves, leaves and is followed by another.
  void RetireUpstream(size_t upstream);
  /// An upstream behaves like this for a while.
  void Upset(size_t upstream, Mood mood, Millis time);
  /// The next version of the desired state.
  void ChangeState();
  uint64_t version() const { return version_; }

 private:
  struct Instance {
    edge::EdgeSettings settings;
    std::unique_ptr<edge::EdgeNode> node;
    bool is_stopping = false;
    std::unique_ptr<net::Timer> timer;
  };
  struct Place {
    std::unique_ptr<SoakUpstream> upstream;
    flow::UpstreamRecord record;
    std::unique_ptr<net::Timer> timer;
    std::unique_ptr<net::Timer> mood_timer;
  };

  edge::EdgeSettings SettingsOf(const std::string& region, int number);
  Result<void> StartInstance(Instance* instance);
  void StartUpstream(Place* place, uint16_t port);
  void Replace(Place* place);
  void Tell(const flow::UpstreamRecord& record);
  void TellGone(const UpstreamId& id);
  std::shared_ptr<const flow::DesiredState> State() const;

  net::EventLoop* loop_;
  Ledger* ledger_;
  Random* random_;
  FleetSize size_;
  edge::FakeDialect dialect_;
  std::vector<Instance> instances_;
  std::vector<Place> upstreams_;
  uint64_t version_ = 1;
  uint64_t incarnation_ = 0;
  int upstreams_started_ = 0;
};

}  // namespace basilvalve::soak
