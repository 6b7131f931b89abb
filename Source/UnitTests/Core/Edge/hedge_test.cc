// Calls that are sent to a second upstream while the first has not responded.
#include <catch2/catch.hpp>

#include "Core/Edge/heartbeat_codec.h"
#include "UnitTests/Core/Edge/edge_fixture.h"
#include "UnitTests/Core/Edge/raw_server.h"

namespace basilvalve::edge {
namespace {

using Caller = net::ServerConnection::Ptr;
using Request = net::ServerRequest;

enum class Reply { kAnswer, kMissing, kError, kRefusal, kBreak, kNone };

/// What an upstream does with the call, so long after it arrived.
struct Behaviour {
  Reply reply = Reply::kNone;
  Millis after{0};
};

constexpr Behaviour kNever;
constexpr flow::FleetRetryBudgetSettings kRetries = {0.2, 50, Seconds(10)};

/// An instance whose calls were all fast, so that one is hedged after 300 ms,
/// and whose budget permits two hedges.
class HedgeFixture : public EdgeFixture {
 public:
  explicit HedgeFixture(
      double share = 0.2,
      const flow::FleetRetryBudgetSettings& retries = kRetries)
      : EdgeFixture("north", net::TimeSource::kVirtual, retries, share) {
    ApplyDesiredState();
    Add("u1", {Reply::kAnswer, Millis(0)});
    for (int i = 0; i < 30; ++i) {
      auto caller = Call(Request("/again/", "early" + std::to_string(i)));
      REQUIRE(RunUntil([&] { return !caller->text().empty(); }));
    }
  }

  /// Adds an upstream; its answers are its name.
  void Add(const std::string& id, const Behaviour& behaviour) {
    behaviours[id] = behaviour;
    AddUpstream(id, [this, id](const auto& caller, const auto& request) {
      Respond(id, caller, request);
    });
  }

  /// Sends a call to u1, then adds u2.
  std::unique_ptr<RawCaller> Begin(const Behaviour& first,
                                   const Behaviour& second,
                                   const std::string& path = "/again/") {
    behaviours["u1"] = first;
    size_t before = upstreams[0]->requests().size();
    auto caller = Call(Request(path, "r1"));
    REQUIRE(RunUntil(
        [&] { return upstreams[0]->requests().size() == before + 1; }));
    Add("u2", second);
    return caller;
  }

  bool Counted(const std::string& metric, int n) const {
    return node->metrics().Text().find("basilvalve_edge_" + metric + " " +
                                       std::to_string(n) + "\n") !=
           std::string::npos;
  }

  /// Guards against load and probes that are given back twice or never.
  void CheckReleased() {
    RunFor(Millis(10));
    CHECK(node->calls_in_flight() == 0);
    for (const auto& [id, upstream] : node->registry().all()) {
      CHECK(upstream->own_load.running == 0);
    }
  }

  std::map<std::string, Behaviour> behaviours;

 private:
  void Respond(const std::string& id, const Caller& caller,
               const net::ServerRequest& request) {
    Behaviour behaviour = behaviours[id];
    if (behaviour.reply == Reply::kNone) {
      return;
    }
    timers_.push_back(std::make_unique<net::Timer>(&loop));
    timers_.back()->Set(behaviour.after, [id, behaviour, caller, request] {
      using Upstream = ScriptedUpstream;
      switch (behaviour.reply) {
        case Reply::kAnswer:
          caller->Write(Upstream::Response(request, 200, id));
          break;
        case Reply::kMissing:
          caller->Write(Upstream::Response(request, 404, id));
          break;
        case Reply::kError:
          caller->Write(Upstream::Response(request, 500, id));
          break;
        case Reply::kRefusal:
          caller->Write(Upstream::Response(request, 503, "", "Not-Run: 1\r\n"));
          break;
        default:
          caller->Abort();
          return;
      }
      caller->EndResponse(true);
    });
  }

