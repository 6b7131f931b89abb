// One instance of the gateway: creates, starts and stops its components.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

#include "Core/Gateway/admin_api.h"
#include "Core/Gateway/call_runner.h"
#include "Core/Gateway/caller_api.h"
#include "Core/Gateway/cluster.h"
#include "Core/Gateway/document_sync.h"
#include "Core/Gateway/node_shares.h"
#include "Core/Gateway/node_state.h"
#include "Core/Gateway/peer_api.h"
#include "Core/Gateway/platform_poller.h"
#include "Core/Gateway/upstream_caller.h"
#include "Core/Platform/client_directory.h"
#include "Core/Platform/instance_list.h"
#include "Core/Platform/key_value_store.h"

namespace basilvalve::gateway {

/// Clients of the platform's services that an instance uses.
struct NodePlatform {
  std::unique_ptr<platform::KeyValueStore> store;
  std::unique_ptr<platform::InstanceList> instance_list;
  /// May be null: the instance then publishes no entries.
  std::unique_ptr<platform::ClientDirectory> client_directory;
};

/// A running instance: its servers, threads and state. Thread safe.
class Node : private peer::StreamHandler, private http::Handler {
 public:
  /// Starts an instance. Fails with kSettingInvalid, for example if an address
  /// cannot be bound. Pre: CheckNodeSettings accepted `settings`.
  static Result<std::unique_ptr<Node>> Start(const NodeSettings& settings,
                                             NodePlatform platform);
  /// Creates clients of the platform's HTTP services at the addresses in
  /// `settings`.
  static NodePlatform CreateHttpPlatform(const NodeSettings& settings);
  ~Node() override;
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts a graceful stop: new calls are refused, requests in flight
  /// continue. Does not wait for them; the second and later calls do nothing.
  /// Thread safe; blocks while the client directory is updated.
  void BeginDrain();
  /// Waits until BeginDrain was called, and then until no request is in flight
  /// or the setting drain-limit-s has passed; leaves the group of members at
  /// the end. Returns whether no request was left in flight. Thread safe;
  /// blocks.
  bool AwaitDrained();
  /// Whether a graceful stop has begun. Thread safe.
  bool draining() const { return parts_.draining->load(); }

  /// Bound addresses, with the actual port if the setting was port 0. Thread
  /// safe.
  http::Endpoint caller_endpoint() const { return caller_server_->endpoint(); }
  http::Endpoint admin_endpoint() const { return admin_server_->endpoint(); }
  http::Endpoint peer_endpoint() const { return peer_server_->endpoint(); }

 private:
  Node(const NodeSettings& settings, const NodeShares& shares,
       NodePlatform platform, Keyring keyring);

  Result<void> Init();
  Result<void> StartCluster();
  Result<void> StartHttpServers();
  ClusterHooks MakeClusterHooks();
  membership::RegionSummary BuildRegionSummary() const;
  void HandleStream(peer::ServerStream* stream) override;
  void Handle(http::Exchange* exchange) override;

  NodeSettings settings_;
  NodeShares shares_;
  NodePlatform platform_;
  Keyring keyring_;
  SteadyClock clock_;
  std::atomic<bool> started_{false};
  std::atomic<int64_t> active_handlers_{0};

  NodeState state_;
  NodeParts& parts_;
  peer::Reactor reactor_;
  peer::PeerClient peers_;

  std::unique_ptr<Cluster> cluster_;
  std::unique_ptr<PeerCaller> peer_caller_;
  std::unique_ptr<UpstreamCaller> upstream_caller_;
  std::unique_ptr<CallRunner> call_runner_;
  std::unique_ptr<AtMostOnceRunner> at_most_once_runner_;
  std::unique_ptr<EntryAdvisor> entry_advisor_;
  std::unique_ptr<Explainer> explainer_;
  std::unique_ptr<DocumentSync> document_sync_;
  std::unique_ptr<PlatformPoller> platform_poller_;
  std::unique_ptr<CallerApi> caller_api_;
  std::unique_ptr<PeerApi> peer_api_;
  std::unique_ptr<AdminApi> admin_api_;
  std::unique_ptr<peer::PeerServer> peer_server_;
  std::unique_ptr<http::Server> admin_server_;
  std::unique_ptr<http::Server> caller_server_;
};

}  // namespace basilvalve::gateway
