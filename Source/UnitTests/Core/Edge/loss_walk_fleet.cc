#include "UnitTests/Core/Edge/loss_walk_fleet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>

#include "Core/Net/write_buffer.h"

namespace basilvalve::edge {
namespace {

// More instances than send to upstreams directly.
constexpr int kMembers = 40;
constexpr Millis kMemberHeartbeatInterval{300};
constexpr int kCallerBufferBytes = 32 * 1024;
constexpr int kCallerSegmentBytes = 1400;

std::string NextLoopbackAddress() {
  static std::atomic<uint32_t> next = 0;
  constexpr uint32_t kHosts = 250;
  uint32_t n = next++;
  return "127." + std::to_string(1 + getpid() % kHosts) + "." +
         std::to_string(1 + n / kHosts % kHosts) + "." +
         std::to_string(1 + n % kHosts);
}

}  // namespace

// One connection of each side. A side is read only while the other one has
// taken all earlier bytes.
struct Relay::Link : std::enable_shared_from_this<Relay::Link> {
  std::array<std::unique_ptr<net::Socket>, 2> sides;
  std::array<net::WriteBuffer, 2> unwritten;
  net::EventLoop* loop = nullptr;

  void Close() {
    for (auto& side : sides) {
      if (side) {
        side->Close();
      }
    }
  }

  void Copy(size_t from) {
    sides[from]->WaitReadable([weak = weak_from_this(), from] {
      auto self = weak.lock();
      if (!self) {
        return;
      }
      auto buf = self->loop->scratch();
      net::IoResult got = self->sides[from]->Read(buf);
      if (got.status == net::IoStatus::kBlocked) {
        self->Copy(from);
      } else if (got.status != net::IoStatus::kDone) {
        self->Close();
      } else {
        self->unwritten[1 - from].Append({buf.data(), got.bytes});
        self->Write(from);
      }
    });
  }

  void Write(size_t from) {
    net::IoStatus status = unwritten[1 - from].WriteTo(sides[1 - from].get());
    if (status == net::IoStatus::kDone) {
      Copy(from);
    } else if (status == net::IoStatus::kBlocked) {
      sides[1 - from]->WaitWritable([weak = weak_from_this(), from] {
        if (auto self = weak.lock()) {
          self->Write(from);
        }
      });
    } else {
      Close();
    }
  }
};

Relay::Relay(net::EventLoop* loop, const std::string& host) : loop_(loop) {
  auto listener =
      net::Listener::Create(loop, {host, 0}, Millis(2000),
                            [this](std::unique_ptr<net::Socket> accepted) {
                              auto link = std::make_shared<Link>();
                              link->loop = loop_;
                              link->sides[0] = std::move(accepted);
                              links_.push_back(link);
                              link->sides[1] = net::Socket::Connect(
                                  loop_, target_, Millis(2000),
                                  [weak = std::weak_ptr<Link>(link)](bool ok) {
                                    auto self = weak.lock();
                                    if (self && ok) {
                                      self->Copy(0);
                                      self->Copy(1);
                                    } else if (self) {
                                      self->Close();
                                    }
                                  });
                            });
  REQUIRE(listener);
  listener_ = std::move(*listener);
}

Relay::~Relay() = default;

void Relay::CloseAll(bool is_peer_side_first) {
  for (const auto& link : links_) {
    link->sides[is_peer_side_first ? 1 : 0]->Close();
    loop_->Post([link] { link->Close(); });
  }
  links_.clear();
}

void Relay::Stop() {
  listener_ = nullptr;
  CloseAll(/*is_peer_side_first=*/true);
}

WalkCaller::WalkCaller(const net::Endpoint& to)
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  // Small enough that an instance cannot write a large response at once.
  setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &kCallerBufferBytes,
             sizeof(kCallerBufferBytes));
  setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &kCallerSegmentBytes,
             sizeof(kCallerSegmentBytes));
  int no_delay = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(to.port);
  inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
  REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0);
}

WalkCaller::~WalkCaller() { close(fd_); }

void WalkCaller::Send(const std::string& bytes) {
  send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

void WalkCaller::Read() {
  std::array<char, size_t{64} * 1024> buf;
  while (!is_closed_) {
    ssize_t n = recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n > 0) {
      text_.append(buf.data(), static_cast<size_t>(n));
      continue;
    }
    is_closed_ = n == 0 || (errno != EAGAIN && errno != EINTR);
    return;
  }
}

