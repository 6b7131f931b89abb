// Upstreams that say they are leaving, or ask for a pause.
#include <catch2/catch.hpp>

#include "Core/Edge/heartbeat_codec.h"
#include "Core/Edge/hop_header.h"
#include "UnitTests/Core/Edge/edge_fixture.h"
#include "UnitTests/Core/Net/busy_listener.h"

namespace basilvalve::edge {
namespace {

using Upstream = ScriptedUpstream;
using Caller = net::ServerConnection::Ptr;
using Request = net::ServerRequest;

const std::string kLeaving = "Leaving: 1\r\n";
const std::string kRefusal = "Not-Run: 1\r\n";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

void Serve(const Caller& caller, const Request& request) {
  if (request.head.target.starts_with("/stream/")) {
    caller->Write(Upstream::StreamHead(request) + Upstream::Chunk(Event(1)) +
                  "0\r\n\r\n");
  } else {
    caller->Write(Upstream::Response(request, 200, "done"));
  }
  caller->EndResponse(true);
}

// Refuses each call, wanting none for the time.
Upstream::Script Pause(Millis pause) {
  return [pause](const Caller& caller, const Request& request) {
    caller->Write(Upstream::Response(
        request, 503, "",
        kRefusal + "Pause-Ms: " + std::to_string(pause.count()) + "\r\n"));
    caller->EndResponse(true);
  };
}

// The Retry-After of a response; zero if it has none.
Millis RetryAfter(const std::string& text) {
  const std::string name = "Retry-After: ";
  size_t at = text.find(name);
  return at == std::string::npos
             ? Millis(0)
             : Millis(static_cast<int64_t>(
                   std::stod(text.substr(at + name.size())) * 1000));
}

struct NoticeFixture : EdgeFixture {
  explicit NoticeFixture(
      const flow::FleetRetryBudgetSettings& retries = {0.2, 50, Seconds(10)})
      : EdgeFixture("north", net::TimeSource::kVirtual, retries) {
    ApplyDesiredState(1, Millis(4000));
  }

  // Sends a call and returns the whole response.
  std::string Ask(const std::string& path, const std::string& extra = "") {
    return AskAt(node->public_endpoint(), path, extra);
  }
  // A call as from another instance, which has chosen this one.
  std::string AskAsPeer(const std::string& path) {
    HopParams hop;
    hop.service = ServiceName("service");
    hop.kind = flow::CallKind::kIdempotent;
    hop.time_left = hop.response_time_left = Millis(4000);
    hop.target_left = Millis(1000);
    hop.is_last_hop = true;
    return AskAt(
        node->peer_endpoint(), path,
        std::string(kHopHeader) + ": " + FormatHopHeader(hop) + "\r\n");
  }
  std::string AskAt(const net::Endpoint& to, const std::string& path,
                    const std::string& extra) {
    auto caller = std::make_unique<RawCaller>(&loop, to);
    caller->Send(Request(path, "r" + std::to_string(++calls_), "",
                         extra + "Connection: close\r\n"));
    CHECK(RunUntil([&] { return caller->closed(); }));
    return caller->text();
  }
  void Wait(Millis time) {
    loop.RunUntil([] { return false; }, time);
  }
  flow::Upstream& Find(const char* id) {
    return *node->registry().Find(UpstreamId(id));
  }
  bool HasMetric(const std::string& line) {
    return Contains(node->metrics().Text(), line);
  }

 private:
  int calls_ = 0;
};

// Another instance of the region, on the same loop.
struct Neighbour {
  explicit Neighbour(NoticeFixture* fixture) {
    EdgeSettings settings;
    settings.self.id = InstanceId("neighbour");
    settings.self.data_centre = flow::DataCentreId("zone");
    settings.self.region = RegionId("north");
    settings.public_address = {"127.0.0.1", 0};
    settings.peer_address = {"127.0.0.1", 0};
    node = std::move(
        *EdgeNode::Create(&fixture->loop, settings, &fixture->dialect));
    Introduce(fixture->node.get(), *node);
    Introduce(node.get(), *fixture->node);
    now = [fixture] { return fixture->loop.Now(); };
  }
  void Add(const flow::UpstreamRecord& record) {
    node->registry().Upsert(record, now());
  }
  bool MaySendTo(const char* id) {
    return node->registry().CanSendTo(*node->registry().Find(UpstreamId(id)),
                                      now());
  }
  static void Introduce(EdgeNode* to, const EdgeNode& other) {
    flow::InstanceRecord record = other.settings().self;
    record.peer_address = other.peer_endpoint().Text();
    record.incarnation = 1;
    to->fleet().Register(record, Instant());
    to->UpdateDispatchers();
  }

