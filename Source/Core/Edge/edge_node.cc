#include "Core/Edge/edge_node.h"

#include <algorithm>

#include "Core/Common/hash.h"
#include "Core/Common/log.h"
#include "Core/Edge/caller_identity.h"
#include "Core/Edge/heartbeat_codec.h"
#include "Core/Edge/message_serializer.h"

namespace basilvalve::edge {
namespace {

// A connection is closed when sent data stays unacknowledged this long, which
// allows several retransmissions on a lossy link.
constexpr Millis kUnackedTimeout{4000};
// Heartbeats to other regions go to one instance at a time, round robin. The
// gap limits an instance to 40 small datagrams a second for any size of the
// fleet.
constexpr Millis kMinRemoteHeartbeatGap{25};
constexpr Millis kRemoteHeartbeatInterval{400};
// In a large fleet, each dispatcher sends to one dispatcher of another region
// at a time, which passes the heartbeat on within its region.
constexpr Millis kRelayedHeartbeatInterval{1000};
// A change of the desired state arrives at all instances within this time,
// unless it was lost.
constexpr Millis kStateVersionGrace{1200};
// Bounds the size of a datagram.
constexpr size_t kMaxRelayedHeartbeats = 8;
// An older observation is not reported to the region.
constexpr Millis kTimePerTokenReportAge{2000};
constexpr Millis kSweepInterval{500};
// Shorter pauses barely change what is measured of upstreams.
constexpr Millis kMinMeasuredPause{200};
// A timer this late means that the machine or process was stalled.
constexpr Millis kStallThreshold{1000};
// Idle connections are closed this long after a drain began. By then callers
// have learned of it from the instance directory, whose responses expire within
// 2 s.
constexpr Millis kCloseIdleAfter{2500};
// Calls that arrive later and may outlast the grace period are rejected, so
// that callers retry at another instance. The signal to stop may be handled
// late on a busy machine.
constexpr Millis kRejectLongCallsAfter{2500};
// Callers that have not heard of the drain still get answers this long.
constexpr Millis kMinDrainTime{3000};
constexpr Millis kDrainCheckInterval{50};
constexpr Millis kExitMargin{250};
// Time to write the failures of the calls that the end of a drain cuts.
constexpr Millis kLastWritesTime{100};
constexpr Millis kStartupRetryAfter{300};
// Unread requests and unsent responses count as memory of the machine, too.
// 128 KB in flight carry 4 MiB in 0.3 s at a round trip of 10 ms.
constexpr net::StreamBuffers kCallerStreamBuffers{128 * 1024, 128 * 1024};
// How long an instance that is not heard is assumed to accept calls of a
// workspace, if no limit for revocations ends that.
constexpr Millis kSilentUseTime{60'000};

}  // namespace

EdgeNode::EdgeNode(net::EventLoop* loop, EdgeSettings settings,
                   const CallDialect* dialect)
    : loop_(loop),
      settings_(std::move(settings)),
      budgets_(net::ConnectionBudgets::Create(settings_.machine.CallShare())),
      random_(settings_.seed),
      registry_(settings_.self.region),
      placer_(&registry_, this,
              [](void* node, const flow::Upstream& upstream) {
                return static_cast<EdgeNode*>(node)->AllowsSend(upstream);
              }),
      retry_budget_(settings_.retries),
      fleet_(settings_.self),
      dispatchers_(settings_.self, loop->Now()),
      upstream_pool_(loop, settings_.upstream_connections, budgets_),
      peer_pool_(loop, settings_.peer_connections, budgets_),
      notices_(&registry_, &metrics_,
               [this](const UpstreamId& id) { WithdrawUnsent(id); }),
      poison_guard_(loop, &upstream_pool_, &registry_, &fleet_, &metrics_,
                    [this](flow::PromptPartId part) { WithdrawBlocked(part); }),
      quota_guard_(
          &fleet_, &dispatchers_, &metrics_, &random_,
          settings_.revocation_limit.value_or(kSilentUseTime),
          [this](const flow::InstanceRecord& to, const std::string& bytes) {
            if (auto endpoint = net::Endpoint::Parse(to.peer_address)) {
              datagrams_->Send(*endpoint, bytes);
            }
          }),
      hedges_(&components_, settings_.hedge_share),
      connections_(
          loop, &metrics_, budgets_,
          [this](ConnectionSide side, const net::ServerConnection::Ptr& caller,
                 net::ServerRequest request) {
            side == ConnectionSide::kPeer
                ? OnPeerCall(caller, std::move(request))
                : OnCall(caller, std::move(request));
          }),
      heartbeat_timer_(loop),
      sweep_timer_(loop),
      drain_timer_(loop),
      freshness_(loop, &metrics_, settings_.revocation_limit),
      pauses_(kMinMeasuredPause),
      pause_timer_(loop) {
  // Instances that start together and go through the others in the same order
  // would all be heard at the same moments of each round.
  next_remote_ = Hash64(settings_.self.id.value()) % 1024;
  components_.loop = loop;
  components_.dialect = dialect;
  components_.registry = &registry_;
  components_.placer = &placer_;
  components_.retry_budget = &retry_budget_;
  components_.send_limiter = &send_limiter_;
  components_.fleet = &fleet_;
  components_.dispatchers = &dispatchers_;
  components_.on_peer_unreachable = [this] { UpdateDispatchers(); };
  components_.upstream_pool = &upstream_pool_;
  components_.peer_pool = &peer_pool_;
  components_.notices = &notices_;
  components_.poison_guard = &poison_guard_;
  components_.hedges = &hedges_;
  components_.quota_guard = &quota_guard_;
  components_.metrics = &metrics_;
  components_.random = &random_;
  components_.pauses = &pauses_;
  components_.memory = budgets_.memory;
  components_.region_round_trip = settings_.region_round_trip;
}

EdgeNode::~EdgeNode() = default;

Result<std::unique_ptr<EdgeNode>> EdgeNode::Create(net::EventLoop* loop,
                                                   EdgeSettings settings,
                                                   const CallDialect* dialect) {
  std::unique_ptr<EdgeNode> node(
      new EdgeNode(loop, std::move(settings), dialect));
  if (auto error = node->Open()) {
    return tl::make_unexpected(*error);
  }
  return node;
}

std::optional<Error> EdgeNode::Open() {
  auto public_listener = net::Listener::Create(
      loop_, settings_.public_address, kUnackedTimeout,
      [this](auto socket) {
        connections_.Accept(ConnectionSide::kCaller, std::move(socket));
      },
      kCallerStreamBuffers);
  if (!public_listener) {
    return public_listener.error();
  }
  auto peer_listener = net::Listener::Create(
      loop_, settings_.peer_address, kUnackedTimeout, [this](auto socket) {
        connections_.Accept(ConnectionSide::kPeer, std::move(socket));
      });
  if (!peer_listener) {
    return peer_listener.error();
  }
  auto datagrams = net::DatagramSocket::Create(
      loop_, (*peer_listener)->LocalEndpoint(),
      [this](std::string_view bytes) { OnDatagram(bytes); });
  if (!datagrams) {
    return datagrams.error();
  }
  public_listener_ = std::move(*public_listener);
  peer_listener_ = std::move(*peer_listener);
  datagrams_ = std::move(*datagrams);
  SendHeartbeats();
  Sweep();
  WatchPauses();
  return std::nullopt;
}

flow::SendLimits EdgeNode::LimitsOf(const flow::Upstream& upstream) const {
  flow::SendLimits limits;
  limits.stated = upstream.notice->Limit();
  const flow::ServiceTraits* traits =
      state_ ? state_->TraitsOf(upstream.record.service) : nullptr;
  if (upstream.IsCold(loop_->Now()) && traits != nullptr &&
      traits->cold_requests_per_second > 0) {
    limits.cold = flow::CallsPerSecond(traits->cold_requests_per_second);
  }
  return limits;
}

bool EdgeNode::AllowsSend(const flow::Upstream& upstream) {
  Instant now = loop_->Now();
  return send_limiter_.Allows(upstream.record.id, LimitsOf(upstream),
                              dispatchers_.MaySendLimited(upstream.record, now),
                              now);
}

void EdgeNode::SetDesiredState(
    std::shared_ptr<const flow::DesiredState> state) {
  if (state_ && state->version() <= state_->version()) {
    return;
  }
  LogEvent(LogLevel::kInfo, "edge", "desired_state_applied")
      .With("version", static_cast<int64_t>(state->version()))
      .With("routes", static_cast<int64_t>(state->routes().size()));
  metrics_.SetStateVersion(state->version());
  state_ = std::move(state);
  connections_.SetCallerLimits(CallerLimits());
  quota_guard_.OnDesiredState(*state_, loop_->Now());
}

net::ServerLimits EdgeNode::CallerLimits() const {
  if (!state_) {
    return {};
  }
  const flow::IngressLimits& ingress = state_->limits();
  return {ingress.header_bytes, ingress.body_bytes, ingress.header_timeout,
          ingress.idle_timeout};
}

void EdgeNode::RejectRequest(const net::ServerConnection::Ptr& caller,
                             const net::ServerRequest& request, int status,
                             std::string_view reason) {
  bool keep = request.head.keep_alive && !caller->is_closing() && status != 400;
  std::string out = StatusLine(status) + "Content-Length: 0\r\n";
  if (status == 401) {
    out.append("WWW-Authenticate: Bearer\r\n");
  }
  if (status == 503) {
    double seconds =
        is_draining_ ? 0.0
                     : static_cast<double>(kStartupRetryAfter.count()) / 1000;
    out.append("Retry-After: ").append(std::to_string(seconds)).append("\r\n");
  }
  out.append(keep ? "\r\n" : "Connection: close\r\n\r\n");
  metrics_.CountCall("refused", status);
  LogEvent(LogLevel::kInfo, "edge", "call_refused")
      .With("method", request.head.method)
      .With("target", request.head.target)
      .With("status", status)
      .With("reason", reason);
  caller->Write(out);
  caller->EndResponse(keep);
}

void EdgeNode::RefuseOverQuota(const net::ServerConnection::Ptr& caller,
                               const net::ServerRequest& request,
                               Millis retry_after) {
  // Not logged by call: a workspace may send many times its limit.
  metrics_.CountCall("refused", 429);
  bool keep = request.head.keep_alive && !caller->is_closing();
  caller->Write(SerializeFailure(429, retry_after, /*failure=*/std::nullopt,
                                 /*hop_lines=*/{}, keep));
  caller->EndResponse(keep);
}

void EdgeNode::OnCall(const net::ServerConnection::Ptr& caller,
                      net::ServerRequest request) {
  auto params = components_.dialect->ParseCallHead(request.head);
  if (!params) {
    RejectRequest(caller, request, 400, params.error().message);
    return;
  }
  if (!state_) {
    RejectRequest(caller, request, 503, "no desired state received yet");
    return;
  }
  std::string_view path = request.head.target;
  path = path.substr(0, path.find('?'));
  auto route = state_->Match(params->host, path);
  if (!route || route->shares.empty()) {
    RejectRequest(caller, request, 404, "no matching route");
    return;
  }
  CallerIdentity identity =
      IdentifyCaller(*state_, *route, params->key, freshness_.IsFresh());
  if (identity.verdict != IdentityVerdict::kAccepted) {
    bool is_stale = identity.verdict == IdentityVerdict::kStaleState;
    RejectRequest(
        caller, request, is_stale ? 503 : 401,
        is_stale ? "desired state is stale" : "unknown or missing key");
    return;
  }
  CallContext context;
  context.workspace = std::move(identity.workspace);
  context.hides_identity = identity.hides_identity;
  context.service = route->ServiceFor(Hash64(params->id.value()));
  if (const auto* traits = state_->TraitsOf(context.service)) {
    context.traits = *traits;
  }
  context.time_left = params->caller_timeout.value_or(route->timeout);
  Millis longest = route->kind == flow::CallKind::kStream
                       ? context.time_left
                       : std::min(context.time_left, route->timeout);
  if (!AcceptsCall(longest)) {
    RejectRequest(caller, request, 503, "draining");
    return;
  }
  if (auto wait = quota_guard_.Admit(*params, &context, loop_->Now())) {
    RefuseOverQuota(caller, request, *wait);
    return;
  }
  context.target_left = route->target;
  context.state_version = state_->version();
  context.route = std::move(route);
  StartExchange(caller, std::move(request), std::move(*params),
                std::move(context));
}

bool EdgeNode::AcceptsCall(Millis longest) const {
  if (!is_draining_) {
    return true;
  }
  Micros elapsed = loop_->Now() - drain_started_at_;
  return elapsed <= kRejectLongCallsAfter ||
         elapsed + longest <=
             settings_.stop_grace - kExitMargin - kLastWritesTime;
}

void EdgeNode::OnPeerCall(const net::ServerConnection::Ptr& caller,
                          net::ServerRequest request) {
  const std::string* header = request.head.Find(kHopHeader);
  auto hop = header != nullptr ? ParseHopHeader(*header) : std::nullopt;
  auto params = components_.dialect->ParseCallHead(request.head);
  if (!hop || !params) {
    RejectRequest(caller, request, 400, "malformed call from a peer instance");
    return;
  }
  if (!AcceptsCall(hop->time_left)) {
    LogEvent(LogLevel::kInfo, "edge", "call_refused")
        .With("request", params->id.value())
        .With("status", 503)
        .With("reason", "draining");
    HopFailure failure{params->id, Outcome::kNotRun, /*is_unsent=*/true};
    caller->Write(SerializeFailure(503, Millis(0), failure, /*hop_lines=*/{},
                                   /*keep_alive=*/false));
    caller->EndResponse(/*keep_alive=*/false);
    return;
  }
  auto route = std::make_shared<flow::Route>();
  route->name = "forwarded";
  route->kind = hop->kind;
  route->is_resumable = hop->is_resumable;
  // A forwarded call is executed at most once here: the instance that the
  // caller contacted retries it and counts all attempts.
  route->max_attempts = 1;
  route->priority = hop->priority;
  route->timeout = hop->response_time_left;
  route->target = hop->target_left;
  route->event_interval_target = hop->event_interval_target;
  CallContext context;
  context.service = hop->service;
  const auto* traits = state_ ? state_->TraitsOf(hop->service) : nullptr;
  if (traits != nullptr) {
    context.traits = *traits;
  }
  context.time_left = hop->time_left;
  context.target_left = hop->target_left;
  context.is_from_peer = true;
  context.is_last_hop = hop->is_last_hop;
  context.is_resumed = hop->is_resumed;
  context.can_sender_retry = hop->can_sender_retry;
  context.suggested_upstream = hop->suggested_upstream;
  if (!hop->workspace.empty()) {
    auto workspace = std::make_shared<flow::Workspace>();
    workspace->name = hop->workspace;
    workspace->priority = hop->workspace_priority;
    context.workspace = std::move(workspace);
  }
  // The sender has removed the headers already, unless its desired state is
  // older and has no workspaces.
  context.hides_identity = context.workspace != nullptr ||
                           (state_ != nullptr && state_->has_workspaces());
  context.route = std::move(route);
  StartExchange(caller, std::move(request), std::move(*params),
                std::move(context));
}

void EdgeNode::StartExchange(const net::ServerConnection::Ptr& caller,
                             net::ServerRequest request, CallParams params,
                             CallContext context) {
  auto exchange = std::make_shared<Exchange>(
      &components_, caller, std::move(request), std::move(params),
      std::move(context), [this](Exchange* ended) {
        // Deletes the exchange from the loop, because one of its methods is
        // still on the stack.
        auto it = exchanges_.find(ended);
        if (it == exchanges_.end()) {
          return;
        }
        loop_->Post([keep = std::move(it->second)] {});
        exchanges_.erase(it);
      });
  exchanges_[exchange.get()] = exchange;
  exchange->Start();
}

bool EdgeNode::IsStateOutdated() const {
  return state_ != nullptr && region_state_version_ > state_->version() &&
         loop_->Now() - region_state_seen_at_ > kStateVersionGrace;
}

void EdgeNode::SetCatalogPosition(const flow::CatalogPosition& position,
                                  Instant known_at) {
  catalog_position_ = position;
  catalog_confirmed_at_ = known_at;
}

void EdgeNode::OnStateConfirmed(Instant known_at) {
  if (state_ != nullptr && region_state_version_ <= state_->version()) {
    freshness_.OnConfirmed(known_at);
  }
}

void EdgeNode::BroadcastCatalogChanges(const CatalogChanges& changes) {
  std::string bytes = EncodeCatalogChanges(changes);
  for (const flow::InstanceRecord& record : fleet_.OtherInstances()) {
    auto endpoint = net::Endpoint::Parse(record.peer_address);
    if (endpoint && record.region == settings_.self.region) {
      datagrams_->Send(*endpoint, bytes);
    }
  }
}

void EdgeNode::OnDatagram(std::string_view bytes) {
  freshness_.OnDatagram();
  if (IsCatalogDatagram(bytes)) {
    auto changes = DecodeCatalogChanges(bytes);
    if (changes && catalog_handlers_.on_changes) {
      catalog_handlers_.on_changes(*changes);
    }
    return;
  }
  auto use = IsUseDatagram(bytes) ? DecodeUseReport(bytes) : std::nullopt;
  if (use) {
    quota_guard_.OnFollowerReport(*use, loop_->Now());
    return;
  }
  auto heartbeat = DecodeHeartbeat(bytes);
  if (!heartbeat) {
    metrics_.CountInvalidDatagram();
    LogEvent(LogLevel::kWarn, "heartbeat", "invalid_datagram")
        .With("bytes", static_cast<int64_t>(bytes.size()));
    return;
  }
  if (!fleet_.OnHeartbeat(*heartbeat, loop_->Now())) {
    return;
  }
  poison_guard_.OnReport(heartbeat->poison);
  quota_guard_.OnHeartbeat(*heartbeat, loop_->Now());
  if (heartbeat->from.region != settings_.self.region) {
    if (heartbeat->is_for_relay &&
        relayed_heartbeats_.size() < kMaxRelayedHeartbeats) {
      relayed_heartbeats_.emplace_back(bytes);
    }
    return;
  }
  for (const std::string& relayed : heartbeat->relayed) {
    auto inner = DecodeHeartbeat(relayed);
    // Only a heartbeat of another region is relayed.
    if (inner && inner->from.region != settings_.self.region &&
        fleet_.OnHeartbeat(*inner, loop_->Now())) {
      poison_guard_.OnReport(inner->poison);
      quota_guard_.OnHeartbeat(*inner, loop_->Now());
    }
  }
  if (heartbeat->state_version > region_state_version_) {
    region_state_version_ = heartbeat->state_version;
    region_state_seen_at_ = loop_->Now();
  }
  if (heartbeat->catalog_position.revision > 0 &&
      catalog_handlers_.on_confirmed && !freshness_.MayDatagramsBeOld()) {
    catalog_handlers_.on_confirmed(heartbeat->catalog_position,
                                   loop_->Now() - heartbeat->catalog_age);
  }
  ApplyHeartbeat(*heartbeat);
}

void EdgeNode::ApplyHeartbeat(const flow::Heartbeat& heartbeat) {
  Instant now = loop_->Now();
  bool is_follower = dispatchers_.is_exclusive() && !dispatchers_.IsMember();
  for (const auto& [id, upstream] : registry_.all()) {
    auto it = heartbeat.upstreams.find(flow::ShortIdOf(id));
    if (it == heartbeat.upstreams.end()) {
      upstream->neighbour_loads.erase(heartbeat.from.id);
      continue;
    }
    upstream->OnReport(heartbeat.from.id, it->second.load,
                       it->second.is_accepting, now);
    if (dispatchers_.is_exclusive() && it->second.time_per_token_us > 0 &&
        !dispatchers_.Owns(upstream->record)) {
      upstream->time_per_token_us = it->second.time_per_token_us;
      upstream->time_per_token_at = now;
    }
  }
  notices_.OnReports(heartbeat.leaving, now);
  notices_.OnReports(heartbeat.limits, now);
  // Where only dispatchers send heartbeats, each instance keeps to its own
  // share, because the others would not learn of its hedges.
  if (!dispatchers_.is_exclusive()) {
    hedges_.budget().OnReport(heartbeat.from.id, heartbeat.from.incarnation,
                              heartbeat.hedges, now);
  }
  for (const flow::PromptCacheUpdate& update : heartbeat.cache_updates) {
    registry_.OnNeighbourCacheUpdate(update, MemoryTokensOf(update.upstream));
  }
  if (is_follower) {
    for (const auto& [service, capacity] : heartbeat.service_capacities) {
      registry_.AdoptSpeeds(service, capacity.prefill_tokens_per_ms,
                            capacity.time_per_token_us);
    }
  }
}

uint64_t EdgeNode::MemoryTokensOf(flow::UpstreamShortId short_id) const {
  auto upstream = registry_.Find(short_id);
  const flow::ServiceTraits* traits =
      upstream && state_ ? state_->TraitsOf(upstream->record.service) : nullptr;
  return traits != nullptr ? traits->memory_tokens : 0;
}

bool EdgeNode::ReportsUpstream(const flow::Upstream& upstream) const {
  return upstream.own_load.running > 0 ||
         (dispatchers_.is_exclusive() && dispatchers_.Owns(upstream.record));
}

flow::Heartbeat EdgeNode::MakeHeartbeat(bool is_for_region) {
  Instant now = loop_->Now();
  flow::Heartbeat heartbeat;
  heartbeat.from = fleet_.self();
  heartbeat.sequence = ++heartbeat_sequence_;
  heartbeat.state_version = state_ ? state_->version() : 0;
  heartbeat.poison = poison_guard_.MakeReport();
  heartbeat.use = quota_guard_.Report(now);
  if (is_for_region) {
    heartbeat.cache_updates = registry_.TakeCacheUpdates();
    if (dispatchers_.is_exclusive()) {
      // Only the owner of an upstream needs to know its cache.
      heartbeat.cache_updates.clear();
    }
    heartbeat.leaving = notices_.Reports(now);
    heartbeat.limits = notices_.LimitReports(now);
    heartbeat.hedges = hedges_.budget().MakeReport(now);
    heartbeat.relayed = std::exchange(relayed_heartbeats_, {});
    if (dispatchers_.has_catalog_readers() && dispatchers_.IsCatalogReader()) {
      heartbeat.catalog_position = catalog_position_;
      heartbeat.catalog_age =
          std::chrono::ceil<Millis>(now - catalog_confirmed_at_);
    }
  }
  std::map<ServiceName, double> queued_prefill_tokens;
  std::map<ServiceName, uint32_t> observed_upstreams;
  for (const auto& [id, upstream] : registry_.all()) {
    bool is_accepting = registry_.CanSendTo(*upstream, now);
    double slowness = upstream->slowness.At(now);
    if (is_for_region && ReportsUpstream(*upstream)) {
      bool is_observed =
          now - upstream->time_per_token_at < kTimePerTokenReportAge;
      heartbeat.upstreams[flow::ShortIdOf(id)] = {
          upstream->own_load,
          is_observed ? upstream->time_per_token_us * slowness : 0,
          is_accepting};
    }
    if (!is_accepting || upstream->IsCold(now) || upstream->IsLimited()) {
      continue;
    }
    const ServiceName& service = upstream->record.service;
    flow::ServiceCapacity& capacity = heartbeat.service_capacities[service];
    queued_prefill_tokens[service] +=
        slowness *
        static_cast<double>(registry_.LoadOf(*upstream, now).prefill_tokens);
    capacity.time_per_token_us +=
        registry_.ReportedTimePerTokenUs(*upstream, now) * slowness;
    if (registry_.PlainSlotTimeOf(service, now) > Micros::zero()) {
      capacity.wait += registry_.PredictPlain(*upstream, now).finish;
    }
    observed_upstreams[service] += upstream->time_per_token_us > 0 ? 1 : 0;
    capacity.failure_rate += upstream->failures.At(now);
    ++capacity.upstreams;
  }
  for (auto& [service, capacity] : heartbeat.service_capacities) {
    capacity.prefill_tokens_per_ms =
        registry_.ReportedPrefillSpeed(service, now);
    capacity.time_per_token_us /= std::max(1U, observed_upstreams[service]);
    capacity.failure_rate /= capacity.upstreams;
    capacity.wait /= capacity.upstreams;
    capacity.wait += Micros(static_cast<int64_t>(
        queued_prefill_tokens[service] / capacity.upstreams /
        capacity.prefill_tokens_per_ms * 1000));
  }
  return heartbeat;
}

void EdgeNode::UpdateDispatchers() {
  Instant now = loop_->Now();
  bool was_member = dispatchers_.IsMember();
  dispatchers_.SetMembers(fleet_.RoutableInstances(settings_.self.region, now));
  std::set<InstanceId> senders;
  if (dispatchers_.is_exclusive()) {
    for (const flow::InstanceRecord& record : dispatchers_.dispatchers()) {
      senders.insert(record.id);
    }
  } else {
    for (const flow::InstanceRecord& record : fleet_.OtherInstances()) {
      senders.insert(record.id);
    }
  }
  fleet_.SetExpectedSenders(senders, now);
  ClearForwardedLoad();
  if (dispatchers_.IsMember() != was_member && dispatchers_.is_exclusive()) {
    LogEvent(LogLevel::kInfo, "heartbeat", "dispatcher_role_changed")
        .With("is_dispatcher", dispatchers_.IsMember() ? "yes" : "no")
        .With("dispatchers",
              static_cast<int64_t>(dispatchers_.dispatchers().size()));
  }
}

void EdgeNode::ClearForwardedLoad() {
  for (const auto& [id, upstream] : registry_.all()) {
    bool is_reported =
        dispatchers_.is_exclusive() && !dispatchers_.Owns(upstream->record);
    if (!is_reported) {
      upstream->forwarded_load = flow::LoadShare();
    }
  }
}

void EdgeNode::SendHeartbeats() {
  UpdateDispatchers();
  std::vector<flow::InstanceRecord> others = fleet_.OtherInstances();
  // A drain is announced even by an instance that sends no other heartbeats.
  if (IsExpectedSender() || is_draining_) {
    SendRegionHeartbeats(others);
    SendRemoteHeartbeats(others);
  }
  auto neighbours = static_cast<size_t>(
      std::count_if(others.begin(), others.end(), [&](const auto& record) {
        return record.region == settings_.self.region;
      }));
  heartbeat_timer_.Set(dispatchers_.is_exclusive()
                           ? flow::kDispatcherHeartbeatInterval
                           : flow::DirectHeartbeatInterval(neighbours),
                       [this] { SendHeartbeats(); });
}

void EdgeNode::SendRegionHeartbeats(
    const std::vector<flow::InstanceRecord>& others) {
  std::string bytes;
  for (const flow::InstanceRecord& record : others) {
    auto endpoint = net::Endpoint::Parse(record.peer_address);
    if (!endpoint || record.region != settings_.self.region) {
      continue;
    }
    if (bytes.empty()) {
      bytes = EncodeHeartbeat(MakeHeartbeat(/*is_for_region=*/true));
    }
    datagrams_->Send(*endpoint, bytes);
  }
}

void EdgeNode::SendRemoteHeartbeats(
    const std::vector<flow::InstanceRecord>& others) {
  Instant now = loop_->Now();
  std::map<RegionId, std::vector<flow::InstanceRecord>> by_region;
  for (const flow::InstanceRecord& record : others) {
    if (record.region != settings_.self.region) {
      by_region[record.region].push_back(record);
    }
  }
  std::vector<flow::InstanceRecord> direct;
  for (auto& [region, members] : by_region) {
    size_t n = members.size();
    std::vector<flow::InstanceRecord> targets =
        flow::DispatcherSet::Select(std::move(members));
    if (targets.size() == n && !dispatchers_.is_exclusive()) {
      direct.insert(direct.end(), targets.begin(), targets.end());
      continue;
    }
    Instant& last = last_relayed_heartbeat_at_[region];
    if (now - last >= kRelayedHeartbeatInterval) {
      last = now;
      flow::Heartbeat heartbeat = MakeHeartbeat(/*is_for_region=*/false);
      heartbeat.is_for_relay = true;
      SendRemoteHeartbeat(targets[random_.Below(targets.size())],
                          EncodeHeartbeat(heartbeat));
    }
  }
  if (direct.empty()) {
    return;
  }
  // Send as many as have become due since the last round, round robin.
  Micros gap = std::max<Micros>(
      kMinRemoteHeartbeatGap,
      Micros(kRemoteHeartbeatInterval) / static_cast<int64_t>(direct.size()));
  auto due = static_cast<size_t>((now - last_remote_heartbeat_at_) / gap);
  due = std::min(due, direct.size());
  if (due == 0) {
    return;
  }
  last_remote_heartbeat_at_ = now;
  std::string bytes = EncodeHeartbeat(MakeHeartbeat(/*is_for_region=*/false));
  for (size_t i = 0; i < due; ++i) {
    SendRemoteHeartbeat(direct[next_remote_++ % direct.size()], bytes);
  }
}

void EdgeNode::SendRemoteHeartbeat(const flow::InstanceRecord& to,
                                   const std::string& bytes) {
  auto endpoint = net::Endpoint::Parse(to.peer_address);
  if (endpoint) {
    datagrams_->Send(*endpoint, bytes);
    metrics_.CountCrossRegionBytes(bytes.size());
  }
}

void EdgeNode::WatchPauses() {
  pauses_.OnTick(loop_->Now());
  pause_timer_.Set(flow::PauseDetector::kTickInterval,
                   [this] { WatchPauses(); });
}

void EdgeNode::LogStall() {
  Instant now = loop_->Now();
  Micros delay = now - last_sweep_at_ - kSweepInterval;
  if (last_sweep_at_ != Instant() && delay > kStallThreshold) {
    LogEvent(LogLevel::kWarn, "edge", "event_loop_stalled")
        .With("stalled_ms", std::chrono::floor<Millis>(delay).count())
        .With("calls", static_cast<int64_t>(exchanges_.size()));
  }
  last_sweep_at_ = now;
}

void EdgeNode::LogUnresponsiveInstances() {
  std::set<InstanceId> unresponsive =
      fleet_.UnresponsiveInstances(loop_->Now());
  for (const InstanceId& id : unresponsive) {
    if (!unresponsive_instances_.contains(id)) {
      LogEvent(LogLevel::kInfo, "heartbeat", "instance_unresponsive")
          .With("instance", id.value());
    }
  }
  for (const InstanceId& id : unresponsive_instances_) {
    if (!unresponsive.contains(id)) {
      LogEvent(LogLevel::kInfo, "heartbeat", "instance_recovered_or_removed")
          .With("instance", id.value());
    }
  }
  unresponsive_instances_ = std::move(unresponsive);
}

void EdgeNode::Sweep() {
  LogStall();
  LogUnresponsiveInstances();
  upstream_pool_.Sweep();
  peer_pool_.Sweep();
  fleet_.Sweep(loop_->Now());
  send_limiter_.Sweep(loop_->Now());
  hedges_.budget().Sweep(loop_->Now());
  for (const auto& [id, upstream] : registry_.all()) {
    // Also without calls, the limiter learns of owners and limits that change.
    AllowsSend(*upstream);
  }
  registry_.Sweep(loop_->Now());
  for (const auto& [service, speed] : registry_.Speeds(loop_->Now())) {
    metrics_.SetServiceSpeed(service.value(), speed.service_time,
                             speed.highest_slowness);
    if (speed.time_per_token_us > 0) {
      metrics_.SetModelSpeed(service.value(), speed.time_per_token_us,
                             speed.prefill_tokens_per_ms);
    }
  }
  quota_guard_.Sweep(loop_->Now());
  metrics_.SetConnectionsOpened(upstream_pool_.opened(), peer_pool_.opened());
  size_t requests = budgets_.memory->used_by_callers();
  metrics_.SetResources(requests, budgets_.memory->used() - requests,
                        connections_.callers(),
                        budgets_.connections->used() - connections_.callers());
  sweep_timer_.Set(kSweepInterval, [this] { Sweep(); });
}

void EdgeNode::WithdrawBlocked(flow::PromptPartId part) {
  for (const auto& [key, exchange] : exchanges_) {
    if (exchange->IsWaitingWith(part)) {
      // Posted, as it ends the exchange.
      loop_->Post([weak = std::weak_ptr(exchange), part] {
        if (auto self = weak.lock()) {
          self->WithdrawBlocked(part);
        }
      });
    }
  }
}

void EdgeNode::WithdrawUnsent(const UpstreamId& id) {
  auto upstream = registry_.Find(id);
  if (!upstream) {
    return;
  }
  for (const auto& [key, exchange] : exchanges_) {
    if (exchange->IsUnsentTo(*upstream)) {
      // Posted, as it may start or end other exchanges.
      loop_->Post([weak = std::weak_ptr(exchange), upstream] {
        if (auto self = weak.lock()) {
          self->WithdrawUnsent(*upstream);
        }
      });
    }
  }
}

std::vector<std::string> EdgeNode::PublicAddressesFor(const RegionId& region,
                                                      std::string_view host) {
  Instant now = loop_->Now();
  std::vector<std::string> addresses;
  auto add = [&](const std::vector<flow::InstanceRecord>& records) {
    for (const flow::InstanceRecord& record : records) {
      addresses.push_back(record.public_address);
    }
  };
  add(fleet_.RoutableInstances(region, now));
  if (!addresses.empty()) {
    // A reader may take only the first of them.
    for (size_t i = addresses.size() - 1; i > 0; --i) {
      std::swap(addresses[i], addresses[random_.Below(i + 1)]);
    }
    return addresses;
  }
  std::set<RegionId> others{settings_.self.region};
  for (const flow::InstanceRecord& record : fleet_.OtherInstances()) {
    others.insert(record.region);
  }
  for (const RegionId& other : others) {
    if (!state_ || state_->HostPermits(host, other)) {
      add(fleet_.RoutableInstances(other, now));
    }
  }
  if (!addresses.empty()) {
    return addresses;
  }
  // No permitted region has an available instance: return this region's
  // draining instances, which still accept calls for a while.
  add(fleet_.LiveInstances(region, now));
  if (region == settings_.self.region) {
    addresses.push_back(settings_.self.public_address);
  }
  return addresses;
}

void EdgeNode::BeginDrain(std::function<void()> done) {
  if (is_draining_) {
    return;
  }
  is_draining_ = true;
  drain_started_at_ = loop_->Now();
  on_drained_ = std::move(done);
  fleet_.SetDraining();
  LogEvent(LogLevel::kInfo, "edge", "drain_began")
      .With("calls", static_cast<int64_t>(exchanges_.size()))
      .With("connections", static_cast<int64_t>(connections_.size()));
  connections_.AnnounceClose();
  SendHeartbeats();
  CheckDrained();
}

void EdgeNode::EndCalls() {
  // A call that ends removes itself.
  std::vector<std::shared_ptr<Exchange>> calls;
  for (const auto& [raw, exchange] : exchanges_) {
    calls.push_back(exchange);
  }
  calls_aborted_ += calls.size();
  for (const auto& it : calls) {
    it->EndForShutdown();
  }
}

void EdgeNode::CheckDrained() {
  Micros elapsed = loop_->Now() - drain_started_at_;
  if (elapsed >= kCloseIdleAfter && !idle_connections_closed_) {
    idle_connections_closed_ = true;
    connections_.CloseIdle();
  }
  Micros limit = settings_.stop_grace - kExitMargin;
  if (elapsed >= limit - kLastWritesTime) {
    EndCalls();
  }
  bool is_over =
      elapsed >= limit || (elapsed >= kMinDrainTime && exchanges_.empty() &&
                           !connections_.HasUnfinishedWork());
  if (is_over) {
    LogEvent(LogLevel::kInfo, "edge", "drain_ended")
        .With("calls_aborted", static_cast<int64_t>(calls_aborted_))
        .With("unwritten_bytes",
              static_cast<int64_t>(connections_.UnwrittenBytes()))
        .With("took_ms", std::chrono::floor<Millis>(elapsed).count());
    on_drained_();
    return;
  }
  drain_timer_.Set(kDrainCheckInterval, [this] { CheckDrained(); });
}

}  // namespace basilvalve::edge
