// A call that comes to the same address again, and copies of its first
// response.
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "Core/Edge/hop_header.h"
#include "UnitTests/Core/Edge/edge_fixture.h"

namespace basilvalve::edge {
namespace {

using Upstream = ScriptedUpstream;
using Caller = net::ServerConnection::Ptr;
using Request = net::ServerRequest;

const ServiceName kService("service");

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string CallIdOf(const Request& request) {
  return *request.head.Find("Call-Id");
}

std::string Refusal(const Request& request, int status,
                    const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nCall-Id: " + CallIdOf(request) + "\r\n" + fields +
         "Content-Length: 0\r\n\r\n";
}

void Answer(const Caller& caller, const Request& request) {
  if (Contains(request.head.target, "/stream/") ||
      Contains(request.head.target, "/single/")) {
    caller->Write(Upstream::StreamHead(request) +
                  Upstream::Chunk("id: 1\ndata: done\n\n") + "0\r\n\r\n");
  } else {
    caller->Write(Upstream::Response(request, 200, "done"));
  }
  caller->EndResponse(true);
}

// Guards against TWICE where a policy takes a connection that has carried the
// call, or placement goes back to its upstream.
TEST_CASE("a name proves nothing on a connection that had carried the call") {
  EdgeFixture fixture;
  net::TestServer server(
      &fixture.loop, [](const Caller& caller, const Request&) {
        caller->Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        caller->EndResponse(true);
      });
  struct Observer : net::ClientObserver {
    bool OnHead(const net::MessageHead&) override { return true; }
    void OnBody(std::string_view) override {}
    void OnDone() override { has_ended = true; }
    void OnError(net::ClientError) override {}
    bool has_ended = false;
  };
  auto connection = net::ClientConnection::Open(
      &fixture.loop, server.endpoint(), Millis(1000), Millis(1000));
  const net::RequestKey key(7);
  auto send = [&](net::RequestKey sent) {
    Observer observer;
    connection->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", &observer, sent);
    REQUIRE(fixture.RunUntil([&] { return observer.has_ended; }));
  };
  send(key);
  CHECK(NamedOn(*connection, NamedCall::kThis) == NamedCall::kThis);
  send(net::RequestKey(8));
  CHECK(NamedOn(*connection, NamedCall::kThis) == NamedCall::kThis);
  send(key);
  CHECK(NamedOn(*connection, NamedCall::kThis) == NamedCall::kRepeated);
  CHECK(NamedOn(*connection, NamedCall::kOther) == NamedCall::kOther);
  CHECK(NamedOn(*connection, NamedCall::kNone) == NamedCall::kNone);

  ConnectionPool pool(&fixture.loop, {});
  pool.Put(server.endpoint(), connection);
  CHECK(pool.Take(server.endpoint(), false, key) != connection);
  CHECK(pool.Take(server.endpoint(), false, net::RequestKey(8)) != connection);
  CHECK(pool.Take(server.endpoint(), false, net::RequestKey(9)) == connection);

  // A connection that cannot remember more requests is not used for any.
  for (uint64_t i = 100; connection->is_reusable(); ++i) {
    REQUIRE(i < 1000);
    send(net::RequestKey(i));
    CHECK(connection->HasCarried(key));
  }
}

struct CopyRow {
  const char* name;
  int status;
  std::string fields;
  int copies;
};

const std::vector<CopyRow>& CopyRows() {
  static const std::vector<CopyRow> kRows = {
      {"refusal", 503, "Not-Run: 1\r\n", 1},
      {"two copies", 503, "Not-Run: 1\r\n", 2},
      {"misdirected", 421, "", 1},
      {"pausing", 503, "Not-Run: 1\r\nPause-Ms: 1\r\n", 1},
  };
  return kRows;
}

// An upstream that refuses the first request of each call and runs the second,
// in front of whose answer it copies the refusal. Another upstream appears
// only then.
struct CopyingUpstream {
  EdgeFixture fixture;
  CopyRow row;
  std::map<std::string, int> runs;
  std::set<std::string> refused;
  std::set<net::ServerConnection*> callers;
  std::function<void()> on_refused;
  Upstream* upstream = nullptr;

