// The event-driven request path of one instance: accepts calls from callers and
// peer instances and sends them to upstreams and other regions.
#pragma once

#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "Core/Edge/accepted_connections.h"
#include "Core/Edge/catalog_codec.h"
#include "Core/Edge/exchange.h"
#include "Core/Edge/freshness_monitor.h"
#include "Core/Edge/hedge_planner.h"
#include "Core/Net/machine_limits.h"

namespace basilvalve::edge {

/// Start-up configuration of an instance.
struct EdgeSettings {
  flow::InstanceRecord self;
  /// Listening address for callers; port 0 selects a free port.
  net::Endpoint public_address;
  /// Listening address, TCP and UDP, for other instances; port 0 selects a free
  /// port.
  net::Endpoint peer_address;
  flow::FleetRetryBudgetSettings retries;
  /// Hedges per call that may be hedged, over all instances of the region; 0
  /// turns hedging off.
  double hedge_share = 0;
  PoolSettings upstream_connections;
  PoolSettings peer_connections;
  /// Network round-trip time to another region.
  Micros region_round_trip{Millis(110)};
  /// Longest time from the start of a drain to the exit of the process.
  Millis stop_grace{8000};
  net::MachineLimits machine;
  uint64_t seed = 0;
  /// Longest time after which a key that the newest desired state lacks is
  /// still accepted; nullopt: no limit.
  std::optional<Millis> revocation_limit;
};

/// Receives the upstreams, the instances and the desired state from the
/// platform adapter. Not thread safe: everything runs on the event loop.
class EdgeNode {
 public:
  /// Opens the listening ports. `loop` and `dialect` must outlive the node.
  /// Errors: kIo, kSettingInvalid.
  static Result<std::unique_ptr<EdgeNode>> Create(net::EventLoop* loop,
                                                  EdgeSettings settings,
                                                  const CallDialect* dialect);
  ~EdgeNode();
  EdgeNode(const EdgeNode&) = delete;
  EdgeNode& operator=(const EdgeNode&) = delete;

  /// Applies a desired state; ignored if its version is not newer than the
  /// current one.
  void SetDesiredState(std::shared_ptr<const flow::DesiredState> state);
  flow::UpstreamRegistry& registry() { return registry_; }
  flow::FleetView& fleet() { return fleet_; }
  EdgeMetrics& metrics() { return metrics_; }
  const PoisonGuard& poison_guard() const { return poison_guard_; }
  const EdgeSettings& settings() const { return settings_; }

  /// Receives what the region's readers of the platform's catalog pass on.
  struct CatalogHandlers {
    std::function<void(const CatalogChanges&)> on_changes;
    /// A reader had read up to the position at the given time.
    std::function<void(const flow::CatalogPosition&, Instant at)> on_confirmed;
  };
  void SetCatalogHandlers(CatalogHandlers handlers) {
    catalog_handlers_ = std::move(handlers);
  }
  /// Assigns the roles of the region's instances anew, after their set changed.
  void UpdateDispatchers();
  /// Whether an instance of the region has had a later desired state for longer
  /// than changes take to arrive here.
  bool IsStateOutdated() const;
  /// Whether this instance has to read the platform's catalog itself.
  bool IsCatalogReader() const { return dispatchers_.IsCatalogReader(); }
  /// Whether others of the region rely on its catalog readers.
  bool HasCatalogReaders() const { return dispatchers_.has_catalog_readers(); }
  /// Records how far this instance has read the catalog, for its heartbeats,
  /// and when that was known to be all of it.
  void SetCatalogPosition(const flow::CatalogPosition& position,
                          Instant known_at);
  /// The desired state was the newest one at `known_at`. Ignored while another
  /// instance of the region has a later one.
  void OnStateConfirmed(Instant known_at);
  /// Passes changes on to the other instances of the region.
  void BroadcastCatalogChanges(const CatalogChanges& changes);
  /// Whether the instance accepts callers: it has a desired state and is not
  /// draining.
  bool IsReady() const { return state_ != nullptr && !is_draining_; }
  /// Addresses that the region's callers of `host` should connect to: instances
  /// of that region, or if there are none, of the regions that may hold the
  /// host's data.
  std::vector<std::string> PublicAddressesFor(const RegionId& region,
                                              std::string_view host);
  /// Starts a graceful shutdown: announces the close to callers, lets calls in
  /// flight finish, then calls `done`, at the latest when the grace period
  /// ends.
  void BeginDrain(std::function<void()> done);
  /// Number of calls whose response is not complete. Not thread safe.
  size_t calls_in_flight() const { return exchanges_.size(); }
  /// Bytes of responses that no socket has taken yet. Not thread safe.
  size_t unwritten_bytes() const { return connections_.UnwrittenBytes(); }
  /// The bound addresses, with the actual ports.
  net::Endpoint public_endpoint() const {
    return public_listener_->LocalEndpoint();
  }
  net::Endpoint peer_endpoint() const {
    return peer_listener_->LocalEndpoint();
  }

