#include "Core/Edge/edge_node.h"

#include "Core/Common/hash.h"
#include "Core/Common/log.h"
#include "Core/Edge/heartbeat_codec.h"

namespace basilvalve::edge {
namespace {

// Data to a caller or instance that stays unacknowledged this long breaks its
// connection: some retransmissions on a link that loses packets.
constexpr Millis kDeadAfter{4000};
// Beats within the region: each neighbour adds to the interval, so that the
// bytes of an instance do not grow with the square of the region.
constexpr Millis kNearInterval{150};
constexpr Millis kNearIntervalPerNeighbour{30};
// Beats to other regions go to one instance at a time, in turn: this bounds an
// instance to 40 small datagrams a second at any size of the fleet.
constexpr Millis kFarGap{25};
constexpr Millis kFarInterval{400};
constexpr Millis kSweepInterval{500};
// A timer that comes this late means that the machine stood still.
constexpr Millis kStall{1000};
// After the request to stop: callers have heard of it from the directory
// (answers live at most 2 s), then idle connections are closed.
constexpr Millis kCloseIdleAfter{2500};
// Later calls may outlast the grace; they are sent elsewhere.
constexpr Millis kRefuseAfter{3000};
constexpr Millis kDrainCheck{50};
constexpr Millis kExitMargin{250};
constexpr Millis kStartRetryAfter{300};

net::ServerLimits PeerLimits() {
  net::ServerLimits limits;
  // Another instance has checked the caller's limits.
  limits.header_bytes = 64 * 1024;
  limits.body_bytes = 64ULL * 1024 * 1024;
  limits.idle_timeout = Seconds(60);
  return limits;
}

}  // namespace

EdgeNode::EdgeNode(net::EventLoop* loop, EdgeSettings settings,
                   const CallDialect* dialect)
    : loop_(loop),
      settings_(std::move(settings)),
      random_(settings_.seed),
      registry_(settings_.self.region),
      placer_(&registry_, this, &EdgeNode::ColdGateThunk),
      allowance_(settings_.retries),
      cold_gate_(settings_.self.id),
      fleet_(settings_.self),
      upstream_pool_(loop, settings_.upstream_connections),
      peer_pool_(loop, settings_.peer_connections),
      beat_timer_(loop),
      sweep_timer_(loop),
      drain_timer_(loop) {
  parts_.loop = loop;
  parts_.dialect = dialect;
  parts_.registry = &registry_;
  parts_.placer = &placer_;
  parts_.allowance = &allowance_;
  parts_.cold_gate = &cold_gate_;
  parts_.fleet = &fleet_;
  parts_.upstream_pool = &upstream_pool_;
  parts_.peer_pool = &peer_pool_;
  parts_.metrics = &metrics_;
  parts_.random = &random_;
  parts_.region_round_trip = settings_.region_round_trip;
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
  auto front = net::Listener::Create(
      loop_, settings_.front, kDeadAfter,
      [this](auto socket) { Accept(std::move(socket), /*is_peer=*/false); });
  if (!front) {
    return front.error();
  }
  auto peer = net::Listener::Create(
      loop_, settings_.peer, kDeadAfter,
      [this](auto socket) { Accept(std::move(socket), /*is_peer=*/true); });
  if (!peer) {
    return peer.error();
  }
  auto datagrams = net::DatagramSocket::Create(
      loop_, (*peer)->LocalEndpoint(),
      [this](std::string_view bytes) { OnDatagram(bytes); });
  if (!datagrams) {
    return datagrams.error();
  }
  front_ = std::move(*front);
  peer_ = std::move(*peer);
  datagrams_ = std::move(*datagrams);
  SendBeats();
  Sweep();
  return std::nullopt;
}

bool EdgeNode::ColdGateThunk(void* context, const flow::Upstream& upstream) {
  auto* node = static_cast<EdgeNode*>(context);
  const flow::ServiceTraits* traits =
      node->state_ ? node->state_->TraitsOf(upstream.record.service) : nullptr;
  return traits == nullptr ||
         node->cold_gate_.Allows(upstream.record.id,
                                 traits->cold_requests_per_second,
                                 node->loop_->Now());
}

void EdgeNode::SetDesiredState(
    std::shared_ptr<const flow::DesiredState> state) {
  if (state_ && state->version() <= state_->version()) {
    return;
  }
  LogEvent(LogLevel::kInfo, "edge", "state_in_force")
      .With("version", static_cast<int64_t>(state->version()))
      .With("routes", static_cast<int64_t>(state->routes().size()));
  metrics_.SetStateVersion(state->version());
  state_ = std::move(state);
}

void EdgeNode::Accept(std::unique_ptr<net::Socket> socket, bool is_peer) {
  net::ServerLimits limits;
  if (is_peer) {
    limits = PeerLimits();
  } else if (state_) {
    const flow::IngressLimits& ingress = state_->limits();
    limits = {ingress.header_bytes, ingress.body_bytes, ingress.header_timeout,
              ingress.idle_timeout};
  }
  auto on_request = [this, is_peer](const net::ServerConnection::Ptr& caller,
                                    net::ServerRequest request) {
    is_peer ? OnPeerCall(caller, std::move(request))
            : OnCall(caller, std::move(request));
  };
  auto connection = std::make_shared<net::ServerConnection>(
      loop_, std::move(socket), limits, on_request,
      [this](net::ServerConnection* ended) { connections_.erase(ended); });
  connections_[connection.get()] = connection;
  connection->Start();
  if (is_draining_ && !is_peer) {
    connection->SetClosing();
  }
}

void EdgeNode::Refuse(const net::ServerConnection::Ptr& caller,
                      const net::ServerRequest& request, int status,
                      std::string_view why) {
  bool keep = request.head.keep_alive && !caller->closing() && status != 400;
  std::string out = "HTTP/1.1 " + std::to_string(status) +
                    " Refused\r\nContent-Length: 0\r\n";
  if (status == 503) {
    double seconds = is_draining_
                         ? 0.0
                         : static_cast<double>(kStartRetryAfter.count()) / 1000;
    out.append("Retry-After: ").append(std::to_string(seconds)).append("\r\n");
  }
  out.append(keep ? "\r\n" : "Connection: close\r\n\r\n");
  metrics_.CountCall("refused", status);
  LogEvent(LogLevel::kInfo, "edge", "call_refused")
      .With("method", request.head.method)
      .With("target", request.head.target)
      .With("status", status)
      .With("why", why);
  caller->Write(out);
  caller->EndAnswer(keep);
}

void EdgeNode::OnCall(const net::ServerConnection::Ptr& caller,
                      net::ServerRequest request) {
  auto terms = parts_.dialect->ParseCallHead(request.head);
  if (!terms) {
    Refuse(caller, request, 400, terms.error().message);
    return;
  }
  if (!state_) {
    Refuse(caller, request, 503, "no desired state yet");
    return;
  }
  if (is_draining_ && loop_->Now() - drain_began_ > kRefuseAfter) {
    Refuse(caller, request, 503, "draining");
    return;
  }
  std::string_view path = request.head.target;
  path = path.substr(0, path.find('?'));
  auto route = state_->Match(terms->host, path);
  if (!route || route->shares.empty()) {
    Refuse(caller, request, 404, "no route");
    return;
  }
  CallContract contract;
  contract.service = route->ServiceFor(Hash64(terms->id.value()));
  if (const auto* traits = state_->TraitsOf(contract.service)) {
    contract.traits = *traits;
  }
  contract.time_left = terms->caller_timeout.value_or(route->timeout);
  contract.target_left = route->target;
  contract.state_version = state_->version();
  contract.route = std::move(route);
  Begin(caller, std::move(request), std::move(*terms), std::move(contract));
}

void EdgeNode::OnPeerCall(const net::ServerConnection::Ptr& caller,
                          net::ServerRequest request) {
  const std::string* header = request.head.Find(kHopHeader);
  auto hop = header != nullptr ? ParseHopHeader(*header) : std::nullopt;
  auto terms = parts_.dialect->ParseCallHead(request.head);
  if (!hop || !terms) {
    Refuse(caller, request, 400, "no call between instances");
    return;
  }
  auto route = std::make_shared<flow::Route>();
  route->name = "passed-on";
  route->kind = hop->kind;
  route->is_resumable = hop->is_resumable;
  // One run for each time it is passed on: the instance that the caller asked
  // keeps the account of all runs.
  route->max_attempts = 1;
  route->priority = hop->priority;
  route->timeout = hop->answer_left;
  route->target = hop->target_left;
  route->pause_target = hop->pause_target;
  CallContract contract;
  contract.service = hop->service;
  const auto* traits = state_ ? state_->TraitsOf(hop->service) : nullptr;
  if (traits != nullptr) {
    contract.traits = *traits;
  }
  contract.time_left = hop->time_left;
  contract.target_left = hop->target_left;
  contract.is_from_peer = true;
  contract.route = std::move(route);
  Begin(caller, std::move(request), std::move(*terms), std::move(contract));
}

void EdgeNode::Begin(const net::ServerConnection::Ptr& caller,
                     net::ServerRequest request, CallParams terms,
                     CallContract contract) {
  auto exchange = std::make_shared<Exchange>(
      &parts_, caller, std::move(request), std::move(terms),
      std::move(contract), [this](Exchange* ended) {
        // From the loop: the call is still on its own stack.
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

void EdgeNode::OnDatagram(std::string_view bytes) {
  Instant now = loop_->Now();
  auto beat = DecodeHeartbeat(bytes);
  if (!beat) {
    metrics_.CountBadBeat();
    LogEvent(LogLevel::kWarn, "fleet", "bad_datagram")
        .With("bytes", static_cast<int64_t>(bytes.size()));
    return;
  }
  if (!fleet_.OnHeartbeat(*beat, now) ||
      beat->from.region != settings_.self.region) {
    return;
  }
  for (const auto& [id, upstream] : registry_.all()) {
    auto it = beat->loads.find(flow::ShortIdOf(id));
    if (it == beat->loads.end()) {
      upstream->neighbour_loads.erase(beat->from.id);
    } else {
      upstream->neighbour_loads[beat->from.id] = {it->second, now};
    }
  }
  for (const flow::PromptCacheUpdate& cache_updates : beat->cache_updates) {
    registry_.OnNeighbourCacheUpdate(cache_updates,
                                     MemoryTokensOf(cache_updates.upstream));
  }
}

uint64_t EdgeNode::MemoryTokensOf(flow::UpstreamShortId tag) const {
  auto upstream = registry_.Find(tag);
  const flow::ServiceTraits* traits =
      upstream && state_ ? state_->TraitsOf(upstream->record.service) : nullptr;
  return traits != nullptr ? traits->memory_tokens : 0;
}

flow::Heartbeat EdgeNode::MakeBeat(bool with_loads) {
  Instant now = loop_->Now();
  flow::Heartbeat beat;
  beat.from = fleet_.self();
  beat.sequence = ++beat_sequence_;
  beat.state_version = state_ ? state_->version() : 0;
  std::map<ServiceName, double> unread;
  if (with_loads) {
    beat.cache_updates = registry_.TakeCacheUpdates();
  }
  for (const auto& [id, upstream] : registry_.all()) {
    if (with_loads && upstream->own_load.running > 0) {
      beat.loads[flow::ShortIdOf(id)] = upstream->own_load;
    }
    if (!registry_.CanSendTo(*upstream, now) || upstream->IsCold(now)) {
      continue;
    }
    flow::ServiceCapacity& room =
        beat.service_capacities[upstream->record.service];
    unread[upstream->record.service] +=
        static_cast<double>(registry_.LoadOf(*upstream, now).prefill_tokens);
    room.time_per_token_us += upstream->time_per_token_us;
    room.failure_rate += upstream->failures.At(now);
    ++room.upstreams;
  }
  for (auto& [service, room] : beat.service_capacities) {
    room.prefill_tokens_per_ms =
        registry_.ProfileOf(service).prefill_tokens_per_ms;
    room.time_per_token_us /= room.upstreams;
    room.failure_rate /= room.upstreams;
    room.wait = Micros(static_cast<int64_t>(unread[service] / room.upstreams /
                                            room.prefill_tokens_per_ms * 1000));
  }
  return beat;
}

void EdgeNode::SendBeats() {
  Instant now = loop_->Now();
  std::vector<flow::InstanceRecord> others = fleet_.OtherInstances();
  std::vector<flow::InstanceRecord> far;
  std::vector<InstanceId> near_live;
  std::string near_bytes;
  size_t near = 0;
  for (const flow::InstanceRecord& record : others) {
    auto endpoint = net::Endpoint::Parse(record.peer);
    if (!endpoint) {
      continue;
    }
    if (record.region != settings_.self.region) {
      far.push_back(record);
      continue;
    }
    ++near;
    if (near_bytes.empty()) {
      near_bytes = EncodeHeartbeat(MakeBeat(/*with_loads=*/true));
    }
    datagrams_->Send(*endpoint, near_bytes);
  }
  for (const flow::InstanceRecord& record :
       fleet_.LiveInstances(settings_.self.region, now)) {
    near_live.push_back(record.id);
  }
  cold_gate_.SetNeighbours(std::move(near_live));
  Millis interval =
      kNearInterval + kNearIntervalPerNeighbour * static_cast<int64_t>(near);
  if (!far.empty()) {
    // As many as are due since the last round, each in its turn.
    Micros gap = std::max<Micros>(
        kFarGap, Micros(kFarInterval) / static_cast<int64_t>(far.size()));
    auto due = static_cast<size_t>((now - far_sent_at_) / gap);
    due = std::min(due, far.size());
    std::string bytes =
        due > 0 ? EncodeHeartbeat(MakeBeat(/*with_loads=*/false)) : "";
    for (size_t i = 0; i < due; ++i) {
      auto endpoint = net::Endpoint::Parse(far[far_turn_++ % far.size()].peer);
      if (endpoint) {
        datagrams_->Send(*endpoint, bytes);
        metrics_.CountRegionBytes(bytes.size());
      }
    }
    if (due > 0) {
      far_sent_at_ = now;
    }
  }
  beat_timer_.Set(interval, [this] { SendBeats(); });
}

void EdgeNode::NoteStall() {
  Instant now = loop_->Now();
  Micros late = now - swept_at_ - kSweepInterval;
  if (swept_at_ != Instant() && late > kStall) {
    LogEvent(LogLevel::kWarn, "edge", "stood_still")
        .With("for_ms", std::chrono::floor<Millis>(late).count())
        .With("calls", static_cast<int64_t>(exchanges_.size()));
  }
  swept_at_ = now;
}

void EdgeNode::NoteSilence() {
  std::set<InstanceId> silent = fleet_.UnresponsiveInstances(loop_->Now());
  for (const InstanceId& id : silent) {
    if (!silent_.contains(id)) {
      LogEvent(LogLevel::kInfo, "fleet", "instance_silent")
          .With("instance", id.value());
    }
  }
  for (const InstanceId& id : silent_) {
    if (!silent.contains(id)) {
      LogEvent(LogLevel::kInfo, "fleet", "instance_heard_or_gone")
          .With("instance", id.value());
    }
  }
  silent_ = std::move(silent);
}

void EdgeNode::Sweep() {
  NoteStall();
  NoteSilence();
  upstream_pool_.Sweep();
  peer_pool_.Sweep();
  fleet_.Sweep(loop_->Now());
  metrics_.SetConnectionsOpened(upstream_pool_.opened(), peer_pool_.opened());
  sweep_timer_.Set(kSweepInterval, [this] { Sweep(); });
}

std::vector<std::string> EdgeNode::FrontAddressesFor(const RegionId& region,
                                                     std::string_view host) {
  Instant now = loop_->Now();
  std::vector<std::string> addresses;
  auto add = [&](const std::vector<flow::InstanceRecord>& records) {
    for (const flow::InstanceRecord& record : records) {
      addresses.push_back(record.front);
    }
  };
  add(fleet_.RoutableInstances(region, now));
  if (!addresses.empty()) {
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
  // Nobody who may hold the data is left: the region's own that are about to
  // stop still answer.
  add(fleet_.LiveInstances(region, now));
  if (region == settings_.self.region) {
    addresses.push_back(settings_.self.front);
  }
  return addresses;
}

void EdgeNode::BeginDrain(std::function<void()> done) {
  if (is_draining_) {
    return;
  }
  is_draining_ = true;
  drain_began_ = loop_->Now();
  on_drained_ = std::move(done);
  fleet_.SetDraining();
  LogEvent(LogLevel::kInfo, "edge", "drain_began")
      .With("calls", static_cast<int64_t>(exchanges_.size()))
      .With("connections", static_cast<int64_t>(connections_.size()));
  for (const auto& [raw, connection] : connections_) {
    connection->SetClosing();
  }
  SendBeats();
  CheckDrained();
}

void EdgeNode::CheckDrained() {
  Micros since = loop_->Now() - drain_began_;
  if (since >= kCloseIdleAfter && !idle_closed_) {
    idle_closed_ = true;
    std::vector<net::ServerConnection::Ptr> open;
    for (const auto& [raw, connection] : connections_) {
      open.push_back(connection);
    }
    for (const auto& connection : open) {
      connection->CloseWhenIdle();
    }
  }
  bool is_over = since >= settings_.stop_grace - kExitMargin ||
                 (since >= kRefuseAfter && exchanges_.empty());
  if (is_over) {
    LogEvent(LogLevel::kInfo, "edge", "drain_ended")
        .With("calls_cut", static_cast<int64_t>(exchanges_.size()))
        .With("took_ms", std::chrono::floor<Millis>(since).count());
    on_drained_();
    return;
  }
  drain_timer_.Set(kDrainCheck, [this] { CheckDrained(); });
}

}  // namespace basilvalve::edge