WalkFleet::WalkFleet(Topology arranged, const Script& script)
    : topology(arranged), host(NextLoopbackAddress()) {
  for (const char* id : {"u1", "u2", "w1"}) {
    upstreams[id] = std::make_unique<ScriptedUpstream>(
        &loop, id,
        [script, id](const net::ServerConnection::Ptr& connection,
                     const net::ServerRequest& request) {
          script(id, connection, request);
        },
        host);
  }
  NameMembers();
  entry =
      CreateNode(entry_id_, topology == Topology::kRegion ? "south" : "north");
  if (topology != Topology::kAlone) {
    peer = CreateNode(peer_id_, "north");
    relay.SetTarget(peer->peer_endpoint());
    flow::InstanceRecord record = entry->fleet().self();
    record.peer_address = entry->peer_endpoint().Text();
    peer->fleet().Register(record, loop.Now());
    entry->fleet().Register(peer->fleet().self(), loop.Now());
  }
  ForEachNode([&](EdgeNode* node) {
    if (node->settings().self.region == RegionId("north")) {
      node->registry().ReplaceAll(Records(), loop.Now());
    }
  });
  is_large_ = topology == Topology::kOwner;
  if (is_large_) {
    SendMemberHeartbeats();
  }
  Apply(WalkState());
}

bool WalkFleet::RunUntilPeerIsKnown() {
  return topology != Topology::kRegion ||
         RunUntil(
             [&] {
               return !entry->fleet()
                           .RemoteCapacities(ServiceName("service"), loop.Now())
                           .empty();
             },
             Millis(2000));
}

WalkFleet::~WalkFleet() = default;

std::unique_ptr<EdgeNode> WalkFleet::CreateNode(const std::string& id,
                                                const std::string& region) {
  EdgeSettings settings;
  settings.self.id = InstanceId(id);
  settings.self.region = RegionId(region);
  settings.self.incarnation = 1;
  settings.public_address = {host, 0};
  settings.peer_address = {host, 0};
  if (id == peer_id_) {
    settings.self.data_centre = flow::DataCentreId("zone");
    settings.self.peer_address = relay.endpoint().Text();
  }
  settings.retries = {0.2, 50, Seconds(10)};
  settings.seed = 1;
  auto created = EdgeNode::Create(&loop, settings, &dialect);
  REQUIRE(created);
  return std::move(*created);
}

// Chooses names by which the peer is a dispatcher and the entry is not.
void WalkFleet::NameMembers() {
  if (topology != Topology::kOwner) {
    return;
  }
  for (int i = 0; i < kMembers; ++i) {
    flow::InstanceRecord record;
    record.id = InstanceId("member-" + std::to_string(i));
    record.data_centre = flow::DataCentreId("far");
    record.region = RegionId("north");
    record.peer_address = "127.0.0.1:1";
    record.incarnation = 1;
    members_.push_back(record);
  }
  auto is_dispatcher = [&](const std::string& id) {
    std::vector<flow::InstanceRecord> all = members_;
    all.resize(all.size() + 1);
    all.back().id = InstanceId(id);
    auto selected = flow::DispatcherSet::Select(std::move(all));
    return std::any_of(selected.begin(), selected.end(),
                       [&](const auto& it) { return it.id == InstanceId(id); });
  };
  for (int i = 0; !is_dispatcher(peer_id_); ++i) {
    peer_id_ = "peer-" + std::to_string(i);
  }
  for (int i = 0; is_dispatcher(entry_id_); ++i) {
    entry_id_ = "entry-" + std::to_string(i);
  }
}

void WalkFleet::SendMemberHeartbeats() {
  flow::Heartbeat heartbeat;
  heartbeat.sequence = ++sequence_;
  ForEachNode([&](EdgeNode* node) {
    for (const flow::InstanceRecord& record : members_) {
      heartbeat.from = record;
      heartbeat.from.is_draining = !is_large_;
      node->fleet().Register(record, loop.Now());
      node->fleet().OnHeartbeat(heartbeat, loop.Now());
    }
    node->UpdateDispatchers();
    if (is_large_ && !IsPeerOwner()) {
      // As one of the members that own the upstreams now would report.
      for (const auto& [id, upstream] : node->registry().all()) {
        upstream->OnReport(members_[0].id, {}, /*is_accepting=*/true,
                           loop.Now());
      }
    }
  });
  member_timer_.Set(kMemberHeartbeatInterval,
                    [this] { SendMemberHeartbeats(); });
}

