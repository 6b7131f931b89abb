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
constexpr Millis kDrainPoll{20};
// Time for the news of the departure to spread before the last socket closes.
constexpr Millis kMinDrain{500};
constexpr unsigned kAdminThreads = 8;
constexpr size_t kAdminBodyBytes = 4 << 20;

http::Endpoint EndpointOf(const std::string& text) {
  http::Endpoint endpoint;
  http::ParseEndpoint(text, &endpoint);
  return endpoint;
}

peer::PeerSettings PeerSettingsOf(const NodeSettings& settings) {
  peer::PeerSettings peer;
  peer.heartbeat_interval = Millis(settings.heartbeat_ms);
  peer.silence_timeout = Millis(settings.peer_dead_ms);
  return peer;
}

/// Counts an activity while it lasts.
class ActiveScope {
 public:
  explicit ActiveScope(std::atomic<int64_t>* count) : count_(count) {
    count_->fetch_add(1);
  }
  ~ActiveScope() { count_->fetch_sub(1); }
  ActiveScope(const ActiveScope&) = delete;
  ActiveScope& operator=(const ActiveScope&) = delete;

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

Node::Node(const NodeSettings& settings, NodePlatform platform, Keyring keyring)
    : settings_(settings),
      platform_(std::move(platform)),
      keyring_(std::move(keyring)),
      state_(settings_, &clock_, &keyring_, platform_.store.get(),
             Incarnation(WallMillis()), ProcessSeed()),
      parts_(state_.parts()),
      reactor_(PeerSettingsOf(settings),
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
  std::unique_ptr<Node> node(
      new Node(settings, std::move(platform), std::move(*keyring)));
  Result<void> started = node->Init();
  if (!started) {
    return tl::make_unexpected(started.error());
  }
  return node;
}

Result<void> Node::Init() {
  Result<void> peers = StartPeers();
  if (!peers) {
    return peers;
  }
  sync_->Start();
  poller_->Start();
  Result<void> http = StartHttp();
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

Result<void> Node::StartPeers() {
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
  runner_ = std::make_unique<CallRunner>(&parts_, upstream_caller_.get(),
                                         peer_caller_.get());
  at_most_once_runner_ = std::make_unique<AtMostOnceRunner>(
      &parts_, runner_.get(), peer_caller_.get());
  advisor_ = std::make_unique<EntryAdvisor>(&parts_);
  explainer_ = std::make_unique<Explainer>(&parts_, peer_caller_.get());
  sync_ = std::make_unique<DocumentSync>(&parts_, platform_.store.get(),
                                         peer_caller_.get());
  poller_ = std::make_unique<PlatformPoller>(
      &parts_, cluster_.get(), platform_.instance_list.get(),
      platform_.client_directory.get(), advisor_.get());
  peer_api_ = std::make_unique<PeerApi>(&parts_, runner_.get(),
                                        at_most_once_runner_.get(), sync_.get(),
                                        explainer_.get());
  return cluster_->Start(MakeHooks());
}

Result<void> Node::StartHttp() {
  caller_api_ = std::make_unique<CallerApi>(&parts_, runner_.get(),
                                            at_most_once_runner_.get(),
                                            advisor_.get(), explainer_.get());
  admin_api_ =
      std::make_unique<AdminApi>(&parts_, sync_.get(), advisor_.get(),
                                 explainer_.get(), [this] { BeginDrain(); });
  std::string why;
  http::ServerSettings admin;
  admin.endpoint = EndpointOf(settings_.admin_address);
  admin.max_threads = kAdminThreads;
  admin.max_body_bytes = kAdminBodyBytes;
  admin_server_ = http::Server::Start(admin, admin_api_.get(), &why);
  if (admin_server_ == nullptr) {
    return Fail(ResultCode::kSettingInvalid, "--admin-address: " + why);
  }
  http::ServerSettings caller;
  caller.endpoint = EndpointOf(settings_.caller_address);
  caller.max_threads = static_cast<unsigned>(settings_.caller_threads);
  caller.max_body_bytes = static_cast<size_t>(settings_.max_body_bytes);
  caller.read_timeout = Millis(settings_.read_timeout_ms);
  caller.write_timeout = Millis(settings_.write_timeout_ms);
  caller.certificate_file = settings_.tls_certificate;
  caller.key_file = settings_.tls_key;
  caller_server_ = http::Server::Start(caller, this, &why);
  if (caller_server_ == nullptr) {
    return Fail(ResultCode::kSettingInvalid, "--caller-address: " + why);
  }
  return {};
}

ClusterHooks Node::MakeHooks() {
  ClusterHooks hooks;
  hooks.summarise = [this] { return Summarise(); };
  hooks.document_hash = [this] { return parts_.catalog->DigestHash(); };
  hooks.documents_differ = [this](const InstanceId& member) {
    sync_->OnDifference(member);
  };
  hooks.upstream_leaving = [this](const UpstreamId& upstream, Millis /*age*/) {
    parts_.upstreams->MarkLeaving(upstream, clock_.Now(),
                                  routing::kMinLeavingTime);
  };
  hooks.load_percent = [this] {
    return parts_.workspace_shares->LoadPercent();
  };
  return hooks;
}

membership::RegionSummary Node::Summarise() const {
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
      // The second best: the best one is taken by whoever asks first.
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
  ActiveScope scope(&active_);
  peer_api_->HandleStream(stream);
}

void Node::Handle(http::Exchange* exchange) {
  ActiveScope scope(&active_);
  caller_api_->Handle(exchange);
}

void Node::BeginDrain() {
  if (parts_.draining->exchange(true)) {
    return;
  }
  LogEvent(LogLevel::kInfo, "node", "draining").With("active", active_.load());
  cluster_->SetDraining();
  poller_->PublishEntries();
}

bool Node::AwaitDrained() {
  while (!draining()) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  Instant begin = clock_.Now();
  Instant idle_since = begin;
  Instant limit = begin + Seconds(settings_.drain_limit_s);
  while (clock_.Now() < limit) {
    // A reply is written to its connection after its handler has returned, so
    // the instance has to be idle for a while.
    if (active_.load() != 0) {
      idle_since = clock_.Now();
    }
    if (clock_.Now() - idle_since >= kMinDrain) {
      break;
    }
    std::this_thread::sleep_for(kDrainPoll);
  }
  cluster_->Leave();
  bool finished = active_.load() == 0;
  LogEvent(LogLevel::kInfo, "node", "drained").With("left", active_.load());
  return finished;
}

Node::~Node() {
  // Outer parts first, so that nothing calls into a part that is gone.
  caller_server_.reset();
  admin_server_.reset();
  if (poller_ != nullptr) {
    poller_->Stop();
  }
  if (sync_ != nullptr) {
    sync_->Stop();
  }
  if (cluster_ != nullptr) {
    cluster_->Stop();
  }
  reactor_.Stop();
  peer_server_.reset();
}

}  // namespace basilvalve::gateway
