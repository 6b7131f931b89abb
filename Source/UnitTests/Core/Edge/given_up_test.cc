// Calls that end although something is still under way for them.
#include <catch2/catch.hpp>

#include "Core/Edge/hop_header.h"
#include "UnitTests/Core/Edge/edge_fixture.h"
#include "UnitTests/Core/Net/busy_listener.h"

namespace basilvalve::edge {
namespace {

using Upstream = ScriptedUpstream;
using Caller = net::ServerConnection::Ptr;
using Request = net::ServerRequest;

bool Contains(const RawCaller& caller, const std::string& part) {
  return caller.text().find(part) != std::string::npos;
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

void RespondOk(const Caller& caller, const Request& request) {
  caller->Write(Upstream::Response(request, 200, "done"));
  caller->EndResponse(true);
}

// Guards against LOST: a drain closes connections that wait for a response.
TEST_CASE("the end of a drain answers the calls that still wait") {
  for (bool is_peer : {false, true}) {
    INFO((is_peer ? "from a peer" : "from a caller"));
    EdgeFixture fixture("north", net::TimeSource::kVirtual);
    fixture.ApplyDesiredState(1, Millis(12000));
    fixture.AddUpstream("u1", [](const Caller&, const Request&) {});
    HopParams hop;
    hop.service = ServiceName("service");
    hop.time_left = hop.response_time_left = Millis(12000);
    RawCaller caller(&fixture.loop, is_peer ? fixture.node->peer_endpoint()
                                            : fixture.node->public_endpoint());
    caller.Send(EdgeFixture::Request(
        "/once/", "r1", "",
        is_peer ? std::string(kHopHeader) + ": " + FormatHopHeader(hop) + "\r\n"
                : "Patience: 12000\r\n"));
    REQUIRE(fixture.RunUntil(
        [&] { return fixture.upstreams[0]->requests().size() == 1; }));
    Instant began_at = fixture.loop.Now();
    bool is_ended = false;
    fixture.node->BeginDrain([&] {
      // The process ends, and with it what it has not written.
      fixture.loop.Post([&] {
        fixture.node.reset();
        is_ended = true;
      });
    });
    REQUIRE(fixture.RunUntil([&] { return is_ended; }));
    // The fixture has to stop within 4 s.
    CHECK(fixture.loop.Now() - began_at <= Millis(3750));
    CHECK(fixture.RunUntil([&] { return caller.closed(); }));
    CHECK(Contains(caller, "HTTP/1.1 504"));
  }
}

// Guards against a 504, after which callers must not retry, for a call that no
// upstream was sent.
TEST_CASE("a call given up before it was sent is refused as not run") {
  for (bool is_drained : {false, true}) {
    INFO((is_drained ? "end of a drain" : "deadline"));
    EdgeFixture fixture("north", net::TimeSource::kVirtual);
    fixture.ApplyDesiredState(1, Millis(is_drained ? 12000 : 500));
    if (is_drained) {
      fixture.node->BeginDrain([] {});
      fixture.RunFor(Millis(2450));
    }
    // The second connection is still pending when the drain ends.
    net::BusyListener busy;
    for (const char* id : {"u1", "u2"}) {
      flow::UpstreamRecord record =
          fixture.AddUpstream(id, RespondOk).Record(ServiceName("service"));
      record.port = busy.port();
      fixture.node->registry().Upsert(record, fixture.loop.Now());
    }
    auto caller = fixture.Call(
        EdgeFixture::Request("/once/", "r1", "", "Patience: 12000\r\n"));
    REQUIRE(fixture.RunUntil([&] { return Contains(*caller, "\r\n\r\n"); }));
    CHECK(Contains(*caller, "HTTP/1.1 503"));
    CHECK(Contains(*caller, "Retry-After"));
    CHECK(Contains(*caller, "Connection: close") == is_drained);
  }
}

// Guards against GONE: a call that was not sent yet reaches an upstream
// although its caller has left.
TEST_CASE("a call not sent yet ends with its caller") {
  for (const char* path : {"/once/", "/again/", "/single/"}) {
    INFO(path);
    EdgeFixture fixture;
    fixture.ApplyDesiredState(1, Millis(4000));
    net::BusyListener busy;
    flow::UpstreamRecord record =
        fixture.AddUpstream("u1", RespondOk).Record(ServiceName("service"));
    record.port = busy.port();
    fixture.node->registry().Upsert(record, fixture.loop.Now());
    auto upstream = fixture.node->registry().Find(record.id);
    auto caller = fixture.Call(
        EdgeFixture::Request(path, "r1", "", "Patience: 4000\r\n"));
    REQUIRE(fixture.RunUntil([&] { return upstream->own_load.running == 1; }));
    caller->Close();
    fixture.RunFor(Millis(100));
    CHECK(upstream->own_load.running == 0);
  }
}

// Guards against LOST: a forwarded stream ends before its caller's time is up.
TEST_CASE("a forwarded stream may use all of its caller's time") {
  EdgeFixture local("south", net::TimeSource::kVirtual);
  local.ApplyDesiredState(1, Millis(1500));
  net::Timer timer(&local.loop);
  Upstream upstream(&local.loop, "u1",
                    [&](const Caller& caller, const Request& request) {
                      caller->Write(Upstream::StreamHead(request) +
                                    Upstream::Chunk(Event(1)));
                      timer.Set(Millis(2975), [caller] {
                        caller->Write(Upstream::Chunk(Event(2)) + "0\r\n\r\n");
                        caller->EndResponse(true);
                      });
                    });
  auto far = local.AddPeerInstance("far", "north");
  far->registry().Upsert(upstream.Record(ServiceName("service")),
                         local.loop.Now());
  auto caller = local.Call(
      EdgeFixture::Request("/single/", "r1", "", "Patience: 3000\r\n"));
  CHECK(local.RunUntil(
      [&] { return caller->closed() || Contains(*caller, "0\r\n\r\n"); }));
  CHECK(Contains(*caller, Event(2)));
  CHECK(Contains(*caller, "0\r\n\r\n"));
}

// Guards against a response that is given up while its bytes arrive.
TEST_CASE("a plain response that arrives in pieces is not given up") {
  EdgeFixture fixture("north", net::TimeSource::kVirtual);
  fixture.ApplyDesiredState(1, Millis(4000));
  net::Timer timer(&fixture.loop);
  std::function<void(const Caller&, int)> send_pieces = [&](const Caller& to,
                                                            int n) {
    to->Write("1234");
    if (n > 1) {
      timer.Set(Millis(400), [&, to, n] { send_pieces(to, n - 1); });
    } else {
      to->EndResponse(true);
    }
  };
  fixture.AddUpstream("u1", [&](const Caller& to, const Request& request) {
    std::string whole = Upstream::Response(request, 200, std::string(16, 'x'));
    to->Write(whole.substr(0, whole.size() - 16));
    send_pieces(to, 4);
  });
  auto caller = fixture.Call(EdgeFixture::Request("/again/", "r1"));
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.upstreams[0]->requests().size() == 1; }));
  Upstream& other = fixture.AddUpstream("u2", RespondOk);
  CHECK(fixture.RunUntil([&] { return Contains(*caller, "\r\n\r\n"); }));
  CHECK(Contains(*caller, "1234123412341234"));
  CHECK(other.requests().empty());
}

