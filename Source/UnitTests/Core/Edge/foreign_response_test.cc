#include <catch2/catch.hpp>

#include "Core/Edge/response_origin.h"
#include "Core/Edge/run_ledger.h"
#include "UnitTests/Core/Edge/edge_fixture.h"

namespace basilvalve::edge {
namespace {

using Upstream = ScriptedUpstream;
using Caller = net::ServerConnection::Ptr;
using Request = net::ServerRequest;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string Stray(int status, const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: 0\r\n\r\n";
}

void Respond(const Caller& caller, const Request& request) {
  if (Contains(request.head.target, "/stream/") ||
      Contains(request.head.target, "/single/")) {
    caller->Write(Upstream::StreamHead(request) +
                  Upstream::Chunk("id: 1\ndata: done\n\n") + "0\r\n\r\n");
  } else {
    caller->Write(Upstream::Response(request, 200, "done"));
  }
  caller->EndResponse(true);
}

TEST_CASE("a response belongs to a call only if it names the call") {
  using enum ResponseOrigin;
  struct Row {
    NamedCall named_call;
    std::optional<Outcome> peer_outcome;
    bool not_executed;
    ResponseOrigin origin;
    bool is_proof;
  };
  const std::vector<Row> rows = {
      {NamedCall::kThis, {}, false, kUpstream, false},
      {NamedCall::kThis, {}, true, kUpstream, true},
      {NamedCall::kRepeated, {}, false, kForeign, false},
      {NamedCall::kRepeated, {}, true, kForeign, false},
      {NamedCall::kRepeated, Outcome::kNotRun, true, kForeign, false},
      {NamedCall::kRepeated, Outcome::kUnknown, false, kForeign, false},
      {NamedCall::kOther, {}, false, kForeign, false},
      {NamedCall::kOther, {}, true, kForeign, false},
      {NamedCall::kNone, {}, false, kForeign, false},
      {NamedCall::kNone, {}, true, kForeign, false},
      {NamedCall::kThis, Outcome::kNotRun, false, kPeerFailure, true},
      {NamedCall::kThis, Outcome::kUnknown, false, kPeerFailure, false},
      {NamedCall::kThis, Outcome::kUnknown, true, kPeerFailure, false},
      {NamedCall::kOther, Outcome::kNotRun, true, kForeign, false},
      {NamedCall::kNone, Outcome::kNotRun, true, kPeerFailure, false},
  };
  for (const Row& row : rows) {
    INFO(NamedCallName(row.named_call) << " not executed " << row.not_executed
                                       << " peer " << !!row.peer_outcome);
    ResponseClaim claim{row.named_call, row.not_executed, row.peer_outcome};
    CHECK(OriginOf(claim) == row.origin);
    CHECK(NotRunProof::FromResponse(claim).has_value() == row.is_proof);
  }
}

TEST_CASE("an attempt is taken back once") {
  ResponseClaim refusal{NamedCall::kThis, true, {}};
  RunLedger ledger;
  AttemptNumber first = ledger.OnAttempt();
  AttemptNumber second = ledger.OnAttempt();
  ledger.OnNotRun(second, *NotRunProof::FromResponse(refusal));
  ledger.OnNotRun(second, *NotRunProof::FromResponse(refusal));
  CHECK(ledger.possible_runs() == 1);
  ledger.OnNotRun(first, *NotRunProof::FromResponse(refusal));
  CHECK_FALSE(ledger.MayHaveRun());
}

TEST_CASE("a refusal that names no call neither ends nor repeats a call") {
  struct Row {
    const char* name;
    std::string stray;
  };
  const std::vector<Row> rows = {
      {"refusal", Stray(503, "Not-Run: 1\r\n")},
      {"misdirected", Stray(421, "")},
      {"refusal of another call", Stray(503, "Call-Id: r0\r\nNot-Run: 1\r\n")},
      {"misdirected other call", Stray(421, "Call-Id: r0\r\n")},
      {"outcome of a peer", Stray(503, "Basilvalve-Outcome: not-run\r\n")},
      {"leaving", Stray(503, "Not-Run: 1\r\nLeaving: 1\r\n")},
      {"pause", Stray(503, "Not-Run: 1\r\nPause-Ms: 60000\r\n")},
  };
  for (const Row& row : rows) {
    for (const char* path : {"/once/", "/again/", "/stream/", "/single/"}) {
      INFO(row.name << " " << path);
      EdgeFixture fixture;
      fixture.ApplyDesiredState();
      size_t runs = 0;
      auto script = [&](const Caller& caller, const Request& request) {
        if (++runs == 2) {
          caller->Write(row.stray);
        }
        Respond(caller, request);
      };
      fixture.AddUpstream("u1", script);
      fixture.AddUpstream("u2", script);
      for (size_t n = 1; n <= 3; ++n) {
        auto caller = fixture.Call(
            EdgeFixture::Request(path, "r" + std::to_string(n), "body"));
        REQUIRE(fixture.RunUntil(
            [&] { return Contains(caller->text(), "\r\n\r\n"); }));
        CHECK(Contains(caller->text(), "HTTP/1.1 200"));
        CHECK(runs == n);
      }
      for (const auto& upstream : fixture.upstreams) {
        auto known = fixture.node->registry().Find(
            upstream->Record(ServiceName("service")).id);
        CHECK(known->notice->Allows(fixture.loop.Now()));
        CHECK_FALSE(known->is_misdirected);
      }
    }
  }
}

// Guards against a call that waits to its limit for a response behind one that
// ends with its connection.
TEST_CASE("a response to no call that has no length ends the attempt") {
  for (const char* path : {"/once/", "/again/"}) {
    INFO(path);
    EdgeFixture fixture("north", net::TimeSource::kVirtual);
    fixture.ApplyDesiredState();
    size_t runs = 0;
    auto script = [&](const Caller& caller, const Request& request) {
      if (++runs == 2) {
        caller->Write("HTTP/1.1 503 X\r\nNot-Run: 1\r\n\r\n");
      }
      Respond(caller, request);
    };
    fixture.AddUpstream("u1", script);
    fixture.AddUpstream("u2", script);
    std::string text;
    Instant sent_at;
    for (const char* id : {"r1", "r2"}) {
      sent_at = fixture.loop.Now();
      auto caller = fixture.Call(EdgeFixture::Request(path, id, "body"));
      REQUIRE(fixture.RunUntil(
          [&] { return Contains(caller->text(), "\r\n\r\n"); }));
      text = caller->text();
    }
    bool is_retried = path == std::string("/again/");
    CHECK(Contains(text, is_retried ? "HTTP/1.1 200" : "HTTP/1.1 502"));
    CHECK(runs == (is_retried ? 3 : 2));
    CHECK(fixture.loop.Now() - sent_at < Millis(200));
  }
}

TEST_CASE("a connection with a response to no call is not used again") {
  for (const char* fields : {"", "Call-Id: r0\r\n"}) {
    EdgeFixture fixture;
    fixture.ApplyDesiredState();
    std::vector<Caller> connections;
    fixture.AddUpstream("u1",
                        [&](const Caller& caller, const Request& request) {
                          connections.push_back(caller);
                          if (connections.size() == 2) {
                            caller->Write(Stray(503, fields));
                          }
                          Respond(caller, request);
                        });
    for (const char* id : {"r1", "r2", "r3"}) {
      auto caller = fixture.Call(EdgeFixture::Request("/once/", id, "body"));
      REQUIRE(fixture.RunUntil(
          [&] { return Contains(caller->text(), "\r\n\r\n"); }));
    }
    REQUIRE(connections.size() == 3);
    CHECK(connections[1] == connections[0]);
    CHECK(connections[2] != connections[1]);
  }
}

TEST_CASE("idle connections that have ended say nothing about upstreams") {
  EdgeFixture fixture;
  fixture.ApplyDesiredState();
  std::vector<Caller> waiting;
  std::vector<std::string> responses;
  // Responds once all calls of a round have arrived, so that each of them has a
  // connection of its own: an earlier response would let a later call wait
  // behind it on the same connection.
  auto script = [&](const Caller& caller, const Request& request) {
    responses.push_back(Upstream::Response(request, 200, "done"));
    waiting.push_back(caller);
  };
  auto respond = [&] {
    for (size_t i = 0; i < waiting.size(); ++i) {
      waiting[i]->Write(responses[i]);
    }
    responses.clear();
  };
  std::vector<flow::UpstreamRegistry::Ptr> known;
  for (const char* id : {"u1", "u2", "u3"}) {
    fixture.AddUpstream(id, script);
    known.push_back(fixture.node->registry().Find(UpstreamId(id)));
  }
  for (int round = 0; round < 20; ++round) {
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 6; ++i) {
      callers.push_back(fixture.Call(EdgeFixture::Request(
          "/once/", "r" + std::to_string(round) + "-" + std::to_string(i))));
    }
    REQUIRE(fixture.RunUntil([&] { return waiting.size() == 6; }));
    respond();
    for (const auto& caller : callers) {
      REQUIRE(
          fixture.RunUntil([&] { return Contains(caller->text(), "done"); }));
    }
    for (const Caller& caller : waiting) {
      caller->EndResponse(true);
    }
    // The call is readable before the ends of the idle connections.
    callers[0]->Send(
        EdgeFixture::Request("/once/", "s" + std::to_string(round)));
    for (const Caller& caller : waiting) {
      caller->Disconnect();
    }
    waiting.clear();
    REQUIRE(fixture.RunUntil([&] { return waiting.size() == 1; }));
    respond();
    waiting[0]->EndResponse(true);
    REQUIRE(fixture.RunUntil([&] {
      return Contains(callers[0]->text(), "Call-Id: s" + std::to_string(round));
    }));
    waiting.clear();
    for (const auto& upstream : known) {
      CHECK(upstream->failures.At(fixture.loop.Now()) == 0);
    }
  }
}

// Guards against TWICE: the head of a cut refusal runs into the real response,
// whose call id then seems to be the refusal's.
TEST_CASE("a cut refusal before a response does not take over its call id") {
  for (const char* stray :
       {"HTTP/1.1 503 X\r\nNot-Run: 1", "HTTP/1.1 503 X\r\nNot-Run: ",
        "HTTP/1.1 503 X\r\nNot-Run: 1\r\nOther: ",
        "HTTP/1.1 421 X\r\nOther: "}) {
    for (const char* path : {"/once/", "/single/"}) {
      INFO(stray << " " << path);
      EdgeFixture fixture;
      fixture.ApplyDesiredState();
      size_t runs = 0;
      auto script = [&](const Caller& caller, const Request& request) {
        if (++runs == 2) {
          caller->Write(stray);
        }
        Respond(caller, request);
      };
      fixture.AddUpstream("u1", script);
      fixture.AddUpstream("u2", script);
      for (const char* id : {"r1", "r2"}) {
        auto caller = fixture.Call(EdgeFixture::Request(path, id, "body"));
        REQUIRE(fixture.RunUntil(
            [&] { return Contains(caller->text(), "\r\n\r\n"); }));
      }
      CHECK(runs == 2);
    }
  }
}

// A scripted peer instance in another region, the only place to send calls to.
void AddScriptedPeer(EdgeFixture* fixture, ScriptedUpstream* peer) {
  const ServiceName service("service");
  flow::UpstreamRecord record = peer->Record(service);
  flow::Heartbeat heartbeat;
  heartbeat.from.id = InstanceId("peer");
  heartbeat.from.data_centre = flow::DataCentreId("zone2");
  heartbeat.from.region = RegionId("south");
  heartbeat.from.peer_address = record.host + ":" + std::to_string(record.port);
  heartbeat.from.incarnation = 1;
  heartbeat.sequence = 1;
  heartbeat.service_capacities[service] = {1, Micros(0), 50, 0, 0};
  fixture->node->fleet().OnHeartbeat(heartbeat, fixture->loop.Now());
}

TEST_CASE("a peer's outcome is believed only for the call that it names") {
  const std::string not_run = "Basilvalve-Outcome: not-run\r\n";
  struct Row {
    const char* name;
    std::string fields;
    int once;
    int again;
  };
  const std::vector<Row> rows = {
      {"this call", not_run + "Basilvalve-Call: r2\r\n", 503, 503},
      {"another call", not_run + "Basilvalve-Call: r1\r\n", 200, 200},
      {"no call", not_run, 502, 502},
      {"no call, unsent", not_run + "Basilvalve-Unsent: 1\r\n", 502, 502},
  };
  for (const Row& row : rows) {
    for (const char* path : {"/once/", "/again/"}) {
      INFO(row.name << " " << path);
      EdgeFixture fixture;
      fixture.ApplyDesiredState();
      size_t requests = 0;
      ScriptedUpstream peer(&fixture.loop, "peer",
                            [&](const Caller& caller, const Request& request) {
                              if (++requests == 2) {
                                caller->Write(Stray(503, row.fields));
                              }
                              Respond(caller, request);
                            });
      AddScriptedPeer(&fixture, &peer);
      std::string text;
      for (const char* id : {"r1", "r2"}) {
        auto caller = fixture.Call(EdgeFixture::Request(path, id, "body"));
        REQUIRE(fixture.RunUntil(
            [&] { return Contains(caller->text(), "\r\n\r\n"); }));
        text = caller->text();
      }
      int status = path == std::string("/once/") ? row.once : row.again;
      CHECK(Contains(text, "HTTP/1.1 " + std::to_string(status)));
      CHECK(requests == 2);
    }
  }
}

}  // namespace
}  // namespace basilvalve::edge