  std::vector<std::unique_ptr<net::Timer>> timers_;
};

size_t Responses(const RawCaller& caller) {
  size_t n = 0;
  for (size_t at = 0;
       (at = caller.text().find("HTTP/1.1 ", at)) != std::string::npos; ++at) {
    ++n;
  }
  return n;
}

// Guards against two responses, a lost one, a loser that goes on, and a 503
// for a call that may have run.
TEST_CASE("the first usable response to a hedged call is its response") {
  using enum Reply;
  struct Row {
    const char* name;
    Behaviour first;
    Behaviour second;
    const char* status;
    const char* body;
    int won;
    int first_cancelled;
    int second_cancelled;
  };
  for (const Row& row : {
           Row{"first stays silent",
               kNever,
               {kAnswer, Millis(20)},
               "200",
               "u2",
               1,
               1,
               0},
           Row{"first is faster",
               {kAnswer, Millis(400)},
               kNever,
               "200",
               "u1",
               0,
               0,
               1},
           Row{"both at once",
               {kAnswer, Millis(400)},
               {kAnswer, Millis(100)},
               "200",
               "u",
               -1,
               -1,
               -1},
           Row{"first has nothing",
               {kMissing, Millis(400)},
               kNever,
               "404",
               "u1",
               0,
               0,
               1},
           Row{"second has nothing",
               kNever,
               {kMissing, Millis(50)},
               "404",
               "u2",
               1,
               1,
               0},
           Row{"first breaks",
               {kBreak, Millis(400)},
               {kAnswer, Millis(200)},
               "200",
               "u2",
               0,
               -1,
               0},
           Row{"first fails",
               {kError, Millis(400)},
               {kAnswer, Millis(200)},
               "200",
               "u2",
               0,
               0,
               0},
           Row{"first refuses",
               {kRefusal, Millis(400)},
               {kAnswer, Millis(200)},
               "200",
               "u2",
               0,
               0,
               0},
           Row{"second breaks",
               {kAnswer, Millis(500)},
               {kBreak, Millis(50)},
               "200",
               "u1",
               0,
               0,
               -1},
           Row{"second fails",
               {kAnswer, Millis(500)},
               {kError, Millis(50)},
               "200",
               "u1",
               0,
               0,
               0},
           Row{"second refuses",
               {kAnswer, Millis(500)},
               {kRefusal, Millis(50)},
               "200",
               "u1",
               0,
               0,
               0},
           Row{"both fail",
               {kError, Millis(400)},
               {kError, Millis(200)},
               "500",
               "u2",
               0,
               0,
               0},
           Row{"both refuse",
               {kRefusal, Millis(400)},
               {kRefusal, Millis(200)},
               "503",
               "",
               0,
               0,
               0},
           Row{"second refuses, then first",
               {kRefusal, Millis(500)},
               {kRefusal, Millis(50)},
               "503",
               "",
               0,
               0,
               0},
           Row{"refused, then broken",
               {kRefusal, Millis(400)},
               {kBreak, Millis(200)},
               "502",
               "",
               0,
               0,
               -1},
           Row{"broken, then refused",
               {kBreak, Millis(400)},
               {kRefusal, Millis(200)},
               "502",
               "",
               0,
               -1,
               0},
           Row{"both stay silent", kNever, kNever, "504", "", 0, 1, 1},
       }) {
    INFO(row.name);
    HedgeFixture fixture;
    auto caller = fixture.Begin(row.first, row.second);
    CHECK(fixture.RunUntil([&] { return !caller->text().empty(); }));
    fixture.RunFor(Millis(700));
    CHECK(Responses(*caller) == 1);
    CHECK(caller->text().starts_with("HTTP/1.1 " + std::string(row.status)));
    CHECK(caller->text().find(row.body) != std::string::npos);
    CHECK(fixture.upstreams[1]->requests().size() == 1);
    CHECK(fixture.Counted("hedges_total{event=\"sent\"}", 1));
    if (row.won >= 0) {
      CHECK(fixture.Counted("hedges_total{event=\"won\"}", 1) ==
            (row.won == 1));
    }
    if (row.first_cancelled >= 0) {
      CHECK(fixture.upstreams[0]->disconnects() == row.first_cancelled);
    }
    if (row.second_cancelled >= 0) {
      CHECK(fixture.upstreams[1]->disconnects() == row.second_cancelled);
    }
    fixture.CheckReleased();
  }
}

// Guards against attempts that go on without a caller, or after the process.
TEST_CASE("both attempts of a hedged call end with its caller or a drain") {
  for (bool is_drain : {false, true}) {
    INFO((is_drain ? "drain" : "caller"));
    HedgeFixture fixture;
    fixture.ApplyDesiredState(2, Seconds(20));
    auto caller = fixture.Begin(kNever, kNever);
    REQUIRE(fixture.RunUntil(
        [&] { return fixture.upstreams[1]->requests().size() == 1; }));
    bool is_drained = false;
    if (is_drain) {
      fixture.node->BeginDrain([&] { is_drained = true; });
    } else {
      caller->Close();
    }
    CHECK(fixture.RunUntil([&] {
      return fixture.upstreams[0]->disconnects() == 1 &&
             fixture.upstreams[1]->disconnects() == 1;
    }));
    CHECK(fixture.RunUntil([&] { return is_drained == is_drain; }));
    fixture.CheckReleased();
  }
}

// Guards against a probe that the loser of a race never gives back, so that
// its upstream gets no calls any more, or gives back twice.
TEST_CASE("a hedge that loses gives its breaker probe back") {
  HedgeFixture fixture;
  auto caller = fixture.Begin({Reply::kAnswer, Millis(400)}, kNever);
  auto& breaker = fixture.node->registry().Find(UpstreamId("u2"))->breaker;
  for (int i = 0; i < 3; ++i) {
    breaker.OnFailure(fixture.loop.Now() - Seconds(2));
  }
  // One of the two probes of a half-open breaker is another call's.
  breaker.OnStart(fixture.loop.Now());
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.upstreams[1]->requests().size() == 1; }));
  CHECK_FALSE(breaker.Allows(fixture.loop.Now()));
  CHECK(fixture.RunUntil([&] { return !caller->text().empty(); }));
  CHECK(breaker.Allows(fixture.loop.Now()));
  breaker.OnStart(fixture.loop.Now());
  CHECK_FALSE(breaker.Allows(fixture.loop.Now()));
  fixture.CheckReleased();
}

