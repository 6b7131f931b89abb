// Membership of this region, summaries of the other regions, and the UDP
// control socket that carries both.
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

/// Timing of membership and of the summaries between regions.
struct ClusterSettings {
  membership::MembershipSettings membership;
  /// Lower bound of the time between summaries to other regions, which grows
  /// with the number of regions.
  Millis summary_period{2000};
  /// Lower bound of the silence after which a region counts as unreachable.
  Millis region_stale{10000};
};

/// Callbacks from the cluster to the rest of the instance. They are called
/// without the cluster's lock and have to be thread safe.
struct ClusterHooks {
  /// Returns the models and services that this region can serve now.
  std::function<membership::RegionSummary()> region_summary;
  /// Returns the hash of the names and versions of the active documents.
  std::function<uint64_t()> document_hash;
  /// Called when a member's document hash differs from this instance's.
  std::function<void(const InstanceId&)> on_documents_differ;
  /// Called when a member reports that an upstream is leaving; `age` is the
  /// time since the member's observation.
  std::function<void(const UpstreamId&, Millis age)> on_upstream_leaving;
  /// Returns the share of this instance's concurrency limit in use, 0 to 100.
  std::function<uint8_t()> load_percent;
};

/// Drives the membership and region state machines: adds a lock, a socket and a
/// clock to them. Thread safe.
class Cluster : public ClusterView {
 public:
  /// Pre: the pointers outlive the cluster.
  Cluster(const ClusterSettings& settings, membership::MemberInfo self,
          uint64_t seed, const Clock* clock, const Keyring* keyring,
          observe::Metrics* metrics);
  ~Cluster() override;

  /// Binds the UDP peer address and starts to exchange messages. Fails with
  /// kSettingInvalid. Call once.
  Result<void> Start(ClusterHooks hooks);
  /// Stops the control socket; no message is sent or handled afterwards.
  void Stop();
  /// Adds the live gateways of the platform's instance list as members or as
  /// contacts of other regions. Thread safe.
  void AddDiscovered(const std::vector<platform::ListedInstance>& listed);
  /// Announces that this instance accepts no new calls. Thread safe.
  void SetDraining();
  /// Announces that this instance has left. Thread safe.
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

  /// What this instance announces about itself. Thread safe.
  membership::MemberInfo self() const;

 private:
  struct LeavingNotice {
    UpstreamId upstream;
    Instant seen_at;
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
  uint64_t summary_round_ = 0;
  uint64_t summary_sequence_ = 0;
};

}  // namespace basilvalve::gateway
