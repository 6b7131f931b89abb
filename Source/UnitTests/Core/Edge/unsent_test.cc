// Calls that end before a byte of them was written to an upstream.
#include <catch2/catch.hpp>

#include "Core/Edge/heartbeat_codec.h"
#include "Core/Edge/hop_header.h"
#include "UnitTests/Core/Edge/edge_fixture.h"
#include "UnitTests/Core/Edge/raw_server.h"

namespace basilvalve::edge {
namespace {

constexpr Millis kTimeout{500};

bool HasHead(const RawCaller& caller) {
  return caller.text().find("\r\n\r\n") != std::string::npos;
}

// An instance whose only upstream never accepts a connection.
struct UnsentFixture : EdgeFixture {
  explicit UnsentFixture(Millis timeout = kTimeout, bool is_far = false)
      : EdgeFixture(is_far ? "south" : "north", net::TimeSource::kVirtual),
        busy(RawServer::Queue::kFull) {
    ApplyDesiredState(1, timeout);
    if (is_far) {
      far = AddPeerInstance("far", "north");
    }
    sender = is_far ? far.get() : node.get();
    sender->registry().Upsert(busy.Record("u1"), loop.Now());
  }
  // Sends a call and waits until it is on its way to the upstream.
  std::unique_ptr<RawCaller> Begin(const std::string& path,
                                   const std::string& extra = "") {
    auto caller = Call(Request(path, "r1", "", extra));
    REQUIRE(RunUntil([&] { return sender->calls_in_flight() == 1; }));
    RunFor(Millis(10));
    return caller;
  }
  // Refused as not run, with the time to come back.
  void CheckRefused(RawCaller* caller) {
    CHECK(RunUntil([&] { return HasHead(*caller) || caller->closed(); }));
    CHECK(caller->text().starts_with("HTTP/1.1 503"));
    CHECK(caller->text().find("Retry-After: ") != std::string::npos);
  }

  RawServer busy;
  std::unique_ptr<EdgeNode> far;
  EdgeNode* sender = nullptr;
};

constexpr const char* kPaths[] = {"/once/", "/again/", "/stream/", "/single/"};

// Guards against a 504 for a call that no upstream was sent.
TEST_CASE("a call that is unsent at its deadline is refused as not run") {
  for (bool is_far : {false, true}) {
    for (const char* path : kPaths) {
      INFO(path << (is_far ? " far" : ""));
      UnsentFixture fixture(kTimeout, is_far);
      auto caller = fixture.Begin(path);
      fixture.CheckRefused(caller.get());
    }
  }
}

// Guards against a 504 for a call that no other instance was sent.
TEST_CASE("a call unsent to another instance at its deadline is refused") {
  EdgeFixture fixture("south", net::TimeSource::kVirtual);
  fixture.ApplyDesiredState(1, kTimeout);
  RawServer busy(RawServer::Queue::kFull);
  flow::Heartbeat heartbeat;
  heartbeat.from.id = InstanceId("far");
  heartbeat.from.region = RegionId("north");
  heartbeat.from.peer_address = "127.0.0.1:" + std::to_string(busy.port());
  heartbeat.from.incarnation = heartbeat.sequence = 1;
  heartbeat.service_capacities[ServiceName("service")] = {1, Micros(0), 50, 0,
                                                          0};
  fixture.node->fleet().OnHeartbeat(heartbeat, fixture.loop.Now());
  auto caller = fixture.Call(EdgeFixture::Request("/once/", "r1"));
  CHECK(fixture.RunUntil([&] { return HasHead(*caller); }));
  CHECK(caller->text().starts_with("HTTP/1.1 503"));
}

// Guards against a 504 for a call that no upstream was sent.
TEST_CASE("a call that is unsent at the end of a drain is refused as not run") {
  for (bool is_far : {false, true}) {
    INFO(is_far);
    UnsentFixture fixture(Millis(12000), is_far);
    // The connection attempt has not failed when the grace ends.
    fixture.sender->BeginDrain([] {});
    auto caller = fixture.Begin("/once/", "Patience: 900\r\n");
    fixture.CheckRefused(caller.get());
  }
}

// Guards against a 502 for a call that no upstream was sent.
TEST_CASE("an unsent call whose prompt part is blocked is refused as not run") {
  UnsentFixture fixture(Millis(4000));
  auto caller = fixture.Begin("/single/", "Parts: 7 8\r\n");
  flow::Heartbeat heartbeat;
  heartbeat.from.id = InstanceId("neighbour");
  heartbeat.from.region = RegionId("north");
  heartbeat.from.incarnation = heartbeat.sequence = 1;
  heartbeat.poison.verdicts = {
      {flow::PromptPartId(7), 1, true, Seconds(50), 1, Millis(0)}};
  auto socket = net::DatagramSocket::Create(&fixture.loop, {"127.0.0.1", 0},
                                            [](std::string_view) {});
  REQUIRE(socket);
  REQUIRE((*socket)->Send(fixture.node->peer_endpoint(),
                          EncodeHeartbeat(heartbeat)));
  fixture.RunFor(Millis(20));
  REQUIRE(fixture.node->poison_guard().blocked_parts() == 1);
  fixture.CheckRefused(caller.get());
}

// Guards against a 502 for a call that upstreams have only refused.
TEST_CASE("an unsent call given up for another upstream counts as not run") {
  for (bool is_far : {false, true}) {
    for (const char* path : {"/again/", "/stream/"}) {
      INFO(path << (is_far ? " far" : ""));
      UnsentFixture fixture(Millis(3000), is_far);
      auto caller = fixture.Begin(path);
      ScriptedUpstream other(&fixture.loop, "u2",
                             [](const net::ServerConnection::Ptr& to,
                                const net::ServerRequest& request) {
                               to->Write(ScriptedUpstream::Response(
                                   request, 503, "", "Not-Run: 1\r\n"));
                               to->EndResponse(true);
                             });
      fixture.sender->registry().Upsert(other.Record(ServiceName("service")),
                                        fixture.loop.Now());
      fixture.CheckRefused(caller.get());
    }
  }
}

// Guards against a 502 for a call that its owner has not sent.
TEST_CASE("an owner hands an unsent call back as unsent") {
  UnsentFixture fixture(Millis(3000));
  ScriptedUpstream other(
      &fixture.loop, "u2",
      [](const net::ServerConnection::Ptr&, const net::ServerRequest&) {});
  HopParams hop;
  hop.service = ServiceName("service");
  hop.kind = flow::CallKind::kStream;
  hop.is_resumable = true;
  hop.time_left = hop.response_time_left = Millis(3000);
  hop.target_left = Millis(1000);
  hop.is_last_hop = true;
  hop.can_sender_retry = true;
  RawCaller caller(&fixture.loop, fixture.node->peer_endpoint());
  caller.Send(EdgeFixture::Request(
      "/stream/", "r1", "",
      std::string(kHopHeader) + ": " + FormatHopHeader(hop) + "\r\n"));
  REQUIRE(
      fixture.RunUntil([&] { return fixture.node->calls_in_flight() == 1; }));
  fixture.node->registry().Upsert(other.Record(ServiceName("service")),
                                  fixture.loop.Now());
  CHECK(fixture.RunUntil([&] { return HasHead(caller); }));
  CHECK(caller.text().starts_with("HTTP/1.1 503"));
  CHECK(caller.text().find(std::string(kHopOutcomeHeader) + ": not-run") !=
        std::string::npos);
}

}  // namespace
}  // namespace basilvalve::edge