// Guards against a hedge that is sent once its upstream wants no calls.
TEST_CASE("an unsent hedge is taken back from an upstream that leaves") {
  RawServer busy(RawServer::Queue::kFull);
  HedgeFixture fixture;
  auto caller = fixture.Begin({Reply::kAnswer, Millis(500)}, kNever);
  fixture.node->registry().Remove(UpstreamId("u2"));
  flow::UpstreamRecord record = busy.Record("u3");
  fixture.node->registry().Upsert(record, fixture.loop.Now());
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.Counted("hedges_total{event=\"sent\"}", 1); }));
  auto upstream = fixture.node->registry().Find(record.id);
  CHECK(upstream->own_load.running == 1);
  record.is_draining = true;
  fixture.node->registry().Upsert(record, fixture.loop.Now());
  CHECK(fixture.RunUntil([&] { return upstream->own_load.running == 0; }));
  CHECK(fixture.Counted("withdrawn_total", 1));
  CHECK(caller->text().empty());
  CHECK(fixture.RunUntil([&] { return !caller->text().empty(); }));
  CHECK(caller->text().ends_with("u1"));
  fixture.CheckReleased();
}

// Guards against a third attempt, and a hedge that nobody waits for any more.
TEST_CASE("a call goes on with its hedge when its first upstream leaves") {
  RawServer busy(RawServer::Queue::kFull);
  HedgeFixture fixture;
  fixture.node->registry().Remove(UpstreamId("u1"));
  flow::UpstreamRecord record = busy.Record("u3");
  fixture.node->registry().Upsert(record, fixture.loop.Now());
  auto upstream = fixture.node->registry().Find(record.id);
  auto caller = fixture.Call(EdgeFixture::Request("/again/", "r1"));
  REQUIRE(fixture.RunUntil([&] { return upstream->own_load.running == 1; }));
  fixture.Add("u2", {Reply::kAnswer, Millis(200)});
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.upstreams[1]->requests().size() == 1; }));
  record.is_draining = true;
  fixture.node->registry().Upsert(record, fixture.loop.Now());
  CHECK(fixture.RunUntil([&] { return upstream->own_load.running == 0; }));
  CHECK(caller->text().empty());
  CHECK(fixture.RunUntil([&] { return !caller->text().empty(); }));
  CHECK(caller->text().ends_with("u2"));
  CHECK(fixture.Counted("hedges_total{event=\"sent\"}", 1));
  CHECK(fixture.upstreams[1]->requests().size() == 1);
  fixture.CheckReleased();
}

