#include <catch2/catch.hpp>

#include "Core/Edge/heartbeat_codec.h"
#include "Core/Edge/hop_header.h"
#include "UnitTests/Core/Edge/edge_fixture.h"

namespace basilvalve::edge {
namespace {

using Upstream = ScriptedUpstream;
using Caller = net::ServerConnection::Ptr;
using Request = net::ServerRequest;

bool Contains(const RawCaller& caller, const std::string& part) {
  return caller.text().find(part) != std::string::npos;
}

void RespondOk(const Caller& caller, const Request& request) {
  caller->Write(Upstream::Response(request, 200, "done"));
  caller->EndResponse(true);
}

void ResetConnection(const Caller& caller, const Request&) { caller->Abort(); }

std::string Events(int first, int last) {
  std::string out;
  for (int id = first; id <= last; ++id) {
    out += "id: " + std::to_string(id) + "\ndata: x\n\n";
  }
  return out;
}

void StreamOk(const Caller& caller, const Request& request) {
  caller->Write(Upstream::StreamHead(request) + Upstream::Chunk(Events(1, 2)) +
                "0\r\n\r\n");
  caller->EndResponse(true);
}

TEST_CASE(
    "a call is forwarded unchanged except for the headers the instance sets") {
  EdgeFixture fixture;
  fixture.ApplyDesiredState();
  Upstream& upstream = fixture.AddUpstream("u1", RespondOk);
  auto caller = fixture.Call(EdgeFixture::Request(
      "/once/a?b=c", "r1", "hello",
      "Expected: forged\r\nOther: kept\r\nConnection: Mine\r\nMine: x\r\n"));
  REQUIRE(fixture.RunUntil([&] { return Contains(*caller, "\r\n\r\ndone"); }));
  CHECK(Contains(*caller, "HTTP/1.1 200"));
  CHECK(Contains(*caller, "Proof: p"));
  REQUIRE(upstream.requests().size() == 1);
  const Request& request = upstream.requests()[0];
  CHECK(request.head.target == "/once/a?b=c");
  CHECK(request.body == "hello");
  CHECK(*request.head.Find("Expected") == "u1");
  CHECK(request.head.Count("Expected") == 1);
  CHECK(*request.head.Find("Other") == "kept");
  CHECK(request.head.Find("Mine") == nullptr);
  CHECK(std::stoi(*request.head.Find("Patience")) <= 2000);
}

TEST_CASE("a stream that lost bytes on the way is resumed, not passed on") {
  EdgeFixture fixture;
  fixture.ApplyDesiredState();
  auto loses_an_event = [](const Caller& caller, const Request& request) {
    std::string whole = Events(1, 2);
    size_t lost = Events(3, 3).size();
    caller->Write(Upstream::StreamHead(request) + net::EncodeChunkAt(whole, 0) +
                  net::EncodeChunkAt(Events(4, 5), whole.size() + lost));
  };
  auto resumes = [](const Caller& caller, const Request& request) {
    const std::string* after = request.head.Find("Resume-After");
    int first = after != nullptr ? std::stoi(*after) + 1 : 1;
    caller->Write(Upstream::StreamHead(request) +
                  Upstream::Chunk(Events(first, 5)) + "0\r\n\r\n");
    caller->EndResponse(true);
  };
  int calls = 0;
  auto script = [&](const Caller& caller, const Request& request) {
    ++calls == 1 ? loses_an_event(caller, request) : resumes(caller, request);
  };
  fixture.AddUpstream("u1", script);
  fixture.AddUpstream("u2", script);
  auto caller = fixture.Call(EdgeFixture::Request("/stream/", "r1"));
  REQUIRE(fixture.RunUntil([&] { return Contains(*caller, "0\r\n\r\n"); }));
  CHECK(calls == 2);
  size_t at = 0;
  for (int id = 1; id <= 5; ++id) {
    size_t next = caller->text().find("id: " + std::to_string(id) + "\n", at);
    CHECK(next != std::string::npos);
    at = next;
  }
}

TEST_CASE("connections to upstreams are reused") {
  EdgeFixture fixture;
  fixture.ApplyDesiredState();
  fixture.AddUpstream("u1", RespondOk);
  auto caller = fixture.Call("");
  std::string seen;
  for (int i = 0; i < 5; ++i) {
    caller->Send(EdgeFixture::Request("/again/", "r" + std::to_string(i)));
    REQUIRE(fixture.RunUntil([&] {
      return Contains(*caller, "Call-Id: r" + std::to_string(i) + "\r\n") &&
             caller->text().ends_with("done");
    }));
  }
  CHECK(fixture.node->metrics().Text().find(
            "basilvalve_edge_sends_total{where=\"here\"} 5") !=
        std::string::npos);
}

TEST_CASE("calls get 503, not 404, before the first desired state") {
  EdgeFixture fixture;
  fixture.AddUpstream("u1", RespondOk);
  CHECK_FALSE(fixture.node->IsReady());
  auto caller = fixture.Call(EdgeFixture::Request("/once/", "r1"));
  REQUIRE(fixture.RunUntil([&] { return Contains(*caller, "\r\n\r\n"); }));
  CHECK(Contains(*caller, "HTTP/1.1 503"));
  CHECK(Contains(*caller, "Retry-After"));
  fixture.ApplyDesiredState(4);
  CHECK(fixture.node->IsReady());
  fixture.ApplyDesiredState(3, Millis(1));
  auto unknown = fixture.Call(EdgeFixture::Request("/nowhere/", "r2"));
  REQUIRE(fixture.RunUntil([&] { return Contains(*unknown, "\r\n\r\n"); }));
  CHECK(Contains(*unknown, "HTTP/1.1 404"));
}

TEST_CASE("response and number of executions when an upstream fails") {
  struct Row {
    const char* name;
    const char* path;
    Upstream::Script first;
    int status;
    size_t runs;
  };
  auto not_run = [](const Caller& caller, const Request& request) {
    caller->Write(Upstream::Response(request, 503, "", "Not-Run: 1\r\n"));
    caller->EndResponse(true);
  };
  auto misdirected = [](const Caller& caller, const Request& request) {
    caller->Write(Upstream::Response(request, 421, ""));
    caller->EndResponse(true);
  };
  auto error = [](const Caller& caller, const Request& request) {
    caller->Write(Upstream::Response(request, 500, "bad"));
    caller->EndResponse(true);
  };
  auto unexplained_503 = [](const Caller& caller, const Request& request) {
    caller->Write(Upstream::Response(request, 503, "ran"));
    caller->EndResponse(true);
  };
  auto unexplained_429 = [](const Caller& caller, const Request& request) {
    caller->Write(Upstream::Response(request, 429, "ran"));
    caller->EndResponse(true);
  };
  auto unexplained_408 = [](const Caller& caller, const Request& request) {
    caller->Write(Upstream::Response(request, 408, "ran"));
    caller->EndResponse(true);
  };
  auto truncated = [](const Caller& caller, const Request& request) {
    caller->Write(Upstream::Response(request, 200, "done").substr(0, 60));
    caller->Abort();
  };
  auto garbage = [](const Caller& caller, const Request&) {
    caller->Write("\x01\x02 no answer\r\n\r\n");
    caller->EndResponse(false);
  };
  auto unverified = [](const Caller& caller, const Request& request) {
    caller->Write(
        "HTTP/1.1 200 OK\r\nCall-Id: " + *request.head.Find("Call-Id") +
        "\r\nContent-Length: 3\r\n\r\nbad");
    caller->EndResponse(true);
  };
  const std::vector<Row> rows = {
      {"non-idempotent, reset", "/once/", ResetConnection, 502, 1},
      {"non-idempotent, truncated", "/once/", truncated, 502, 1},
      {"non-idempotent, garbage", "/once/", garbage, 502, 1},
      {"non-idempotent, unverified", "/once/", unverified, 502, 1},
      {"non-idempotent, upstream error", "/once/", error, 500, 1},
      {"non-idempotent, unexplained 503", "/once/", unexplained_503, 502, 1},
      {"non-idempotent, unexplained 429", "/once/", unexplained_429, 502, 1},
      {"non-idempotent, unexplained 408", "/once/", unexplained_408, 502, 1},
      {"non-resumable stream, unexplained 429", "/single/", unexplained_429,
       502, 1},
      {"idempotent, unexplained 429", "/again/", unexplained_429, 200, 2},
      {"non-idempotent, not run", "/once/", not_run, 200, 2},
      {"non-idempotent, misdirected", "/once/", misdirected, 200, 2},
      {"idempotent, reset", "/again/", ResetConnection, 200, 2},
      {"idempotent, truncated", "/again/", truncated, 200, 2},
      {"idempotent, garbage", "/again/", garbage, 200, 2},
      {"idempotent, unverified", "/again/", unverified, 200, 2},
      {"idempotent, upstream error", "/again/", error, 200, 2},
      {"non-resumable stream, reset", "/single/", ResetConnection, 502, 1},
      {"non-resumable stream, not run", "/single/", not_run, 200, 2},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    EdgeFixture fixture;
    fixture.ApplyDesiredState();
    size_t runs = 0;
    auto script = [&](const Caller& caller, const Request& request) {
      if (++runs == 1) {
        row.first(caller, request);
      } else if (request.head.target == "/single/") {
        StreamOk(caller, request);
      } else {
        RespondOk(caller, request);
      }
    };
    fixture.AddUpstream("u1", script);
    fixture.AddUpstream("u2", script);
    auto caller = fixture.Call(EdgeFixture::Request(row.path, "r1", "body"));
    REQUIRE(fixture.RunUntil([&] { return Contains(*caller, "\r\n\r\n"); }));
    CHECK(Contains(*caller, "HTTP/1.1 " + std::to_string(row.status)));
    CHECK(runs == row.runs);
  }
}

TEST_CASE(
    "a response to another call is dropped and not used for the next call") {
  EdgeFixture fixture;
  fixture.ApplyDesiredState();
  fixture.AddUpstream("u1", [](const Caller& caller, const Request& request) {
    Request other = request;
    for (net::HeaderField& field : other.head.fields) {
      if (field.name == "Call-Id") {
        field.value = "someone-else";
      }
    }
    caller->Write(Upstream::Response(other, 200, "foreign"));
    RespondOk(caller, request);
  });
  for (const char* id : {"r1", "r2"}) {
    auto caller = fixture.Call(EdgeFixture::Request("/once/", id));
    REQUIRE(fixture.RunUntil([&] { return Contains(*caller, "done"); }));
    CHECK_FALSE(Contains(*caller, "foreign"));
  }
}

TEST_CASE(
    "an interrupted stream resumes after its last event, in one response") {
  EdgeFixture fixture;
  fixture.ApplyDesiredState();
  int runs = 0;
  auto script = [&](const Caller& caller, const Request& request) {
    caller->Write(Upstream::StreamHead(request));
    if (++runs == 1) {
      caller->Write(Upstream::Chunk(Events(1, 3) + "id: 4\nda"));
      caller->Abort();
      return;
    }
    caller->Write(Upstream::Chunk(Events(4, 6)) + "0\r\n\r\n");
    caller->EndResponse(true);
  };
  Upstream& one = fixture.AddUpstream("u1", script);
  Upstream& two = fixture.AddUpstream("u2", script);
  auto caller = fixture.Call(EdgeFixture::Request("/stream/", "r1"));
  REQUIRE(fixture.RunUntil([&] { return Contains(*caller, "\r\n0\r\n\r\n"); }));
  for (int id = 1; id <= 6; ++id) {
    std::string event = "id: " + std::to_string(id) + "\ndata: x\n\n";
    CHECK(caller->text().find(event) == caller->text().rfind(event));
    CHECK(Contains(*caller, event));
  }
  const Upstream& second = one.requests().size() == 1 ? two : one;
  REQUIRE(one.requests().size() + two.requests().size() == 2);
  const std::string* resume = (second.requests().empty() ? one : second)
                                  .requests()[0]
                                  .head.Find("Resume-After");
  REQUIRE(resume != nullptr);
  CHECK(*resume == "3");
}

// Guards against a partial event from a stream that ended regularly being
// prepended to the events of the resumed stream.
TEST_CASE(
    "a stream that ends mid-event resumes after its last complete event") {
  EdgeFixture fixture;
  fixture.ApplyDesiredState();
  int runs = 0;
  auto script = [&](const Caller& caller, const Request& request) {
    caller->Write(Upstream::StreamHead(request));
    std::string events =
        ++runs == 1 ? Events(1, 3) + "id: 4\nda" : Events(4, 6);
    caller->Write(Upstream::Chunk(events) + "0\r\n\r\n");
    caller->EndResponse(true);
  };
  fixture.AddUpstream("u1", script);
  fixture.AddUpstream("u2", script);
  auto caller = fixture.Call(EdgeFixture::Request("/stream/", "r1"));
  REQUIRE(fixture.RunUntil([&] { return Contains(*caller, "\r\n0\r\n\r\n"); }));
  CHECK_FALSE(Contains(*caller,
                       "id: 4\nda"
                       "id"));
  for (int id = 1; id <= 6; ++id) {
    std::string event = "id: " + std::to_string(id) + "\ndata: x\n\n";
    CHECK(Contains(*caller, event));
    CHECK(caller->text().find("id: " + std::to_string(id)) ==
          caller->text().rfind("id: " + std::to_string(id)));
  }
}

// Guards against ending a stream as complete after it broke off and its
// resumption failed with an error response.
TEST_CASE("a stream that cannot be resumed is not ended as complete") {
  EdgeFixture fixture;
  fixture.ApplyDesiredState();
  int runs = 0;
  auto script = [&](const Caller& caller, const Request& request) {
    if (++runs == 1) {
      caller->Write(Upstream::StreamHead(request));
      caller->Write(Upstream::Chunk(Events(1, 3)));
      caller->Abort();
      return;
    }
    caller->Write(Upstream::Response(request, 500, "bad"));
    caller->EndResponse(true);
  };
  fixture.AddUpstream("u1", script);
  fixture.AddUpstream("u2", script);
  auto caller = fixture.Call(EdgeFixture::Request("/stream/", "r1"));
  REQUIRE(fixture.RunUntil([&] { return caller->closed(); }));
  CHECK(Contains(*caller, "id: 3\n"));
  CHECK_FALSE(Contains(*caller, "\r\n0\r\n\r\n"));
  CHECK_FALSE(Contains(*caller, "bad"));
}

TEST_CASE(
    "a stream truncated in the middle of an event is not ended as complete") {
  EdgeFixture fixture;
  fixture.ApplyDesiredState();
  fixture.AddUpstream("u1", [](const Caller& caller, const Request& request) {
    caller->Write(Upstream::StreamHead(request));
    caller->Write(Upstream::Chunk(Events(1, 1) + "id: 2\n") + "0\r\n\r\n");
    caller->EndResponse(true);
  });
  auto caller = fixture.Call(EdgeFixture::Request("/single/", "r1"));
  REQUIRE(fixture.RunUntil([&] { return caller->closed(); }));
  CHECK_FALSE(Contains(*caller, "id: 2"));
  CHECK_FALSE(Contains(*caller, "\r\n0\r\n\r\n"));
}

TEST_CASE("a call gets a 504 response when the route's timeout expires") {
  struct Row {
    const char* path;
    const char* status_line;
  };
  for (const Row& row :
       {Row{"/once/", "HTTP/1.1 504"}, Row{"/single/", "HTTP/1.1 504"}}) {
    INFO(row.path);
    EdgeFixture fixture;
    fixture.ApplyDesiredState(1, Millis(200));
    Upstream& upstream =
        fixture.AddUpstream("u1", [](const Caller&, const Request&) {});
    Instant started_at = fixture.loop.Now();
    auto caller = fixture.Call(EdgeFixture::Request(row.path, "r1"));
    REQUIRE(fixture.RunUntil([&] { return Contains(*caller, "\r\n\r\n"); }));
    CHECK(Contains(*caller, row.status_line));
    CHECK(fixture.loop.Now() - started_at < Millis(450));
    CHECK(fixture.RunUntil([&] { return upstream.disconnects() == 1; }));
  }
}

TEST_CASE("a started stream may outlast the route's timeout") {
  EdgeFixture fixture;
  fixture.ApplyDesiredState(1, Millis(150));
  net::Timer delay_timer(&fixture.loop);
  fixture.AddUpstream("u1", [&](const Caller& caller, const Request& request) {
    caller->Write(Upstream::StreamHead(request) +
                  Upstream::Chunk(Events(1, 1)));
    delay_timer.Set(Millis(300), [caller] {
      caller->Write(Upstream::Chunk(Events(2, 2)) + "0\r\n\r\n");
      caller->EndResponse(true);
    });
  });
  auto caller = fixture.Call(
      EdgeFixture::Request("/single/", "r1", "", "Patience: 3000\r\n"));
  REQUIRE(fixture.RunUntil([&] { return Contains(*caller, "\r\n0\r\n\r\n"); }));
  CHECK(Contains(*caller, "id: 2"));
}

TEST_CASE(
    "a caller's disconnect cancels the call unless it is non-idempotent") {
  struct Row {
    const char* path;
    int cancelled;
  };
  for (const Row& row : {Row{"/again/", 1}, Row{"/stream/", 1},
                         Row{"/single/", 1}, Row{"/once/", 0}}) {
    INFO(row.path);
    EdgeFixture fixture;
    fixture.ApplyDesiredState();
    net::Timer delay_timer(&fixture.loop);
    bool has_responded = false;
    Upstream& upstream = fixture.AddUpstream(
        "u1", [&](const Caller& caller, const Request& request) {
          delay_timer.Set(Millis(300), [&has_responded, caller, request] {
            has_responded = true;
            RespondOk(caller, request);
          });
        });
    auto caller = fixture.Call(EdgeFixture::Request(row.path, "r1"));
    REQUIRE(fixture.RunUntil([&] { return upstream.requests().size() == 1; }));
    caller->Close();
    fixture.RunUntil(
        [&] { return upstream.disconnects() == 1 || has_responded; });
    CHECK(upstream.disconnects() == row.cancelled);
    CHECK(has_responded == (row.cancelled == 0));
  }
}

// Guards against a leak of half-open breaker probes: a probe whose caller
// disconnected was never released, and two of them blocked a healthy upstream
// permanently.
TEST_CASE("disconnecting callers release the breaker's half-open probes") {
  EdgeFixture fixture;
  fixture.ApplyDesiredState();
  bool is_responding = false;
  Upstream& upstream = fixture.AddUpstream(
      "u1", [&](const Caller& caller, const Request& request) {
        if (is_responding) {
          RespondOk(caller, request);
        }
      });
  auto known = fixture.node->registry().Find(UpstreamId("u1"));
  for (int i = 0; i < 3; ++i) {
    known->breaker.OnFailure(fixture.loop.Now());
  }
  REQUIRE(fixture.RunUntil([&] {
    fixture.loop.RunUntil([] { return false; }, Millis(20));
    return known->breaker.StateAt(fixture.loop.Now()) ==
           admission::BreakerState::kHalfOpen;
  }));
  for (size_t i = 1; i <= 2; ++i) {
    auto caller =
        fixture.Call(EdgeFixture::Request("/again/", "r" + std::to_string(i)));
    REQUIRE(fixture.RunUntil([&] { return upstream.requests().size() == i; }));
    caller->Close();
    REQUIRE(fixture.RunUntil(
        [&] { return upstream.disconnects() == static_cast<int>(i); }));
  }
  is_responding = true;
  auto caller = fixture.Call(EdgeFixture::Request("/again/", "r3"));
  REQUIRE(fixture.RunUntil([&] { return Contains(*caller, "\r\n\r\n"); }));
  CHECK(Contains(*caller, "HTTP/1.1 200"));
}

TEST_CASE(
    "an invalid request gets one error response and a closed connection") {
  EdgeFixture fixture;
  fixture.ApplyDesiredState();
  Upstream& upstream = fixture.AddUpstream("u1", RespondOk);
  struct Row {
    std::string text;
    const char* status_line;
  };
  const std::vector<Row> rows = {
      {"POST /once/ HTTP/1.1\r\nHost: host\r\nCall-Id: a\r\nContent-Length: "
       "1\r\nContent-Length: 2\r\n\r\nab",
       "HTTP/1.1 400"},
      {"POST /once/ HTTP/1.1\r\nHost: host\r\nContent-Length: 0\r\n\r\n",
       "HTTP/1.1 400"},
      {"POST /once/ HTTP/1.1\r\nHost: host\r\nCall-Id: a\r\nCall-Id: "
       "b\r\nContent-Length: 0\r\n\r\n",
       "HTTP/1.1 400"},
      {"GET /" + std::string(20'000, 'a') + " HTTP/1.1\r\n\r\n",
       "HTTP/1.1 431"},
      {"POST /once/ HTTP/1.1\r\nHost: host\r\nCall-Id: a\r\nContent-Length: "
       "99999999\r\n\r\n",
       "HTTP/1.1 413"},
  };
  for (const Row& row : rows) {
    INFO(row.text.substr(0, 100));
    auto caller = fixture.Call(row.text);
    REQUIRE(fixture.RunUntil([&] { return caller->closed(); }));
    CHECK(Contains(*caller, row.status_line));
    CHECK(caller->text().find("HTTP/1.1") == caller->text().rfind("HTTP/1.1"));
  }
  CHECK(upstream.requests().empty());
}

TEST_CASE(
    "a call in a region without upstreams is forwarded to another region") {
  EdgeFixture local("south");
  EdgeFixture remote("north");
  local.ApplyDesiredState();
  remote.ApplyDesiredState();
  Upstream& upstream = remote.AddUpstream("u1", RespondOk);
  flow::Heartbeat heartbeat;
  heartbeat.from.id = InstanceId("far");
  heartbeat.from.region = RegionId("north");
  heartbeat.from.peer_address = remote.node->peer_endpoint().Text();
  heartbeat.from.incarnation = 1;
  heartbeat.sequence = 1;
  heartbeat.service_capacities[ServiceName("service")] = {1, Micros(0), 50, 0,
                                                          0};
  local.node->fleet().OnHeartbeat(heartbeat, local.loop.Now());
  auto caller = local.Call(EdgeFixture::Request("/once/", "r1", "hello"));
  REQUIRE(local.RunUntil([&] {
    remote.loop.RunUntil([] { return false; }, Millis(2));
    return Contains(*caller, "done");
  }));
  REQUIRE(upstream.requests().size() == 1);
  CHECK(upstream.requests()[0].body == "hello");
  CHECK(upstream.requests()[0].head.Find(kHopHeader) == nullptr);
  // With no upstream in the remote region either, its rejection is forwarded.
  remote.node->registry().Remove(UpstreamId("u1"));
  auto refused = local.Call(EdgeFixture::Request("/once/", "r2"));
  REQUIRE(local.RunUntil([&] {
    remote.loop.RunUntil([] { return false; }, Millis(2));
    return Contains(*refused, "\r\n\r\n");
  }));
  CHECK(Contains(*refused, "HTTP/1.1 503"));
  CHECK(Contains(*refused, "Retry-After"));
}

// Guards against retries at two levels: the instance that a call was forwarded
// to retried it, and the forwarding instance retried it again.
TEST_CASE("retries in all regions together stay within the route's limit") {
  EdgeFixture local("south");
  EdgeFixture remote("north");
  local.ApplyDesiredState();
  remote.ApplyDesiredState();
  size_t runs = 0;
  for (const char* id : {"u1", "u2", "u3", "u4"}) {
    remote.AddUpstream(id, [&](const Caller& caller, const Request&) {
      ++runs;
      caller->Abort();
    });
  }
  for (const char* region : {"north", "east"}) {
    flow::Heartbeat heartbeat;
    heartbeat.from.id = InstanceId(std::string("far-") + region);
    heartbeat.from.region = RegionId(region);
    heartbeat.from.peer_address = remote.node->peer_endpoint().Text();
    heartbeat.from.incarnation = 1;
    heartbeat.sequence = 1;
    heartbeat.service_capacities[ServiceName("service")] = {4, Micros(0), 50, 0,
                                                            0};
    local.node->fleet().OnHeartbeat(heartbeat, local.loop.Now());
  }
  auto caller = local.Call(EdgeFixture::Request("/again/", "r1"));
  REQUIRE(local.RunUntil([&] {
    remote.loop.RunUntil([] { return false; }, Millis(2));
    return Contains(*caller, "\r\n\r\n");
  }));
  CHECK(Contains(*caller, "HTTP/1.1 502"));
  CHECK(runs == 2);
}

TEST_CASE("a drain lets calls in flight finish and announces the close") {
  EdgeFixture fixture;
  fixture.ApplyDesiredState();
  net::Timer delay_timer(&fixture.loop);
  fixture.AddUpstream("u1", [&](const Caller& caller, const Request& request) {
    delay_timer.Set(Millis(300),
                    [caller, request] { RespondOk(caller, request); });
  });
  auto caller = fixture.Call(EdgeFixture::Request("/once/", "r1"));
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.upstreams[0]->requests().size() == 1; }));
  bool is_drained = false;
  fixture.node->BeginDrain([&] { is_drained = true; });
  CHECK_FALSE(fixture.node->IsReady());
  REQUIRE(fixture.RunUntil([&] { return Contains(*caller, "done"); }));
  CHECK(Contains(*caller, "Connection: close"));
  CHECK_FALSE(is_drained);
  CHECK(fixture.RunUntil([&] { return is_drained; }));
}

