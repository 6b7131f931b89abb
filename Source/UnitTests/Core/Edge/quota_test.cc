// Calls of workspaces with a token quota.
#include <catch2/catch.hpp>

#include "Core/Edge/heartbeat_codec.h"
#include "UnitTests/Core/Edge/edge_fixture.h"

namespace basilvalve::edge {
namespace {

const ServiceName kService("service");
const WorkspaceId kAcme("acme");

void RespondOk(const net::ServerConnection::Ptr& caller,
               const net::ServerRequest& request) {
  caller->Write(ScriptedUpstream::Response(request, 200, "done"));
  caller->EndResponse(true);
}

// Two calls of 60,000 tokens are more than the bucket holds at the start.
class QuotaFixture : public EdgeFixture {
 public:
  QuotaFixture() {
    flow::Route route;
    route.host = "host";
    route.prefix = "/";
    route.kind = flow::CallKind::kIdempotent;
    route.timeout = Millis(2000);
    route.target = Millis(1000);
    route.shares = {{kService, 1}};
    flow::Workspace limited;
    limited.name = kAcme;
    limited.keys = {"k"};
    limited.quota = flow::TokenQuota{100, 100, 60'000};
    flow::Workspace unlimited;
    unlimited.name = WorkspaceId("free");
    unlimited.keys = {"f"};
    node->SetDesiredState(std::make_shared<const flow::DesiredState>(
        1, std::vector{route},
        std::map<ServiceName, flow::ServiceTraits>{{kService, {}}},
        flow::IngressLimits(), std::vector{limited, unlimited}));
  }

  std::string Respond(const std::string& headers) {
    auto caller =
        Call(Request("/", "r" + std::to_string(++calls_), "", headers));
    RunUntil([&] { return !caller->text().empty(); });
    return caller->text();
  }

 private:
  int calls_ = 0;
};

// Guards against calls above the limit that reach an upstream, and against a
// refusal of a workspace that has no limit.
TEST_CASE("a call above its workspace's quota is refused before it is sent") {
  QuotaFixture fixture;
  auto& upstream = fixture.AddUpstream("u1", RespondOk);
  CHECK(fixture.Respond("Key: k\r\n").starts_with("HTTP/1.1 200"));
  std::string refused = fixture.Respond("Key: k\r\nTokens: 5\r\n");
  CHECK(refused.starts_with("HTTP/1.1 429 Too Many Requests\r\n"));
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(fixture.Respond("Key: f\r\n").starts_with("HTTP/1.1 200"));
  CHECK(upstream.requests().size() == 2);
  std::string metrics = fixture.node->metrics().Text();
  CHECK(metrics.find("basilvalve_edge_quota_tokens_total{decision=\"admitted\","
                     "workspace=\"acme\"} 60000") != std::string::npos);
  CHECK(metrics.find("basilvalve_edge_quota_tokens_total{decision=\"refused\","
                     "workspace=\"acme\"} 15") != std::string::npos);
}

// Guards against a quota that calls use up without running.
TEST_CASE("a call that was not run does not count against the quota") {
  QuotaFixture fixture;
  for (int i = 0; i < 3; ++i) {
    CHECK(fixture.Respond("Key: k\r\n").starts_with("HTTP/1.1 503"));
  }
}

// Guards against a limit that each instance applies to its own calls only.
TEST_CASE("the use of another instance counts against the quota") {
  QuotaFixture fixture;
  fixture.AddUpstream("u1", RespondOk);
  flow::Heartbeat heartbeat;
  heartbeat.from.id = InstanceId("other");
  heartbeat.from.region = RegionId("south");
  heartbeat.from.incarnation = 1;
  auto sender = net::DatagramSocket::Create(&fixture.loop, {"127.0.0.1", 0},
                                            [](std::string_view) {});
  REQUIRE(sender);
  auto send = [&](uint64_t used) {
    ++heartbeat.sequence;
    heartbeat.use = {{flow::UseKeyOf(kAcme), used, used}};
    (*sender)->Send(fixture.node->peer_endpoint(), EncodeHeartbeat(heartbeat));
    REQUIRE(fixture.RunUntil([&] {
      return !fixture.node->fleet()
                  .LiveInstances(RegionId("south"), fixture.loop.Now())
                  .empty();
    }));
  };
  // What it used before is a baseline.
  send(500'000);
  CHECK(fixture.Respond("Key: k\r\nTokens: 5\r\n").starts_with("HTTP/1.1 200"));
  send(560'000);
  REQUIRE(fixture.RunUntil([&] {
    return fixture.Respond("Key: k\r\nTokens: 5\r\n")
        .starts_with("HTTP/1.1 429");
  }));
}

// Guards against use that is lost or invented between builds.
TEST_CASE("a heartbeat carries use, one of an earlier build carries none") {
  flow::Heartbeat heartbeat;
  heartbeat.from.id = InstanceId("a");
  std::string earlier = EncodeHeartbeat(heartbeat);
  heartbeat.use = {{flow::UseKey(7), 1, 2}, {flow::UseKey(8), 3, 4}};
  std::string bytes = EncodeHeartbeat(heartbeat);
  CHECK(DecodeHeartbeat(bytes)->use == heartbeat.use);
  CHECK(DecodeHeartbeat(bytes)->catalog_position.era.value() == 0);
  CHECK(DecodeHeartbeat(earlier)->use.empty());
  heartbeat.use.resize(100, {flow::UseKey(9), 1, 1});
  CHECK(DecodeHeartbeat(EncodeHeartbeat(heartbeat))->use.size() == 64);
}

TEST_CASE("a report of use is read back, a damaged one is not") {
  flow::QuotaReport report{InstanceId("a"),          RegionId("r"), 5, false, 9,
                           {{flow::UseKey(7), 1, 2}}};
  std::string bytes = EncodeUseReport(report);
  REQUIRE(IsUseDatagram(bytes));
  auto read = DecodeUseReport(bytes);
  REQUIRE(read);
  CHECK(read->from == report.from);
  CHECK(read->incarnation == 5);
  CHECK(read->sequence == 9);
  CHECK(read->rows == report.rows);
  CHECK_FALSE(DecodeUseReport(bytes.substr(0, bytes.size() - 1)));
}

}  // namespace
}  // namespace basilvalve::edge