void WalkFleet::ForEachNode(const std::function<void(EdgeNode*)>& fn) const {
  for (EdgeNode* node : {entry.get(), peer.get()}) {
    if (node != nullptr) {
      fn(node);
    }
  }
}

std::vector<flow::UpstreamRecord> WalkFleet::Records() const {
  std::vector<flow::UpstreamRecord> records;
  for (const auto& [id, upstream] : upstreams) {
    records.push_back(
        upstream->Record(ServiceName(id == "w1" ? "other" : "service")));
  }
  return records;
}

void WalkFleet::Apply(const WalkState& state) {
  std::vector<flow::Route> routes;
  for (const auto& [prefix, kind, is_resumable] :
       {std::tuple("/once/", flow::CallKind::kNonIdempotent, false),
        std::tuple("/again/", flow::CallKind::kIdempotent, false),
        std::tuple("/stream/", flow::CallKind::kStream, true),
        std::tuple("/single/", flow::CallKind::kStream, false)}) {
    if (state.removed_prefix == prefix) {
      continue;
    }
    flow::Route route;
    route.name = prefix;
    route.host = "host";
    route.prefix = prefix;
    route.kind = kind;
    route.is_resumable = is_resumable;
    route.timeout = state.timeout;
    route.target = Millis(1000);
    route.event_interval_target = Millis(600);
    route.shares = {{state.service, 1}};
    route.max_attempts = 2;
    routes.push_back(std::move(route));
  }
  auto applied = std::make_shared<const flow::DesiredState>(
      ++version_, std::move(routes),
      std::map<ServiceName, flow::ServiceTraits>{{ServiceName("service"), {}},
                                                 {ServiceName("other"), {}}},
      state.limits);
  ForEachNode([&](EdgeNode* node) { node->SetDesiredState(applied); });
}

void WalkFleet::DrainUpstream(const std::string& id) {
  ForEachNode([&](EdgeNode* node) {
    if (auto upstream = node->registry().Find(UpstreamId(id))) {
      flow::UpstreamRecord record = upstream->record;
      record.is_draining = true;
      node->registry().Upsert(record, loop.Now());
    }
  });
}

void WalkFleet::RemoveUpstream(const std::string& id) {
  ForEachNode([&](EdgeNode* node) { node->registry().Remove(UpstreamId(id)); });
}

bool WalkFleet::IsPeerOwner() const {
  return peer && !peer->fleet().self().is_draining;
}

void WalkFleet::RemovePeerRecord() {
  if (entry) {
    entry->fleet().ReplaceAll(members_, loop.Now());
    entry->UpdateDispatchers();
  }
}

void WalkFleet::EndOwnership() {
  is_large_ = false;
  SendMemberHeartbeats();
}

void WalkFleet::DrainEntry() {
  if (entry) {
    if (!entry->fleet().self().is_draining) {
      entry_drain_began = loop.Now();
    }
    entry->BeginDrain([this] { is_entry_drained_ = true; });
  }
}

void WalkFleet::DrainPeer() {
  if (peer) {
    peer->BeginDrain([this] { is_peer_drained_ = true; });
  }
}

void WalkFleet::StopPeer() {
  peer = nullptr;
  relay.Stop();
}

bool WalkFleet::RunUntil(const std::function<bool()>& done, Millis timeout) {
  return loop.RunUntil(
      [&] {
        if (is_entry_drained_) {
          entry = nullptr;
        }
        if (peer && is_peer_drained_) {
          StopPeer();
        }
        return done();
      },
      timeout);
}

void WalkFleet::RunFor(Millis time) {
  RunUntil([] { return false; }, time);
}

std::string WalkFleet::Leftovers() const {
  std::string found;
  auto note = [&](size_t n, const std::string& what) {
    if (n > 0) {
      found += std::to_string(n) + " " + what + "; ";
    }
  };
  ForEachNode([&](EdgeNode* node) {
    std::string where = " at " + node->settings().self.id.value();
    note(node->calls_in_flight(), "calls" + where);
    note(node->unwritten_bytes(), "unwritten bytes" + where);
    for (const auto& [id, upstream] : node->registry().all()) {
      note(upstream->own_load.running, "own load on " + id.value() + where);
      note(upstream->own_load.reserved_tokens,
           "own tokens on " + id.value() + where);
      note(upstream->forwarded_load.running,
           "forwarded load on " + id.value() + where);
    }
  });
  return found;
}

}  // namespace basilvalve::edge
