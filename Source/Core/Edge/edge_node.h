// One instance's event-driven path: callers and other instances in, upstreams
// and other regions out.
#pragma once

#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "Core/Edge/exchange.h"

namespace basilvalve::edge {

/// What an instance has to know at its start.
struct EdgeSettings {
  flow::InstanceRecord self;
  net::Endpoint front;
  net::Endpoint peer;
  flow::FleetRetryBudgetSettings retries;
  PoolSettings upstream_connections;
  PoolSettings peer_connections;
  /// Time there and back to another region until one was measured.
  Micros region_round_trip{Millis(110)};
  /// From the request to stop until the process has to be gone.
  Millis stop_grace{8000};
  uint64_t seed = 0;
};

/// Fed by the platform's adapter with what is registered and wanted. Not
/// thread safe: everything runs on the loop.
class EdgeNode {
 public:
  /// Opens the ports. Errors: kIo, kSettingInvalid. `loop` and `dialect`
  /// outlive the node.
  static Result<std::unique_ptr<EdgeNode>> Create(net::EventLoop* loop,
                                                  EdgeSettings settings,
                                                  const CallDialect* dialect);
  ~EdgeNode();
  EdgeNode(const EdgeNode&) = delete;
  EdgeNode& operator=(const EdgeNode&) = delete;

  /// Puts a version in force; an older one than that in force is ignored.
  void SetDesiredState(std::shared_ptr<const flow::DesiredState> state);
  flow::UpstreamRegistry& registry() { return registry_; }
  flow::FleetView& fleet() { return fleet_; }
  EdgeMetrics& metrics() { return metrics_; }
  const EdgeSettings& settings() const { return settings_; }

  /// Whether callers may come: a desired state is in force and no stop was
  /// asked for.
  bool IsReady() const { return state_ != nullptr && !is_draining_; }
  /// Front addresses for a region's callers of a host: that region's, or if it
  /// has none those of regions that may hold the host's data.
  std::vector<std::string> FrontAddressesFor(const RegionId& region,
                                             std::string_view host);
  /// Stops in order: callers are told to go elsewhere, calls in hand end, then
  /// `done` is called, at the latest at the end of the grace.
  void BeginDrain(std::function<void()> done);
  /// Where the ports were bound.
  net::Endpoint front_endpoint() const { return front_->LocalEndpoint(); }
  net::Endpoint peer_endpoint() const { return peer_->LocalEndpoint(); }

 private:
  EdgeNode(net::EventLoop* loop, EdgeSettings settings,
           const CallDialect* dialect);
  std::optional<Error> Open();
  void Accept(std::unique_ptr<net::Socket> socket, bool is_peer);
  void OnCall(const net::ServerConnection::Ptr& caller,
              net::ServerRequest request);
  void OnPeerCall(const net::ServerConnection::Ptr& caller,
                  net::ServerRequest request);
  void Begin(const net::ServerConnection::Ptr& caller,
             net::ServerRequest request, CallParams terms,
             CallContract contract);
  void Refuse(const net::ServerConnection::Ptr& caller,
              const net::ServerRequest& request, int status,
              std::string_view why);
  void OnDatagram(std::string_view bytes);
  void SendBeats();
  uint64_t MemoryTokensOf(flow::UpstreamShortId tag) const;
  flow::Heartbeat MakeBeat(bool with_loads);
  void NoteStall();
  void NoteSilence();
  void Sweep();
  void CheckDrained();
  static bool ColdGateThunk(void* context, const flow::Upstream& upstream);

  net::EventLoop* loop_;
  EdgeSettings settings_;
  Random random_;
  EdgeMetrics metrics_;
  std::shared_ptr<const flow::DesiredState> state_;
  flow::UpstreamRegistry registry_;
  flow::Placer placer_;
  flow::FleetRetryBudget allowance_;
  flow::ColdStartLimiter cold_gate_;
  flow::FleetView fleet_;
  ConnectionPool upstream_pool_;
  ConnectionPool peer_pool_;
  EdgeParts parts_;
  std::unique_ptr<net::Listener> front_;
  std::unique_ptr<net::Listener> peer_;
  std::unique_ptr<net::DatagramSocket> datagrams_;
  std::unordered_map<net::ServerConnection*, net::ServerConnection::Ptr>
      connections_;
  std::unordered_map<Exchange*, std::shared_ptr<Exchange>> exchanges_;
  // Other instances that were silent at the last sweep.
  std::set<InstanceId> silent_;
  net::Timer beat_timer_;
  net::Timer sweep_timer_;
  net::Timer drain_timer_;
  uint64_t beat_sequence_ = 0;
  size_t far_turn_ = 0;
  Instant far_sent_at_;
  Instant swept_at_;
  bool is_draining_ = false;
  bool idle_closed_ = false;
  Instant drain_began_;
  std::function<void()> on_drained_;
};

}  // namespace basilvalve::edge