// Guards against a failure for a call of which no byte was sent.
TEST_CASE("a call that finds its idle connection closed is sent on another") {
  EdgeFixture fixture("north", net::TimeSource::kVirtual);
  fixture.ApplyDesiredState();
  Caller used;
  fixture.AddUpstream("u1", [&](const Caller& caller, const Request& request) {
    used = caller;
    RespondOk(caller, request);
  });
  auto first = fixture.Call(EdgeFixture::Request("/once/", "r1"));
  auto second = fixture.Call("");
  REQUIRE(fixture.RunUntil([&] { return Contains(*first, "done"); }));
  fixture.loop.RunUntil([] { return false; }, Millis(10));
  // Both arrive at the instance in the same round of its loop.
  second->Send(EdgeFixture::Request("/once/", "r2"));
  used->CloseWhenIdle();
  REQUIRE(fixture.RunUntil([&] { return Contains(*second, "\r\n\r\n"); }));
  CHECK(Contains(*second, "HTTP/1.1 200"));
  CHECK(fixture.upstreams[0]->requests().size() == 2);
}

// Guards against LOST: a silent stream is handed back that has no other place.
TEST_CASE("an owner keeps a silent stream that cannot be resumed elsewhere") {
  struct Row {
    const char* name;
    flow::FleetRetryBudgetSettings retries;
    bool has_other;
    bool is_kept;
  };
  constexpr flow::FleetRetryBudgetSettings kNoRetries = {0, 0, Seconds(10)};
  constexpr flow::FleetRetryBudgetSettings kRetries = {0.2, 50, Seconds(10)};
  for (const Row& row : {Row{"no other", kRetries, false, true},
                         Row{"no budget", kNoRetries, true, true},
                         Row{"another", kRetries, true, false}}) {
    INFO(row.name);
    EdgeFixture fixture("north", net::TimeSource::kVirtual, row.retries);
    fixture.ApplyDesiredState(1, Millis(4000));
    net::Timer timer(&fixture.loop);
    fixture.AddUpstream("u1", [&](const Caller& to, const Request& request) {
      to->Write(Upstream::StreamHead(request) + Upstream::Chunk(Event(1)));
      timer.Set(Millis(2500), [to] {
        to->Write(Upstream::Chunk(Event(2)) + "0\r\n\r\n");
        to->EndResponse(true);
      });
    });
    HopParams hop;
    hop.service = ServiceName("service");
    hop.kind = flow::CallKind::kStream;
    hop.is_resumable = true;
    hop.time_left = hop.response_time_left = Millis(9000);
    hop.is_last_hop = true;
    hop.can_sender_retry = true;
    RawCaller caller(&fixture.loop, fixture.node->peer_endpoint());
    caller.Send(EdgeFixture::Request(
        "/stream/", "r1", "",
        std::string(kHopHeader) + ": " + FormatHopHeader(hop) + "\r\n"));
    REQUIRE(fixture.RunUntil([&] { return Contains(caller, Event(1)); }));
    if (row.has_other) {
      fixture.AddUpstream("u2", RespondOk);
    }
    CHECK(fixture.RunUntil(
        [&] { return caller.closed() || Contains(caller, Event(2)); }));
    CHECK(caller.closed() == !row.is_kept);
    CHECK(Contains(caller, Event(2)) == row.is_kept);
  }
}