  explicit CopyingUpstream(CopyRow copy) : row(std::move(copy)) {
    fixture.ApplyDesiredState();
    upstream = &fixture.AddUpstream(
        "u1", [this](const Caller& caller, const Request& request) {
          std::string refusal = Refusal(request, row.status, row.fields);
          bool is_repeat = !callers.insert(caller.get()).second;
          if (refused.insert(CallIdOf(request)).second) {
            if (on_refused) {
              on_refused();
            }
            caller->Write(refusal);
            caller->EndResponse(true);
            return;
          }
          ++runs[CallIdOf(request)];
          AddOther();
          for (int i = 0; is_repeat && i < row.copies; ++i) {
            caller->Write(refusal);
          }
          Answer(caller, request);
        });
  }
  void AddOther() {
    if (fixture.upstreams.size() == 1) {
      fixture.AddUpstream("u2",
                          [this](const Caller& caller, const Request& request) {
                            ++runs[CallIdOf(request)];
                            Answer(caller, request);
                          });
    }
  }
  std::string Play(const std::string& bytes, const net::Endpoint& to) {
    RawCaller caller(&fixture.loop, to);
    caller.Send(bytes);
    REQUIRE(
        fixture.RunUntil([&] { return Contains(caller.text(), "\r\n\r\n"); }));
    return caller.text();
  }
};

std::string HopLine(const std::string& path) {
  HopParams hop;
  hop.service = kService;
  hop.kind = path == "/once/" ? flow::CallKind::kNonIdempotent
                              : flow::CallKind::kStream;
  hop.time_left = hop.response_time_left = hop.target_left = Millis(2000);
  hop.is_last_hop = true;
  return std::string(kHopHeader) + ": " + FormatHopHeader(hop) + "\r\n";
}

// Guards against TWICE: a worker that restarted at its address is listed under
// two ids.
TEST_CASE("a copy of a misdirected refusal does not end the next attempt") {
  for (const CopyRow& row : CopyRows()) {
    for (const char* path : {"/once/", "/single/", "/again/", "/stream/"}) {
      INFO(row.name << " " << path);
      CopyingUpstream play(row);
      play.on_refused = [&] {
        flow::UpstreamRecord record = play.upstream->Record(kService);
        record.id = UpstreamId("u1-restarted");
        play.fixture.node->registry().Upsert(record, play.fixture.loop.Now());
      };
      std::string text = play.Play(EdgeFixture::Request(path, "r1", "body"),
                                   play.fixture.node->public_endpoint());
      CHECK(play.runs["r1"] == 1);
      CHECK(Contains(text, "HTTP/1.1 200"));
    }
  }
}

// Guards against TWICE: a caller, or an instance, sends a call again.
TEST_CASE("a copy of a refusal does not end the call that came again") {
  for (const CopyRow& row : CopyRows()) {
    for (const char* path : {"/once/", "/single/"}) {
      for (bool is_hop : {false, true}) {
        INFO(row.name << " " << path << (is_hop ? " by an instance" : ""));
        CopyingUpstream play(row);
        net::Endpoint to = is_hop ? play.fixture.node->peer_endpoint()
                                  : play.fixture.node->public_endpoint();
        std::string bytes = EdgeFixture::Request(path, "r1", "body",
                                                 is_hop ? HopLine(path) : "");
        CHECK(Contains(play.Play(bytes, to), "HTTP/1.1 503"));
        play.fixture.RunFor(Millis(10));
        if (row.status == 421) {
          // Another worker has its address now.
          flow::UpstreamRecord record = play.upstream->Record(kService);
          record.id = UpstreamId("u1-restarted");
          play.fixture.node->registry().Upsert(record, play.fixture.loop.Now());
        }
        std::string text = play.Play(bytes, to);
        CHECK(play.runs["r1"] == 1);
        CHECK(Contains(text, "HTTP/1.1 200"));
      }
    }
  }
}

// Guards against REFUSED: the copy of a peer's refusal ends a call that runs.
TEST_CASE("a copy of a peer's refusal does not end the call that came again") {
  for (const char* path : {"/once/", "/single/"}) {
    INFO(path);
    EdgeFixture fixture;
    fixture.ApplyDesiredState();
    std::set<net::ServerConnection*> connections;
    int requests = 0;
    ScriptedUpstream peer(
        &fixture.loop, "peer",
        [&](const Caller& caller, const Request& request) {
          std::string refusal =
              Refusal(request, 503,
                      "Basilvalve-Outcome: not-run\r\nBasilvalve-Call: r1\r\n");
          bool is_repeat = !connections.insert(caller.get()).second;
          if (++requests == 1) {
            caller->Write(refusal);
            caller->EndResponse(true);
            return;
          }
          caller->Write(is_repeat ? refusal : "");
          Answer(caller, request);
        });
    flow::UpstreamRecord record = peer.Record(kService);
    flow::Heartbeat heartbeat;
    heartbeat.from.id = InstanceId("peer");
    heartbeat.from.data_centre = flow::DataCentreId("zone2");
    heartbeat.from.region = RegionId("south");
    heartbeat.from.peer_address =
        record.host + ":" + std::to_string(record.port);
    heartbeat.from.incarnation = 1;
    heartbeat.sequence = 1;
    heartbeat.service_capacities[kService] = {1, Micros(0), 50, 0, 0};
    fixture.node->fleet().OnHeartbeat(heartbeat, fixture.loop.Now());
    std::string text;
    for (int i = 0; i < 2; ++i) {
      auto caller = fixture.Call(EdgeFixture::Request(path, "r1", "body"));
      REQUIRE(fixture.RunUntil(
          [&] { return Contains(caller->text(), "\r\n\r\n"); }));
      text = caller->text();
    }
    CHECK(requests == 2);
    CHECK(Contains(text, "HTTP/1.1 200"));
  }
}

}  // namespace
}  // namespace basilvalve::edge