 private:
  EdgeNode(net::EventLoop* loop, EdgeSettings settings,
           const CallDialect* dialect);
  std::optional<Error> Open();
  net::ServerLimits CallerLimits() const;
  /// Whether a call that takes up to `longest` may start now: while draining,
  /// only if it ends within the grace period or callers cannot know yet.
  bool AcceptsCall(Millis longest) const;
  void OnCall(const net::ServerConnection::Ptr& caller,
              net::ServerRequest request);
  void OnPeerCall(const net::ServerConnection::Ptr& caller,
                  net::ServerRequest request);
  void StartExchange(const net::ServerConnection::Ptr& caller,
                     net::ServerRequest request, CallParams params,
                     CallContext context);
  void RejectRequest(const net::ServerConnection::Ptr& caller,
                     const net::ServerRequest& request, int status,
                     std::string_view reason);
  /// Refuses a call that its workspace's quota does not allow now.
  void RefuseOverQuota(const net::ServerConnection::Ptr& caller,
                       const net::ServerRequest& request, Millis retry_after);
  void OnDatagram(std::string_view bytes);
  /// Forgets the load forwarded to upstreams that no other instance owns: no
  /// report would clear it.
  void ClearForwardedLoad();
  void SendHeartbeats();
  void SendRegionHeartbeats(const std::vector<flow::InstanceRecord>& others);
  void SendRemoteHeartbeats(const std::vector<flow::InstanceRecord>& others);
  void SendRemoteHeartbeat(const flow::InstanceRecord& to,
                           const std::string& bytes);
  /// Whether the others of this region expect heartbeats from this instance.
  bool IsExpectedSender() const {
    return !dispatchers_.is_exclusive() || dispatchers_.IsMember();
  }
  void ApplyHeartbeat(const flow::Heartbeat& heartbeat);
  uint64_t MemoryTokensOf(flow::UpstreamShortId short_id) const;
  flow::Heartbeat MakeHeartbeat(bool is_for_region);
  bool ReportsUpstream(const flow::Upstream& upstream) const;
  void LogStall();
  void WatchPauses();
  void LogUnresponsiveInstances();
  void Sweep();
  /// Gives up calls with the part that wait for an upstream's first byte.
  void WithdrawBlocked(flow::PromptPartId part);
  /// Sends calls elsewhere that still wait for a connection to the upstream.
  void WithdrawUnsent(const UpstreamId& id);
  void CheckDrained();
  /// Ends the calls in flight; their callers get a failure.
  void EndCalls();
  /// What the upstream bears now from all instances together.
  flow::SendLimits LimitsOf(const flow::Upstream& upstream) const;
  /// Whether this instance may send the upstream a call within its limits.
  bool AllowsSend(const flow::Upstream& upstream);

  net::EventLoop* loop_;
  EdgeSettings settings_;
  net::ConnectionBudgets budgets_;
  Random random_;
  EdgeMetrics metrics_;
  std::shared_ptr<const flow::DesiredState> state_;
  flow::UpstreamRegistry registry_;
  flow::Placer placer_;
  flow::FleetRetryBudget retry_budget_;
  flow::SendLimiter send_limiter_;
  flow::FleetView fleet_;
  flow::DispatcherSet dispatchers_;
  ConnectionPool upstream_pool_;
  ConnectionPool peer_pool_;
  NoticeRecorder notices_;
  PoisonGuard poison_guard_;
  QuotaGuard quota_guard_;
  EdgeComponents components_;
  HedgePlanner hedges_;
  std::unique_ptr<net::Listener> public_listener_;
  std::unique_ptr<net::Listener> peer_listener_;
  std::unique_ptr<net::DatagramSocket> datagrams_;
  AcceptedConnections connections_;
  std::unordered_map<Exchange*, std::shared_ptr<Exchange>> exchanges_;
  // Other instances that were unresponsive at the last sweep.
  std::set<InstanceId> unresponsive_instances_;
  net::Timer heartbeat_timer_;
  net::Timer sweep_timer_;
  net::Timer drain_timer_;
  uint64_t heartbeat_sequence_ = 0;
  // Heartbeats of other regions that the next one to this region passes on.
  std::vector<std::string> relayed_heartbeats_;
  CatalogHandlers catalog_handlers_;
  FreshnessMonitor freshness_;
  // Pauses of this process, which are no time of an upstream.
  flow::PauseDetector pauses_;
  net::Timer pause_timer_;
  // Latest version of the desired state among the region's instances, and when
  // it was first seen.
  uint64_t region_state_version_ = 0;
  Instant region_state_seen_at_;
  flow::CatalogPosition catalog_position_;
  Instant catalog_confirmed_at_;
  size_t next_remote_ = 0;
  std::map<RegionId, Instant> last_relayed_heartbeat_at_;
  Instant last_remote_heartbeat_at_;
  Instant last_sweep_at_;
  bool is_draining_ = false;
  bool idle_connections_closed_ = false;
  size_t calls_aborted_ = 0;
  Instant drain_started_at_;
  std::function<void()> on_drained_;
};

}  // namespace basilvalve::edge
