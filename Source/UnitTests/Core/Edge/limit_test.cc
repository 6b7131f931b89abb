// Upstreams that state how many calls they take from all instances together.
#include <catch2/catch.hpp>

#include "Core/Edge/hop_header.h"
#include "UnitTests/Core/Edge/edge_fixture.h"

namespace basilvalve::edge {
namespace {

using Upstream = ScriptedUpstream;
using Caller = net::ServerConnection::Ptr;
using Request = net::ServerRequest;

constexpr double kLimit = 1.5;

std::string LimitLine(double limit) {
  return "Limit: " + std::to_string(limit) + "\r\n";
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

const std::string kEvent = "id: 1\ndata: x\n\n";

struct LimitFixture : EdgeFixture {
  LimitFixture()
      : EdgeFixture("north", net::TimeSource::kVirtual,
                    {/*ratio=*/10, /*headroom=*/1000, Seconds(10)}) {
    ApplyDesiredState(1, Millis(4000));
    // By now the instance may send to limited upstreams.
    RunFor(Millis(2500));
  }

  Upstream& AddLimited(const std::string& id) {
    return AddUpstream(
        id, [this](const Caller& caller, const net::ServerRequest& r) {
          std::string extra = limit ? LimitLine(*limit) : "";
          if (r.head.target.starts_with("/stream/")) {
            std::string head = Upstream::StreamHead(r);
            caller->Write(head.substr(0, head.size() - 2) + extra + "\r\n" +
                          Upstream::Chunk(kEvent) + "0\r\n\r\n");
          } else {
            caller->Write(Upstream::Response(r, 200, "done", extra));
          }
          caller->EndResponse(true);
        });
  }
  std::string Ask(const std::string& path) {
    return AskAt(node->public_endpoint(), path, "");
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
  flow::UpstreamNotice& Notice(const char* id) {
    return *node->registry().Find(UpstreamId(id))->notice;
  }
  bool HasMetric(const std::string& line) {
    return Contains(node->metrics().Text(), line);
  }

  std::optional<double> limit = kLimit;

 private:
  int calls_ = 0;
};

// Guards against LIMIT: requests reach an upstream beyond the limit it named.
TEST_CASE("every path to an upstream keeps the limit that it states") {
  struct Row {
    const char* name;
    void (*run)(LimitFixture* fixture);
    // Whether each run also uses another upstream, u2.
    Upstream::Script other;
  };
  const std::vector<Row> rows = {
      {"first send", [](LimitFixture* f) { f->Ask("/once/"); }, {}},
      {"call from another instance",
       [](LimitFixture* f) { f->AskAsPeer("/again/"); },
       {}},
      {"retry", [](LimitFixture* f) { f->Ask("/again/"); },
       [](const Caller& caller, const Request& r) {
         caller->Write(Upstream::Response(r, 500, ""));
         caller->EndResponse(true);
       }},
      {"resumed stream", [](LimitFixture* f) { f->Ask("/stream/"); },
       [](const Caller& caller, const Request& r) {
         caller->Write(Upstream::StreamHead(r) + Upstream::Chunk(kEvent));
         caller->Abort();
       }},
      {"probe of a half-open breaker",
       [](LimitFixture* f) {
         auto upstream = f->node->registry().Find(UpstreamId("u1"));
         if (upstream->breaker.Allows(f->loop.Now())) {
           for (int i = 0; i < 3; ++i) {
             upstream->breaker.OnFailure(f->loop.Now());
           }
         }
         f->RunFor(Millis(900));
         f->Ask("/again/");
       },
       {}},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    LimitFixture fixture;
    Upstream& upstream = fixture.AddLimited("u1");
    CHECK(Contains(fixture.Ask("/once/"), "HTTP/1.1 200"));
    REQUIRE(fixture.Notice("u1").Limit() == flow::CallsPerSecond(kLimit));
    if (row.other) {
      fixture.AddUpstream("u2", row.other);
    }
    size_t before = upstream.requests().size();
    Instant start = fixture.loop.Now();
    while (fixture.loop.Now() < start + Seconds(4)) {
      row.run(&fixture);
      fixture.RunFor(Millis(10));
    }
    size_t n = upstream.requests().size() - before;
    CHECK(static_cast<double>(n) <= 1.5 * kLimit * 4 + 5);
    CHECK(n > 0);
  }
}

TEST_CASE("calls beyond a limit go elsewhere, or are refused as not run") {
  LimitFixture fixture;
  fixture.AddLimited("u1");
  CHECK(Contains(fixture.Ask("/once/"), "HTTP/1.1 200"));
  std::string text = fixture.Ask("/once/");
  CHECK(Contains(text, "HTTP/1.1 503"));
  CHECK(Contains(text, "Retry-After"));
  CHECK_FALSE(Contains(text, "Limit"));
  Upstream& other =
      fixture.AddUpstream("u2", [](const Caller& caller, const Request& r) {
        caller->Write(Upstream::Response(r, 200, "done"));
        caller->EndResponse(true);
      });
  for (int i = 0; i < 10; ++i) {
    CHECK(Contains(fixture.Ask("/once/"), "HTTP/1.1 200"));
  }
  CHECK(other.requests().size() >= 8);
}

TEST_CASE("a limit ends with a later response without it, even a limit of 0") {
  LimitFixture fixture;
  Upstream& upstream = fixture.AddLimited("u1");
  fixture.limit = 0;
  fixture.Ask("/once/");
  CHECK(fixture.Notice("u1").Limit() == flow::CallsPerSecond(0));
  CHECK(fixture.HasMetric("{change=\"limited\",source=\"response\"} 1"));
  fixture.limit.reset();
  Instant start = fixture.loop.Now();
  while (upstream.requests().size() < 2) {
    fixture.Ask("/once/");
    fixture.RunFor(Millis(50));
    REQUIRE(fixture.loop.Now() < start + Seconds(5));
  }
  CHECK_FALSE(fixture.Notice("u1").Limit());
  CHECK(fixture.HasMetric("{change=\"unlimited\",source=\"response\"} 1"));
  for (int i = 0; i < 20; ++i) {
    CHECK(Contains(fixture.Ask("/once/"), "HTTP/1.1 200"));
  }
}

TEST_CASE("a restarted upstream has no limit until it states one") {
  LimitFixture fixture;
  Upstream& upstream = fixture.AddLimited("u1");
  fixture.Ask("/once/");
  CHECK(fixture.Notice("u1").Limit());
  flow::UpstreamRecord record = upstream.Record(ServiceName("service"));
  record.started_at_ms = 99;
  fixture.node->registry().Upsert(record, fixture.loop.Now());
  record.started_at_ms = 100;
  fixture.node->registry().Upsert(record, fixture.loop.Now());
  CHECK_FALSE(fixture.Notice("u1").Limit());
}

TEST_CASE("a limit stated in a response to another call does not count") {
  LimitFixture fixture;
  fixture.AddUpstream("u1", [](const Caller& caller, const Request& r) {
    caller->Write("HTTP/1.1 200 OK\r\nCall-Id: other\r\nProof: p\r\n" +
                  LimitLine(1) + "Content-Length: 0\r\n\r\n" +
                  Upstream::Response(r, 200, ""));
    caller->EndResponse(true);
  });
  fixture.Ask("/once/");
  CHECK_FALSE(fixture.Notice("u1").Limit());
}

TEST_CASE("the instances of a region tell each other of limits and their end") {
  LimitFixture fixture;
  Upstream& upstream = fixture.AddLimited("u1");
  EdgeSettings settings;
  settings.self.id = InstanceId("neighbour");
  settings.self.data_centre = flow::DataCentreId("zone");
  settings.self.region = RegionId("north");
  settings.public_address = {"127.0.0.1", 0};
  settings.peer_address = {"127.0.0.1", 0};
  auto neighbour =
      std::move(*EdgeNode::Create(&fixture.loop, settings, &fixture.dialect));
  neighbour->registry().Upsert(upstream.Record(ServiceName("service")),
                               fixture.loop.Now());
  flow::InstanceRecord record = settings.self;
  record.peer_address = neighbour->peer_endpoint().Text();
  record.incarnation = 1;
  fixture.node->fleet().Register(record, fixture.loop.Now());
  auto limit_there = [&] {
    return neighbour->registry().Find(UpstreamId("u1"))->notice->Limit();
  };
  fixture.Ask("/once/");
  REQUIRE(fixture.Notice("u1").Limit());
  fixture.RunFor(Millis(450));
  CHECK(limit_there() == flow::CallsPerSecond(kLimit));
  fixture.limit.reset();
  fixture.node->fleet().Unregister(record.id);
  Instant start = fixture.loop.Now();
  while (fixture.Notice("u1").Limit()) {
    fixture.Ask("/once/");
    fixture.RunFor(Millis(50));
    REQUIRE(fixture.loop.Now() < start + Seconds(8));
  }
  CHECK(limit_there() == flow::CallsPerSecond(kLimit));
  fixture.node->fleet().Register(record, fixture.loop.Now());
  fixture.RunFor(Millis(450));
  CHECK_FALSE(limit_there());
}

}  // namespace
}  // namespace basilvalve::edge