TEST_CASE("a drain does not cut a request that is still arriving") {
  EdgeFixture fixture;
  fixture.ApplyDesiredState();
  fixture.AddUpstream("u1", RespondOk);
  bool is_drained = false;
  bool is_answered_first = false;
  fixture.node->BeginDrain([&] { is_drained = true; });
  std::string request = EdgeFixture::Request("/once/", "r1", "body");
  std::unique_ptr<RawCaller> caller;
  net::Timer begin(&fixture.loop);
  net::Timer end(&fixture.loop);
  // Calls are rejected from 3 s on; the instance may exit from then on, too.
  begin.Set(Millis(2900), [&] {
    caller = fixture.Call(request.substr(0, request.size() - 2));
  });
  end.Set(Millis(3200),
          [&] { caller->Send(request.substr(request.size() - 2)); });
  REQUIRE(fixture.RunUntil([&] {
    is_answered_first |=
        !is_drained && caller != nullptr && Contains(*caller, "HTTP/1.1 503");
    return is_drained;
  }));
  CHECK(is_answered_first);
}

TEST_CASE("hop headers and heartbeats round-trip through their encoding") {
  HopParams hop;
  hop.service = ServiceName("s");
  hop.kind = flow::CallKind::kStream;
  hop.is_resumable = true;
  hop.priority = 3;
  hop.time_left = Millis(1);
  hop.response_time_left = Millis(2);
  hop.target_left = Millis(-3);
  hop.event_interval_target = Millis(4);
  hop.is_last_hop = true;
  hop.is_resumed = true;
  hop.suggested_upstream = UpstreamId("u-1");
  auto read = ParseHopHeader(FormatHopHeader(hop));
  REQUIRE(read);
  CHECK(FormatHopHeader(*read) == FormatHopHeader(hop));
  CHECK(read->time_left == Millis(1));
  CHECK(read->response_time_left == Millis(2));
  CHECK(read->target_left == Millis(-3));
  CHECK(read->event_interval_target == Millis(4));
  CHECK(read->is_last_hop);
  CHECK(read->is_resumed);
  CHECK_FALSE(read->can_sender_retry);
  CHECK(read->suggested_upstream == UpstreamId("u-1"));
  for (const char* bad : {"", "s", "s 9 0 0 1 1 1 1", "s x"}) {
    CHECK_FALSE(ParseHopHeader(bad));
  }
  flow::Heartbeat heartbeat;
  heartbeat.from.id = InstanceId("i");
  heartbeat.from.region = RegionId("r");
  heartbeat.sequence = 7;
  heartbeat.upstreams[flow::ShortIdOf(UpstreamId("u"))] = {
      {1, 2, 3}, 4000, false};
  heartbeat.relayed = {"other", ""};
  heartbeat.catalog_position = {flow::CatalogEra(2), 9};
  heartbeat.catalog_age = Millis(12);
  heartbeat.cache_updates.push_back(
      {flow::ShortIdOf(UpstreamId("u")), {{1, 2}, {3, 4}}});
  heartbeat.service_capacities[ServiceName("s")] = {2, Micros(3), 50, 4, 0.5};
  auto decoded = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  REQUIRE(decoded);
  CHECK(EncodeHeartbeat(*decoded) == EncodeHeartbeat(heartbeat));
  CHECK_FALSE(IsCatalogDatagram(EncodeHeartbeat(heartbeat)));
  CHECK(decoded->relayed == heartbeat.relayed);
  CHECK(decoded->catalog_position == heartbeat.catalog_position);
  const auto& report = decoded->upstreams.at(flow::ShortIdOf(UpstreamId("u")));
  CHECK(report.load.reserved_tokens == 3);
  CHECK(report.time_per_token_us == 4000);
  CHECK_FALSE(report.is_accepting);
  CHECK(decoded->service_capacities.at(ServiceName("s")).failure_rate == 0.5);
  std::string bytes = EncodeHeartbeat(heartbeat);
  Random random(5);
  for (int i = 0; i < 3000; ++i) {
    std::string broken = bytes;
    broken[random.Below(broken.size())] = static_cast<char>(random.Below(256));
    broken.resize(random.Below(broken.size()) + 1);
    DecodeHeartbeat(broken);
  }
}

}  // namespace
}  // namespace basilvalve::edge
