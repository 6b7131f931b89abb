#include "Core/Gateway/node.h"

#include <algorithm>
#include <map>
#include <thread>

#include "Core/Common/log.h"
#include "Core/Platform/http_client_directory.h"
#include "Core/Platform/http_instance_list.h"
#include "Core/Platform/http_key_value_store.h"
#include "Core/Routing/predictor.h"

namespace basilvalve::gateway {
namespace {

constexpr double kSummaryPromptTokens = 256;
constexpr Millis kDrainPollPeriod{20};
// The instance has to be idle for this long before it leaves, so that the
// draining state reaches the other members before the sockets close.
constexpr Millis kDrainIdleTime{500};
constexpr unsigned kMaxAdminThreads = 8;
constexpr size_t kMaxAdminBodyBytes = 4 << 20;

http::Endpoint EndpointOf(const std::string& text) {
  http::Endpoint endpoint;
  http::ParseEndpoint(text, &endpoint);
  return endpoint;
}

peer::PeerSettings PeerSettingsOf(const NodeSettings& settings,
                                  const NodeShares& shares) {
  peer::PeerSettings peer;
  peer.heartbeat_interval = Millis(settings.heartbeat_ms);
  peer.silence_timeout = Millis(settings.peer_dead_ms);
  peer.max_accepted = std::max<size_t>(
      1, shares.peer_connections / static_cast<size_t>(settings.peer_threads));
  return peer;
}

/// Counts a running handler for the lifetime of the object.
class ActiveHandlerScope {
 public:
  explicit ActiveHandlerScope(std::atomic<int64_t>* count) : count_(count) {
    count_->fetch_add(1);
  }
  ~ActiveHandlerScope() { count_->fetch_sub(1); }
  ActiveHandlerScope(const ActiveHandlerScope&) = delete;
  ActiveHandlerScope& operator=(const ActiveHandlerScope&) = delete;