  std::unique_ptr<EdgeNode> node;
  std::function<Instant()> now;
};

TEST_CASE("an upstream that says it is leaving gets no more calls") {
  struct Row {
    const char* name;
    const char* path;
    std::string (*respond)(const Request& request);
    bool is_told;
  };
  const std::vector<Row> rows = {
      {"success", "/again/",
       [](const Request& r) {
         return Upstream::Response(r, 200, "done", kLeaving);
       },
       true},
      {"error", "/once/",
       [](const Request& r) {
         return Upstream::Response(r, 500, "", kLeaving);
       },
       true},
      {"refusal", "/once/",
       [](const Request& r) {
         return Upstream::Response(r, 503, "", kRefusal + kLeaving);
       },
       true},
      {"unproven", "/once/",
       [](const Request& r) {
         return "HTTP/1.1 200 OK\r\nCall-Id: " + *r.head.Find("Call-Id") +
                "\r\n" + kLeaving + "Content-Length: 0\r\n\r\n";
       },
       true},
      {"stream", "/stream/",
       [](const Request& r) {
         std::string head = Upstream::StreamHead(r);
         return head.substr(0, head.size() - 2) + kLeaving + "\r\n" +
                Upstream::Chunk(Event(1)) + "0\r\n\r\n";
       },
       true},
      {"a late answer to another call before it", "/again/",
       [](const Request& r) {
         return "HTTP/1.1 200 OK\r\nCall-Id: other\r\nProof: p\r\n" + kLeaving +
                "Content-Length: 0\r\n\r\n" + Upstream::Response(r, 200, "");
       },
       true},
      {"no word", "/again/",
       [](const Request& r) { return Upstream::Response(r, 200, "done"); },
       false},
      {"interim response", "/again/",
       [](const Request& r) {
         return "HTTP/1.1 103 Early Hints\r\n" + kLeaving + "\r\n" +
                Upstream::Response(r, 200, "done");
       },
       false},
      {"trailer", "/again/",
       [](const Request& r) {
         return Upstream::StreamHead(r) + Upstream::Chunk("done") + "0\r\n" +
                kLeaving + "\r\n";
       },
       false},
      {"misdirected", "/again/",
       [](const Request& r) {
         return Upstream::Response(r, 421, "", kLeaving);
       },
       false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    NoticeFixture fixture;
    fixture.AddUpstream("u1", [&](const Caller& caller, const Request& r) {
      caller->Write(row.respond(r));
      caller->EndResponse(true);
    });
    std::string text = fixture.Ask(row.path);
    CHECK_FALSE(Contains(text, "Leaving"));
    CHECK(fixture.Find("u1").notice->IsLeaving() == row.is_told);
    Upstream& other = fixture.AddUpstream("u2", Serve);
    for (int i = 0; i < 10; ++i) {
      CHECK(Contains(fixture.Ask("/again/"), "HTTP/1.1 200"));
    }
    if (row.is_told) {
      CHECK(fixture.upstreams[0]->requests().size() == 1);
      CHECK(other.requests().size() == 10);
      CHECK(fixture.HasMetric(
          "basilvalve_edge_upstream_notices_total{change=\"leaving\","
          "source=\"response\"} 1"));
    }
  }
}

TEST_CASE("calls under way at an upstream that begins to leave go on") {
  NoticeFixture fixture;
  net::Timer timer(&fixture.loop);
  Caller stream;
  Upstream& leaving =
      fixture.AddUpstream("u1", [&](const Caller& caller, const Request& r) {
        if (r.head.target.starts_with("/stream/")) {
          stream = caller;
          caller->Write(Upstream::StreamHead(r) + Upstream::Chunk(Event(1)));
          return;
        }
        caller->Write(Upstream::Response(r, 200, "done", kLeaving));
        caller->EndResponse(true);
      });
  auto caller = fixture.Call(EdgeFixture::Request("/stream/", "s1"));
  REQUIRE(fixture.RunUntil([&] { return Contains(caller->text(), Event(1)); }));
  CHECK(Contains(fixture.Ask("/again/"), "done"));
  Upstream& other = fixture.AddUpstream("u2", Serve);
  CHECK(Contains(fixture.Ask("/stream/"), "HTTP/1.1 200"));
  stream->Write(Upstream::Chunk(Event(2)) + "0\r\n\r\n");
  stream->EndResponse(true);
  CHECK(
      fixture.RunUntil([&] { return Contains(caller->text(), "0\r\n\r\n"); }));
  CHECK(Contains(caller->text(), Event(2)));
  CHECK(leaving.disconnects() == 0);
  CHECK(leaving.requests().size() == 2);
  CHECK(other.requests().size() == 1);
}

// Guards against BUDGET: requests reach an upstream that asked for a pause.
TEST_CASE("a pause binds every path to the upstream, and no longer") {
  constexpr Millis kPause{3000};
  struct Row {
    const char* name;
    // Tries to send to u1 while it pauses.
    void (*run)(NoticeFixture* fixture);
  };
  const std::vector<Row> rows = {
      {"first send",
       [](NoticeFixture* f) {
         CHECK(Contains(f->Ask("/once/"), "HTTP/1.1 503"));
       }},
      {"call from another instance",
       [](NoticeFixture* f) {
         std::string text = f->AskAsPeer("/again/");
         CHECK(Contains(text, "Basilvalve-Outcome: not-run"));
         CHECK(Contains(text, "Basilvalve-Unsent: 1"));
       }},
      {"retry",
       [](NoticeFixture* f) {
         f->AddUpstream("u2", [](const Caller& caller, const Request& r) {
           caller->Write(Upstream::Response(r, 500, ""));
           caller->EndResponse(true);
         });
         f->Ask("/again/");
         CHECK(f->upstreams[1]->requests().size() == 2);
       }},
      {"resumed stream",
       [](NoticeFixture* f) {
         f->AddUpstream("u2", [](const Caller& caller, const Request& r) {
           caller->Write(Upstream::StreamHead(r) + Upstream::Chunk(Event(1)));
           caller->Abort();
         });
         f->Ask("/stream/");
         CHECK(f->upstreams[1]->requests().size() == 1);
       }},
      {"probe of a half-open breaker",
       [](NoticeFixture* f) {
         for (int i = 0; i < 3; ++i) {
           f->Find("u1").breaker.OnFailure(f->loop.Now());
         }
         f->Wait(Millis(1500));
         CHECK(f->Find("u1").breaker.Allows(f->loop.Now()));
         f->Ask("/again/");
       }},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    NoticeFixture fixture;
    bool is_pausing = true;
    Upstream& upstream =
        fixture.AddUpstream("u1", [&](const Caller& caller, const Request& r) {
          (is_pausing ? Pause(kPause) : Upstream::Script(Serve))(caller, r);
        });
    std::string text = fixture.Ask("/once/");
    Instant paused_at = fixture.loop.Now();
    CHECK(Contains(text, "HTTP/1.1 503"));
    CHECK_FALSE(Contains(text, "Pause-Ms"));
    CHECK(RetryAfter(text) > kPause - Millis(100));
    REQUIRE(upstream.requests().size() == 1);
    row.run(&fixture);
    CHECK(upstream.requests().size() == 1);
    is_pausing = false;
    fixture.Wait(
        std::chrono::floor<Millis>(paused_at + kPause - fixture.loop.Now()) -
        Millis(10));
    fixture.Ask("/once/");
    CHECK(upstream.requests().size() == 1);
    fixture.Wait(Millis(20));
    fixture.node->registry().Remove(UpstreamId("u2"));
    CHECK(Contains(fixture.Ask("/once/"), "HTTP/1.1 200"));
    CHECK(upstream.requests().size() == 2);
  }
}

TEST_CASE("a service that pauses as a whole is refused truthfully at once") {
  NoticeFixture fixture;
  fixture.AddUpstream("u1", Pause(Millis(9000)));
  fixture.AddUpstream("u2", Pause(Millis(5000)));
  while (fixture.upstreams[0]->requests().empty() ||
         fixture.upstreams[1]->requests().empty()) {
    fixture.Ask("/again/");
  }
  Instant end = fixture.Find("u2").notice->paused_until();
  std::set<Millis> times;
  for (int i = 0; i < 20; ++i) {
    Instant before = fixture.loop.Now();
    std::string text = fixture.Ask("/again/");
    CHECK(Contains(text, "HTTP/1.1 503"));
    CHECK(fixture.loop.Now() - before < Millis(50));
    // Rounding aside, neither before the first upstream is back nor later than
    // as long again.
    CHECK(RetryAfter(text) >= end - fixture.loop.Now() - Millis(2));
    CHECK(RetryAfter(text) <= 2 * (end - before) + Millis(2));
    times.insert(RetryAfter(text));
  }
  CHECK(times.size() > 10);
  CHECK(fixture.upstreams[0]->requests().size() == 1);
  CHECK(fixture.upstreams[1]->requests().size() == 1);
}

// Guards against a herd: the callers whose calls began the pause are told to
// come back at once.
TEST_CASE("a refusal that cannot be retried passes the pause on") {
  NoticeFixture fixture({0, 0, Seconds(10)});
  Upstream& upstream = fixture.AddUpstream("u1", Pause(Millis(5000)));
  std::string text = fixture.Ask("/again/");
  CHECK(Contains(text, "HTTP/1.1 503"));
  CHECK(RetryAfter(text) >= Millis(4900));
  CHECK(RetryAfter(text) <= Millis(10'002));
  CHECK(upstream.requests().size() == 1);
}

// Guards against DRAIN: a call waits for its connection while the upstream says
// that it is leaving, and is then sent.
TEST_CASE("a call not sent yet is taken back from an upstream that leaves") {
  for (bool is_registered : {false, true}) {
    INFO((is_registered ? "registration" : "heartbeat"));
    NoticeFixture fixture;
    net::BusyListener busy;
    Upstream& upstream = fixture.AddUpstream("u1", Serve);
    flow::UpstreamRecord record = upstream.Record(ServiceName("service"));
    record.port = busy.port();
    fixture.node->registry().Upsert(record, fixture.loop.Now());
    auto caller = fixture.Call(EdgeFixture::Request("/once/", "r1"));
    REQUIRE(fixture.RunUntil(
        [&] { return fixture.HasMetric("sends_total{where=\"here\"} 1"); }));
    Upstream& other = fixture.AddUpstream("u2", Serve);
    flow::Heartbeat heartbeat;
    heartbeat.from.id = InstanceId("neighbour");
    heartbeat.from.region = RegionId("north");
    heartbeat.from.incarnation = 1;
    heartbeat.sequence = 1;
    heartbeat.leaving = {{flow::ShortIdOf(record.id), 0, Millis(20)}};
    auto socket = net::DatagramSocket::Create(&fixture.loop, {"127.0.0.1", 0},
                                              [](std::string_view) {});
    REQUIRE(socket);
    Instant told_at = fixture.loop.Now();
    if (is_registered) {
      record.is_draining = true;
      fixture.node->registry().Upsert(record, told_at);
    } else {
      REQUIRE((*socket)->Send(fixture.node->peer_endpoint(),
                              EncodeHeartbeat(heartbeat)));
    }
    CHECK(fixture.RunUntil([&] { return Contains(caller->text(), "done"); }));
    CHECK(fixture.loop.Now() - told_at < Millis(100));
    CHECK(other.requests().size() == 1);
    CHECK(fixture.HasMetric("basilvalve_edge_withdrawn_total 1"));
    CHECK(fixture.HasMetric(
        is_registered ? "{change=\"leaving\",source=\"registration\"} 1"
                      : "{change=\"leaving\",source=\"instance\"} 1"));
  }
}

// Guards against a 502 for a call that no upstream was sent.
TEST_CASE("a call taken back without another place is refused as not run") {
  NoticeFixture fixture;
  net::BusyListener busy;
  Upstream& upstream = fixture.AddUpstream("u1", Serve);
  flow::UpstreamRecord record = upstream.Record(ServiceName("service"));
  record.port = busy.port();
  fixture.node->registry().Upsert(record, fixture.loop.Now());
  auto caller = fixture.Call(EdgeFixture::Request("/once/", "r1"));
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.HasMetric("sends_total{where=\"here\"} 1"); }));
  record.is_draining = true;
  fixture.node->registry().Upsert(record, fixture.loop.Now());
  CHECK(fixture.RunUntil([&] { return Contains(caller->text(), "\r\n\r\n"); }));
  CHECK(Contains(caller->text(), "HTTP/1.1 503"));
  CHECK(upstream.requests().empty());
}

TEST_CASE(
    "the instances of a region tell each other who leaves, not who pauses") {
  for (bool is_leaving : {true, false}) {
    INFO(is_leaving);
    NoticeFixture fixture;
    Upstream& upstream =
        fixture.AddUpstream("u1", [&](const Caller& caller, const Request& r) {
          if (!is_leaving) {
            Pause(Millis(3000))(caller, r);
            return;
          }
          caller->Write(Upstream::Response(r, 200, "done", kLeaving));
          caller->EndResponse(true);
        });
    Neighbour neighbour(&fixture);
    neighbour.Add(upstream.Record(ServiceName("service")));
    fixture.Wait(Millis(1000));
    REQUIRE(neighbour.MaySendTo("u1"));
    fixture.Ask("/once/");
    fixture.Wait(Millis(500));
    CHECK_FALSE(fixture.node->registry().CanSendTo(fixture.Find("u1"),
                                                   fixture.loop.Now()));
    CHECK(neighbour.MaySendTo("u1") == !is_leaving);
    // The pause ends, also for an instance that gets its role back.
    fixture.Wait(Millis(3000));
    CHECK(fixture.node->registry().CanSendTo(
              fixture.Find("u1"), fixture.loop.Now()) == !is_leaving);
  }
}

TEST_CASE("a report on an earlier process says nothing about its successor") {
  NoticeFixture fixture;
  Upstream& upstream = fixture.AddUpstream("u1", Serve);
  flow::UpstreamRecord record = upstream.Record(ServiceName("service"));
  record.started_at_ms = 18;
  Neighbour neighbour(&fixture);
  neighbour.Add(record);
  record.started_at_ms = 17;
  fixture.node->registry().Upsert(record, fixture.loop.Now());
  fixture.Find("u1").notice->OnLeaving(flow::NoticeSource::kResponse,
                                       fixture.loop.Now());
  fixture.Wait(Millis(1000));
  CHECK(neighbour.MaySendTo("u1"));
}

TEST_CASE(
    "an answer of the process before a restart says nothing about the next") {
  NoticeFixture fixture;
  Caller waiting;
  std::string answer;
  Upstream& upstream =
      fixture.AddUpstream("u1", [&](const Caller& caller, const Request& r) {
        if (waiting) {
          Serve(caller, r);
          return;
        }
        waiting = caller;
        answer = Upstream::Response(r, 200, "last", kLeaving);
      });
  flow::UpstreamRecord record = upstream.Record(ServiceName("service"));
  record.started_at_ms = 17;
  fixture.node->registry().Upsert(record, fixture.loop.Now());
  auto caller = fixture.Call(EdgeFixture::Request("/once/", "r0"));
  REQUIRE(fixture.RunUntil([&] { return waiting != nullptr; }));
  record.started_at_ms = 18;
  fixture.node->registry().Upsert(record, fixture.loop.Now());
  waiting->Write(answer);
  waiting->EndResponse(true);
  CHECK(fixture.RunUntil([&] { return Contains(caller->text(), "last"); }));
  CHECK(Contains(fixture.Ask("/once/"), "done"));
  CHECK(upstream.requests().size() == 2);
}

TEST_CASE("a restarted instance knows nothing of leaving and pauses") {
  NoticeFixture fixture;
  Upstream& upstream = fixture.AddUpstream("u1", Pause(Millis(3000)));
  fixture.Ask("/once/");
  fixture.Ask("/once/");
  CHECK(upstream.requests().size() == 1);
  Neighbour restarted(&fixture);
  restarted.Add(upstream.Record(ServiceName("service")));
  CHECK(restarted.MaySendTo("u1"));
}

TEST_CASE(
    "the answer of a hop tells the sender who leaves, the caller nothing") {
  NoticeFixture fixture;
  fixture.AddUpstream("u1", [](const Caller& caller, const Request& r) {
    caller->Write(Upstream::Response(
        r, 200, "done",
        kLeaving +
            "Basilvalve-Leaving: u2 0\r\nBasilvalve-Outcome: unknown\r\n"));
    caller->EndResponse(true);
  });
  std::string text = fixture.AskAsPeer("/again/");
  CHECK(Contains(text, "Basilvalve-Leaving: u1 0\r\n"));
  // What an upstream forges is dropped.
  CHECK_FALSE(Contains(text, "u2"));
  CHECK_FALSE(Contains(text, "Basilvalve-Outcome"));
  // The sender's side.
  NoticeFixture sender;
  sender.AddUpstream("u1", Serve);
  flow::UpstreamRegistry& registry = sender.node->registry();
  EdgeMetrics metrics;
  int told = 0;
  NoticeRecorder recorder(&registry, &metrics,
                          [&](const UpstreamId&) { ++told; });
  for (const char* malformed : {"", "u1", "u1 x", "u1 0 1", "u9 0"}) {
    recorder.OnHopLeaving(malformed, sender.loop.Now());
    CHECK_FALSE(sender.Find("u1").notice->IsLeaving());
  }
  recorder.OnHopLeaving("u1 0", sender.loop.Now());
  recorder.OnHopLeaving("u1 0", sender.loop.Now());
  CHECK(sender.Find("u1").notice->IsLeaving());
  CHECK(told == 1);
}

TEST_CASE("an instance that passed a call on learns that the upstream leaves") {
  NoticeFixture fixture;
  Upstream& upstream =
      fixture.AddUpstream("u1", [](const Caller& caller, const Request& r) {
        std::string head = Upstream::StreamHead(r);
        caller->Write(head.substr(0, head.size() - 2) + kLeaving + "\r\n" +
                      Upstream::Chunk(Event(1)) + "0\r\n\r\n");
        caller->EndResponse(true);
      });
  Neighbour owner(&fixture);
  owner.Add(upstream.Record(ServiceName("service")));
  // More instances than send to upstreams directly, all of them the neighbour.
  std::vector<flow::InstanceRecord> members;
  for (int i = 0; i < 40; ++i) {
    flow::InstanceRecord record;
    record.id = InstanceId("other-" + std::to_string(i));
    record.data_centre = flow::DataCentreId("zone");
    record.region = RegionId("north");
    record.peer_address = owner.node->peer_endpoint().Text();
    record.incarnation = 1;
    members.push_back(record);
  }
  fixture.node->fleet().ReplaceAll(members, fixture.loop.Now());
  fixture.node->UpdateDispatchers();
  std::string text = fixture.Ask("/stream/", "Tokens: 500\r\n");
  REQUIRE(fixture.HasMetric("sends_total{where=\"owner\"} 1"));
  CHECK(Contains(text, Event(1)));
  CHECK_FALSE(Contains(text, "eaving"));
  CHECK(upstream.requests().size() == 1);
  CHECK(fixture.Find("u1").notice->IsLeaving());
}

TEST_CASE("a heartbeat carries stated limits and their ends") {
  flow::Heartbeat heartbeat;
  heartbeat.limits = {
      {flow::UpstreamShortId(7), 17, flow::CallsPerSecond(1.25), Millis(250)},
      {flow::UpstreamShortId(8), 0, {}, Millis(5)}};
  auto decoded = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  REQUIRE(decoded);
  CHECK(decoded->leaving.empty());
  CHECK(decoded->poison.empty());
  REQUIRE(decoded->limits.size() == 2);
  CHECK(decoded->limits[0].upstream == flow::UpstreamShortId(7));
  CHECK(decoded->limits[0].started_at_ms == 17);
  CHECK(decoded->limits[0].limit == flow::CallsPerSecond(1.25));
  CHECK(decoded->limits[0].age == Millis(250));
  CHECK_FALSE(decoded->limits[1].limit);
}

TEST_CASE("a heartbeat carries who leaves, earlier builds' ones do not") {
  flow::Heartbeat heartbeat;
  heartbeat.leaving = {{flow::UpstreamShortId(7), 17, Millis(250)}};
  auto decoded = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  REQUIRE(decoded);
  REQUIRE(decoded->leaving.size() == 1);
  CHECK(decoded->leaving[0].upstream == flow::UpstreamShortId(7));
  CHECK(decoded->leaving[0].started_at_ms == 17);
  CHECK(decoded->leaving[0].age == Millis(250));
}

}  // namespace
}  // namespace basilvalve::edge
