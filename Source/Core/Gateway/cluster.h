// This instance among the others: membership, regions and the control socket.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/keyring.h"
#include "Core/Gateway/cluster_view.h"
#include "Core/Observe/metrics.h"
#include "Core/Peer/control_socket.h"
#include "Core/Platform/instance_list.h"

namespace basilvalve::gateway {

/// Periods of what regions tell each other.
struct ClusterSettings {
  membership::MembershipSettings membership;
  Millis summary_period{2000};
  Millis region_stale{10000};
};

/// What the cluster asks of, and tells, the rest of the instance.
struct ClusterHooks {
  /// Models and services that this region can serve now.
  std::function<membership::RegionSummary()> region_summary;
  /// Hash of the documents in force.
  std::function<uint64_t()> document_hash;
  /// A member holds other documents than this instance.
  std::function<void(const InstanceId&)> on_documents_differ;
  /// A member saw an upstream leaving.
  std::function<void(const UpstreamId&, Millis age)> on_upstream_leaving;
  /// Share of this instance's capacity in use.
  std::function<uint8_t()> load_percent;
};

/// Wraps the membership state machines with a lock, a socket and a clock.
/// Thread safe.
class Cluster : public ClusterView {
 public:
  /// Pre: the pointers outlive the cluster.
  Cluster(const ClusterSettings& settings, membership::MemberInfo self,
          uint64_t seed, const Clock* clock, const Keyring* keyring,
          observe::Metrics* metrics);
  ~Cluster() override;

  /// Binds the peer address and starts to talk. Fails with kSettingInvalid.
  Result<void> Start(ClusterHooks hooks);
  /// Stops the control socket. Call once, last.
  void Stop();
  /// Learns gateways from the platform's list. Thread safe.
  void Introduce(const std::vector<platform::ListedInstance>& listed);
  /// Tells the others that this instance takes no new work. Thread safe.
  void SetDraining();
  /// Tells the others that this instance is gone. Thread safe.
  void Leave();
  std::vector<membership::MemberInfo> Live() const override;
  std::vector<membership::MemberView> Members() const override;
  std::optional<membership::MemberInfo> Find(
      const InstanceId& id) const override;
  std::vector<membership::RegionView> ReachableRegions() const override;
  std::vector<membership::RegionView> AllRegions() const override;
  std::optional<membership::MemberInfo> PickContact(
      const RegionId& region, uint64_t rotation) const override;
  void AnnounceUpstreamLeaving(const UpstreamId& upstream) override;

  /// What this instance tells of itself. Thread safe.
  membership::MemberInfo self() const;

 private:
  struct LeavingNotice {
    UpstreamId upstream;
    Instant seen;
  };

  void OnMessage(const membership::ControlMessage& message);
  void OnTick();
  void Send(std::vector<membership::OutgoingMessage> messages);
  void AddPiggybackData(membership::ControlMessage* message);
  std::vector<membership::OutgoingMessage> SummariesDue(Instant now);
  std::vector<membership::OutgoingMessage> RelaySummaryLocked(
      const membership::ControlMessage& message);
  membership::ControlMessage NewMessageLocked();

  ClusterSettings settings_;
  const Clock* clock_;
  const Keyring* keyring_;
  observe::Metrics* metrics_;
  ClusterHooks hooks_;
  std::unique_ptr<peer::ControlSocket> socket_;
  std::atomic<uint64_t> next_sequence_{1};

  mutable std::mutex mutex_;
  // Guarded by mutex_.
  membership::MemberTable members_;
  membership::RegionTable regions_;
  std::map<RegionId, std::vector<membership::MemberInfo>> listed_contacts_;
  std::vector<LeavingNotice> leaving_notices_;
  Instant next_summary_;
  uint64_t round_ = 0;
  uint64_t summary_sequence_ = 0;
};

}  // namespace basilvalve::gateway
