#include "UnitTests/Core/Edge/edge_fixture.h"

#include <catch2/catch.hpp>

namespace basilvalve::edge {
namespace {

const ServiceName kService("service");
// Upper limit for every wait; a test whose wait times out fails its check.
constexpr Millis kWaitTimeout{5000};

flow::Route MakeRoute(const std::string& prefix, flow::CallKind kind,
                      bool is_resumable, Millis timeout) {
  flow::Route route;
  route.name = prefix;
  route.host = "host";
  route.prefix = prefix;
  route.kind = kind;
  route.timeout = timeout;
  route.target = Millis(1000);
  route.event_interval_target = Millis(600);
  route.shares = {{kService, 1}};
  // The same for all routes: even with two attempts allowed, a non-retryable
  // call must not be executed twice.
  route.max_attempts = 2;
  route.is_resumable = is_resumable;
  return route;
}

}  // namespace

ScriptedUpstream::ScriptedUpstream(net::EventLoop* loop, std::string id,
                                   Script script, const std::string& host)
    : loop_(loop),
      id_(std::move(id)),
      script_(std::move(script)),
      server_(
          loop,
          [this](const net::ServerConnection::Ptr& caller,
                 const net::ServerRequest& request) {
            caller->SetDisconnectHandler([this] { ++disconnects_; });
            requests_.push_back(request);
            script_(caller, request);
          },
          host) {}

void ScriptedUpstream::Crash() {
  has_crashed_ = true;
  loop_->Post([this] { server_.Stop(); });
}

flow::UpstreamRecord ScriptedUpstream::Record(
    const ServiceName& service) const {
  flow::UpstreamRecord record;
  record.id = UpstreamId(id_);
  record.service = service;
  record.host = server_.endpoint().host;
  record.port = server_.endpoint().port;
  record.data_centre = flow::DataCentreId("zone");
  record.region = RegionId("north");
  record.slots = 8;
  return record;
}

std::string ScriptedUpstream::Response(const net::ServerRequest& request,
                                       int status, const std::string& body,
                                       const std::string& extra) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nCall-Id: " + *request.head.Find("Call-Id") +
         "\r\nProof: p\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + extra + "\r\n" + body;
}

std::string ScriptedUpstream::StreamHead(const net::ServerRequest& request) {
  return "HTTP/1.1 200 OK\r\nCall-Id: " + *request.head.Find("Call-Id") +
         "\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string ScriptedUpstream::Chunk(const std::string& data) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

RawCaller::RawCaller(net::EventLoop* loop, const net::Endpoint& to)
    : loop_(loop) {
  socket_ = net::Socket::Connect(loop, to, Millis(2000), [this](bool ok) {
    connected_ = ok;
    closed_ = !ok;
    if (ok) {
      Send("");
      Wait();
    }
  });
}

void RawCaller::Send(const std::string& bytes) {
  unsent_ += bytes;
  if (connected_ && !unsent_.empty()) {
    socket_->Write(unsent_);
    unsent_.clear();
  }
}

void RawCaller::Close() { socket_->Close(); }

void RawCaller::Wait() {
  socket_->WaitReadable([this] {
    auto buf = loop_->scratch();
    net::IoResult got = socket_->Read(buf);
    if (got.status == net::IoStatus::kEof ||
        got.status == net::IoStatus::kReset) {
      closed_ = true;
      return;
    }
    text_.append(buf.data(), got.bytes);
    Wait();
  });
}

EdgeFixture::EdgeFixture(const std::string& region, net::TimeSource time,
                         const flow::FleetRetryBudgetSettings& retries,
                         double hedge_share)
    : loop(time) {
  EdgeSettings settings;
  settings.self.id = InstanceId("instance");
  settings.self.data_centre = flow::DataCentreId("zone");
  settings.self.region = RegionId(region);
  settings.public_address = {"127.0.0.1", 0};
  settings.peer_address = {"127.0.0.1", 0};
  settings.retries = retries;
  settings.hedge_share = hedge_share;
  settings.stop_grace = Millis(4000);
  settings.seed = 1;
  auto created = EdgeNode::Create(&loop, settings, &dialect);
  REQUIRE(created);
  node = std::move(*created);
}

ScriptedUpstream& EdgeFixture::AddUpstream(const std::string& id,
                                           ScriptedUpstream::Script script) {
  upstreams.push_back(
      std::make_unique<ScriptedUpstream>(&loop, id, std::move(script)));
  node->registry().Upsert(upstreams.back()->Record(kService), loop.Now());
  return *upstreams.back();
}

void EdgeFixture::ApplyDesiredState(uint64_t version, Millis timeout) {
  using flow::CallKind;
  std::vector<flow::Route> routes = {
      MakeRoute("/once/", CallKind::kNonIdempotent, false, timeout),
      MakeRoute("/again/", CallKind::kIdempotent, false, timeout),
      MakeRoute("/stream/", CallKind::kStream, true, timeout),
      MakeRoute("/single/", CallKind::kStream, false, timeout)};
  node->SetDesiredState(std::make_shared<const flow::DesiredState>(
      version, std::move(routes),
      std::map<ServiceName, flow::ServiceTraits>{{kService, {}}},
      flow::IngressLimits()));
}

std::unique_ptr<RawCaller> EdgeFixture::Call(const std::string& text) {
  auto caller = std::make_unique<RawCaller>(&loop, node->public_endpoint());
  caller->Send(text);
  return caller;
}

std::string EdgeFixture::Request(const std::string& path, const std::string& id,
                                 const std::string& body,
                                 const std::string& extra) {
  return "POST " + path + " HTTP/1.1\r\nHost: host\r\nCall-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extra +
         "\r\n" + body;
}

std::unique_ptr<EdgeNode> EdgeFixture::AddPeerInstance(
    const std::string& id, const std::string& region) {
  EdgeSettings settings;
  settings.self.id = InstanceId(id);
  settings.self.data_centre = flow::DataCentreId("zone");
  settings.self.region = RegionId(region);
  settings.public_address = settings.peer_address = {"127.0.0.1", 0};
  settings.retries = {0.2, 50, Seconds(10)};
  auto peer = EdgeNode::Create(&loop, settings, &dialect);
  REQUIRE(peer);
  flow::Heartbeat heartbeat;
  heartbeat.from = settings.self;
  heartbeat.from.peer_address = (*peer)->peer_endpoint().Text();
  heartbeat.from.incarnation = 1;
  heartbeat.sequence = 1;
  heartbeat.service_capacities[kService] = {1, Micros(0), 50, 0, 0};
  node->fleet().OnHeartbeat(heartbeat, loop.Now());
  return std::move(*peer);
}

bool EdgeFixture::RunUntil(const std::function<bool()>& done) {
  return loop.RunUntil(done, kWaitTimeout);
}

void EdgeFixture::RunFor(Millis time) {
  loop.RunUntil([] { return false; }, time);
}

}  // namespace basilvalve::edge