 private:
  std::atomic<int64_t>* count_;
};

}  // namespace

NodePlatform Node::CreateHttpPlatform(const NodeSettings& settings) {
  Millis timeout(settings.store_timeout_ms);
  NodePlatform platform;
  platform.store = platform::HttpKeyValueStore::Create(
      EndpointOf(settings.store_address), timeout);
  platform.instance_list = platform::HttpInstanceList::Create(
      EndpointOf(settings.instance_list_address), timeout);
  if (!settings.client_directory_address.empty()) {
    platform.client_directory = platform::HttpClientDirectory::Create(
        EndpointOf(settings.client_directory_address), timeout);
  }
  return platform;
}

Node::Node(const NodeSettings& settings, const NodeShares& shares,
           NodePlatform platform, Keyring keyring)
    : settings_(settings),
      shares_(shares),
      platform_(std::move(platform)),
      keyring_(std::move(keyring)),
      state_(settings_, &clock_, &keyring_, platform_.store.get(),
             Incarnation(WallMillis()), ProcessSeed()),
      parts_(state_.parts()),
      reactor_(PeerSettingsOf(settings, shares),
               static_cast<size_t>(settings.peer_threads), &clock_),
      peers_(&reactor_, &keyring_) {
  parts_.peers = &peers_;
}

Result<std::unique_ptr<Node>> Node::Start(const NodeSettings& settings,
                                          NodePlatform platform) {
  Result<Keyring> keyring = Keyring::FromSetting(settings.peer_keys);
  if (!keyring) {
    return tl::make_unexpected(keyring.error());
  }
  Result<NodeShares> shares = NodeShares::Create(settings);
  if (!shares) {
    return tl::make_unexpected(shares.error());
  }
  std::unique_ptr<Node> node(
      new Node(settings, *shares, std::move(platform), std::move(*keyring)));
  Result<void> started = node->Init();
  if (!started) {
    return tl::make_unexpected(started.error());
  }
  return node;
}

Result<void> Node::Init() {
  Result<void> peers = StartCluster();
  if (!peers) {
    return peers;
  }
  document_sync_->Start();
  platform_poller_->Start();
  Result<void> http = StartHttpServers();
  if (!http) {
    return http;
  }
  started_ = true;
  LogEvent(LogLevel::kInfo, "node", "started")
      .With("instance", settings_.instance)
      .With("region", settings_.region)
      .With("caller", caller_endpoint().Text())
      .With("peer", peer_endpoint().Text())
      .With("admin", admin_endpoint().Text());
  return {};
}

Result<void> Node::StartCluster() {
  peer::PeerServerSettings server;
  server.endpoint = EndpointOf(settings_.peer_address);
  server.workers = static_cast<size_t>(settings_.peer_workers);
  Result<std::unique_ptr<peer::PeerServer>> peer_server =
      peer::PeerServer::Start(server, &reactor_, &keyring_, this);
  if (!peer_server) {
    return tl::make_unexpected(peer_server.error());
  }
  peer_server_ = std::move(*peer_server);

  membership::MemberInfo self;
  self.id = parts_.self;
  self.region = parts_.region;
  self.incarnation = parts_.incarnation;
  self.peer = peer_server_->endpoint();
  self.caller = EndpointOf(settings_.caller_address);
  ClusterSettings cluster;
  cluster.membership.probe_period = Millis(settings_.probe_period_ms);
  cluster.membership.suspicion_timeout = Millis(settings_.suspicion_ms);
  cluster.summary_period = Millis(settings_.summary_period_ms);
  cluster.region_stale = Millis(settings_.region_stale_ms);
  cluster_ = std::make_unique<Cluster>(cluster, std::move(self), ProcessSeed(),
                                       &clock_, &keyring_, parts_.metrics);
  parts_.cluster = cluster_.get();
  peer_caller_ = std::make_unique<PeerCaller>(&parts_);
  upstream_caller_ = std::make_unique<UpstreamCaller>(&parts_);
  call_runner_ = std::make_unique<CallRunner>(&parts_, upstream_caller_.get(),
                                              peer_caller_.get());
  at_most_once_runner_ = std::make_unique<AtMostOnceRunner>(
      &parts_, call_runner_.get(), peer_caller_.get());
  entry_advisor_ = std::make_unique<EntryAdvisor>(&parts_);
  explainer_ = std::make_unique<Explainer>(&parts_, peer_caller_.get());
  document_sync_ = std::make_unique<DocumentSync>(
      &parts_, platform_.store.get(), peer_caller_.get());
  platform_poller_ = std::make_unique<PlatformPoller>(
      &parts_, cluster_.get(), platform_.instance_list.get(),
      platform_.client_directory.get(), entry_advisor_.get());
  peer_api_ = std::make_unique<PeerApi>(&parts_, call_runner_.get(),
                                        at_most_once_runner_.get(),
                                        document_sync_.get(), explainer_.get());
  return cluster_->Start(MakeClusterHooks());
}

Result<void> Node::StartHttpServers() {
  caller_api_ = std::make_unique<CallerApi>(
      &parts_, call_runner_.get(), at_most_once_runner_.get(),
      entry_advisor_.get(), explainer_.get());
  admin_api_ = std::make_unique<AdminApi>(
      &parts_, document_sync_.get(), entry_advisor_.get(), explainer_.get(),
      [this] { BeginDrain(); });
  std::string reason;
  http::ServerSettings admin;
  admin.share = shares_.admin;
  admin.on_shed = [this](std::string_view cause) {
    parts_.metrics->CountShed("admin", cause);
  };
  admin.endpoint = EndpointOf(settings_.admin_address);
  admin.max_threads = kMaxAdminThreads;
  admin.max_body_bytes = kMaxAdminBodyBytes;
  admin_server_ = http::Server::Start(admin, admin_api_.get(), &reason);
  if (admin_server_ == nullptr) {
    return Fail(ResultCode::kSettingInvalid, "--admin-address: " + reason);
  }
  http::ServerSettings caller;
  caller.share = shares_.callers;
  caller.body_copies = kBodyCopies;
  caller.on_shed = [this](std::string_view cause) {
    parts_.metrics->CountShed("caller", cause);
  };
  caller.endpoint = EndpointOf(settings_.caller_address);
  caller.max_threads = static_cast<unsigned>(settings_.caller_threads);
  caller.max_body_bytes = static_cast<size_t>(settings_.max_body_bytes);
  caller.read_timeout = Millis(settings_.read_timeout_ms);
  caller.write_timeout = Millis(settings_.write_timeout_ms);
  caller.certificate_file = settings_.tls_certificate;
  caller.key_file = settings_.tls_key;
  caller_server_ = http::Server::Start(caller, this, &reason);
  if (caller_server_ == nullptr) {
    return Fail(ResultCode::kSettingInvalid, "--caller-address: " + reason);
  }
  return {};
}

ClusterHooks Node::MakeClusterHooks() {
  ClusterHooks hooks;
  hooks.region_summary = [this] { return BuildRegionSummary(); };
  hooks.document_hash = [this] { return parts_.catalog->DigestHash(); };
  hooks.on_documents_differ = [this](const InstanceId& member) {
    document_sync_->OnDocumentsDiffer(member);
  };
  hooks.on_upstream_leaving = [this](const UpstreamId& upstream,
                                     Millis /*age*/) {
    parts_.upstreams->MarkLeaving(upstream, clock_.Now(),
                                  routing::kMinLeavingTime);
  };
  hooks.load_percent = [this] {
    return parts_.workspace_shares->LoadPercent();
  };
  return hooks;
}

membership::RegionSummary Node::BuildRegionSummary() const {
  membership::RegionSummary summary;
  Instant now = clock_.Now();
  std::map<ModelName, std::vector<Micros>> models;
  std::map<ServiceName, size_t> services;
  for (const platform::ListedInstance& it : parts_.upstreams->Listed()) {
    for (const ModelName& model : it.models) {
      models[model];
    }
    if (!it.service.empty()) {
      services[it.service] =
          parts_.upstreams->ServiceCandidates(it.service, {}, now).size();
    }
  }
  for (auto& [model, predicted] : models) {
    for (const routing::Candidate& it :
         parts_.upstreams->ModelCandidates(model, {}, now)) {
      predicted.push_back(
          routing::PredictTimeToFirstToken(it, {kSummaryPromptTokens}, {}));
    }
    std::sort(predicted.begin(), predicted.end());
    membership::ModelSummary row;
    row.model = model;
    row.upstreams = static_cast<uint32_t>(predicted.size());
    if (!predicted.empty()) {
      // The second-lowest prediction: the best upstream is taken by the first
      // call, so its prediction is too optimistic for the next ones.
      Micros typical = predicted[std::min<size_t>(1, predicted.size() - 1)];
      row.first_token_ms = static_cast<uint32_t>(
          std::chrono::duration_cast<Millis>(typical).count());
    }
    summary.models.push_back(std::move(row));
  }
  for (const auto& [service, upstreams] : services) {
    if (upstreams > 0) {
      summary.services.push_back(service);
    }
  }
  return summary;
}

void Node::HandleStream(peer::ServerStream* stream) {
  if (!started_) {
    stream->Refuse(
        MakeError(ResultCode::kNoDocument, "this instance is starting"));
    return;
  }
  ActiveHandlerScope scope(&active_handlers_);
  peer_api_->HandleStream(stream);
}

void Node::Handle(http::Exchange* exchange) {
  ActiveHandlerScope scope(&active_handlers_);
  caller_api_->Handle(exchange);
}

void Node::BeginDrain() {
  if (parts_.draining->exchange(true)) {
    return;
  }
  LogEvent(LogLevel::kInfo, "node", "drain_started")
      .With("in_flight", active_handlers_.load());
  cluster_->SetDraining();
  platform_poller_->PublishEntries();
}

bool Node::AwaitDrained() {
  while (!draining()) {
    std::this_thread::sleep_for(kDrainPollPeriod);
  }
  Instant begin = clock_.Now();
  Instant idle_since = begin;
  Instant deadline = begin + Seconds(settings_.drain_limit_s);
  while (clock_.Now() < deadline) {
    // A response is written to its connection after its handler has returned,
    // so a count of zero alone does not mean that all responses were sent.
    if (active_handlers_.load() != 0) {
      idle_since = clock_.Now();
    }
    if (clock_.Now() - idle_since >= kDrainIdleTime) {
      break;
    }
    std::this_thread::sleep_for(kDrainPollPeriod);
  }
  cluster_->Leave();
  bool finished = active_handlers_.load() == 0;
  LogEvent(LogLevel::kInfo, "node", "drain_finished")
      .With("in_flight", active_handlers_.load());
  return finished;
}

Node::~Node() {
  // Stops the servers before the components that their handlers call, so that
  // no handler uses a destroyed component.
  caller_server_.reset();
  admin_server_.reset();
  if (platform_poller_ != nullptr) {
    platform_poller_->Stop();
  }
  if (document_sync_ != nullptr) {
    document_sync_->Stop();
  }
  if (cluster_ != nullptr) {
    cluster_->Stop();
  }
  reactor_.Stop();
  peer_server_.reset();
}

}  // namespace basilvalve::gateway