// Guards against TWICE and GONE: a process that was paused reads a request and
// the end of its connection together.
TEST_CASE("a call whose sender has gone before it was read is not begun") {
  struct Row {
    const char* path;
    bool is_peer;
    bool is_begun;
  };
  for (const Row& row :
       {Row{"/again/", false, false}, Row{"/stream/", false, false},
        Row{"/single/", false, false}, Row{"/once/", true, false},
        Row{"/again/", true, false}, Row{"/stream/", true, false},
        Row{"/single/", true, false},
        // The caller may have closed its side only.
        Row{"/once/", false, true}}) {
    INFO(row.path << (row.is_peer ? " from a peer" : " from a caller"));
    EdgeFixture fixture("north", net::TimeSource::kVirtual);
    fixture.ApplyDesiredState();
    fixture.AddUpstream("u1", RespondOk);
    RawCaller caller(&fixture.loop, row.is_peer
                                        ? fixture.node->peer_endpoint()
                                        : fixture.node->public_endpoint());
    fixture.RunFor(Millis(50));
    HopParams hop;
    hop.service = ServiceName("service");
    hop.time_left = hop.response_time_left = Millis(2000);
    // The instance does not run meanwhile.
    caller.Send(EdgeFixture::Request(
        row.path, "r1", "",
        row.is_peer
            ? std::string(kHopHeader) + ": " + FormatHopHeader(hop) + "\r\n"
            : ""));
    caller.Close();
    fixture.RunFor(Millis(500));
    CHECK(fixture.upstreams[0]->requests().size() == (row.is_begun ? 1 : 0));
  }
}

}  // namespace
}  // namespace basilvalve::edge