// Guards against hedges that would add to an overload, exceed a budget, or
// repeat a call that must not run twice.
TEST_CASE("a call is not hedged without permission") {
  struct Row {
    const char* name;
    const char* path;
    double share;
    flow::FleetRetryBudgetSettings retries;
    std::function<void(HedgeFixture*)> prepare;
    const char* reason;
  };
  auto none = [](HedgeFixture*) {};
  for (const Row& row : {
           Row{"off", "/again/", 0, kRetries, none, ""},
           Row{"at most once", "/once/", 0.2, kRetries, none, ""},
           Row{"stream", "/stream/", 0.2, kRetries, none, ""},
           Row{"budget", "/again/", 0.01, kRetries, none, "budget"},
           Row{"retry budget",
               "/again/",
               0.2,
               {0, 0, Seconds(10)},
               none,
               "retry_budget"},
           Row{"no other", "/again/", 0.2, kRetries,
               [](HedgeFixture* fixture) {
                 fixture->node->registry().Remove(UpstreamId("u2"));
               },
               "no_upstream"},
           Row{"load", "/again/", 0.2, kRetries,
               [](HedgeFixture* fixture) {
                 auto other = fixture->node->registry().Find(UpstreamId("u2"));
                 other->OnReport(InstanceId("i2"), {11, 0, 0}, true,
                                 fixture->loop.Now() + Millis(250));
               },
               "load"},
       }) {
    INFO(row.name);
    HedgeFixture fixture(row.share, row.retries);
    auto caller =
        fixture.Begin({Reply::kAnswer, Millis(500)}, kNever, row.path);
    row.prepare(&fixture);
    // After a hedge would have been due, before the response.
    fixture.RunFor(Millis(450));
    CHECK(fixture.upstreams[1]->requests().empty());
    CHECK(fixture.node->metrics().Text().find("hedges_total{") ==
          std::string::npos);
    CHECK(fixture.RunUntil([&] { return !caller->text().empty(); }));
    std::string reason = row.reason;
    if (reason.empty()) {
      CHECK(fixture.node->metrics().Text().find("hedges_refused_total{") ==
            std::string::npos);
    } else {
      CHECK(fixture.Counted("hedges_refused_total{reason=\"" + reason + "\"}",
                            1));
    }
    fixture.CheckReleased();
  }
}

// Guards against hedges to a service that has just refused calls.
TEST_CASE("a call is not hedged soon after a refusal") {
  HedgeFixture fixture;
  fixture.behaviours["u1"] = {Reply::kRefusal, Millis(0)};
  auto refused = fixture.Call(EdgeFixture::Request("/again/", "r0"));
  REQUIRE(fixture.RunUntil([&] { return !refused->text().empty(); }));
  // The pause of the upstream, which refused the call as full, ends first.
  fixture.RunFor(Millis(500));
  auto caller = fixture.Begin({Reply::kAnswer, Millis(500)}, kNever);
  CHECK(fixture.RunUntil([&] { return !caller->text().empty(); }));
  CHECK(fixture.Counted("hedges_refused_total{reason=\"recent_refusal\"}", 1));
}

// Guards against counters that do not reach the others of the region.
TEST_CASE("hedge counters travel in heartbeats") {
  flow::Heartbeat heartbeat;
  heartbeat.from.id = InstanceId("neighbour");
  heartbeat.from.region = RegionId("north");
  heartbeat.from.incarnation = heartbeat.sequence = 1;
  flow::ServiceShortId service = flow::ShortIdOf(ServiceName("service"));
  heartbeat.hedges[service] = {1000, 3};
  auto decoded = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  REQUIRE(decoded);
  CHECK(decoded->hedges == heartbeat.hedges);
  HedgeFixture fixture;
  auto socket = net::DatagramSocket::Create(&fixture.loop, {"127.0.0.1", 0},
                                            [](std::string_view) {});
  REQUIRE(socket);
  // Other instances have used up what this one's calls have filled.
  for (uint64_t hedges : {3, 30}) {
    heartbeat.hedges[service].hedges = hedges;
    ++heartbeat.sequence;
    REQUIRE((*socket)->Send(fixture.node->peer_endpoint(),
                            EncodeHeartbeat(heartbeat)));
    fixture.RunFor(Millis(20));
  }
  auto caller = fixture.Begin({Reply::kAnswer, Millis(500)}, kNever);
  CHECK(fixture.RunUntil([&] { return !caller->text().empty(); }));
  CHECK(fixture.Counted("hedges_refused_total{reason=\"budget\"}", 1));
}

}  // namespace
}  // namespace basilvalve::edge
