// Upstreams that send nothing for a while.
#include <catch2/catch.hpp>

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

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

void Refuse(const Caller& caller, const Request& request) {
  caller->Write(Upstream::Response(request, 503, "", "Not-Run: 1\r\n"));
  caller->EndResponse(true);
}

// An upstream that sends an event, nothing for a while, and the rest.
struct PausingUpstream {
  net::Timer* timer;
  Millis silence;

  void operator()(const Caller& caller, const Request& request) const {
    bool is_stream = !request.head.target.starts_with("/again/");
    if (is_stream) {
      caller->Write(Upstream::StreamHead(request) + Upstream::Chunk(Event(1)));
    }
    timer->Set(silence, [caller, request, is_stream] {
      caller->Write(is_stream ? Upstream::Chunk(Event(2)) + "0\r\n\r\n"
                              : Upstream::Response(request, 200, "done"));
      caller->EndResponse(true);
    });
  }
};

constexpr flow::FleetRetryBudgetSettings kNoRetries = {0, 0, Seconds(10)};
constexpr flow::FleetRetryBudgetSettings kRetries = {0.2, 50, Seconds(10)};

// Guards against LOST: a sound upstream that pauses is given up although the
// call can be sent nowhere else.
TEST_CASE(
    "a silent upstream is not given up while the call has no other place") {
  struct Row {
    const char* name;
    const char* path;
    Millis silence;
    flow::FleetRetryBudgetSettings retries;
    bool has_other;
  };
  for (const Row& row :
       {Row{"stream, no budget", "/stream/", Millis(2500), kNoRetries, true},
        Row{"stream, no other", "/stream/", Millis(2500), kRetries, false},
        Row{"plain, no budget", "/again/", Millis(1500), kNoRetries, true},
        Row{"plain, no other", "/again/", Millis(1500), kRetries, false}}) {
    INFO(row.name);
    EdgeFixture fixture("north", net::TimeSource::kVirtual, row.retries);
    fixture.ApplyDesiredState(1, Millis(4000));
    net::Timer timer(&fixture.loop);
    fixture.AddUpstream("u1", PausingUpstream{&timer, row.silence});
    auto caller = fixture.Call(EdgeFixture::Request(row.path, "r1"));
    REQUIRE(fixture.RunUntil(
        [&] { return fixture.upstreams[0]->requests().size() == 1; }));
    if (row.has_other) {
      fixture.AddUpstream("u2", Refuse);
    }
    CHECK(fixture.RunUntil([&] {
      return caller->closed() || Contains(*caller, "0\r\n\r\n") ||
             Contains(*caller, "done");
    }));
    CHECK_FALSE(caller->closed());
    CHECK(Contains(*caller, "HTTP/1.1 200"));
    CHECK((Contains(*caller, Event(2)) || Contains(*caller, "done")));
  }
}

TEST_CASE("a stream goes on at its upstream after a silent second") {
  EdgeFixture fixture("north", net::TimeSource::kVirtual);
  fixture.ApplyDesiredState(1, Millis(4000));
  net::Timer timer(&fixture.loop);
  fixture.AddUpstream("u1", PausingUpstream{&timer, Millis(1300)});
  auto caller = fixture.Call(EdgeFixture::Request("/stream/", "r1"));
  REQUIRE(fixture.RunUntil([&] { return Contains(*caller, Event(1)); }));
  Upstream& other = fixture.AddUpstream("u2", Refuse);
  CHECK(fixture.RunUntil(
      [&] { return caller->closed() || Contains(*caller, "0\r\n\r\n"); }));
  CHECK(Contains(*caller, Event(2)));
  CHECK(other.requests().empty());
}

TEST_CASE("a stream whose upstream stays silent is resumed elsewhere") {
  EdgeFixture fixture("north", net::TimeSource::kVirtual);
  fixture.ApplyDesiredState(1, Millis(4000));
  net::Timer timer(&fixture.loop);
  fixture.AddUpstream("u1", PausingUpstream{&timer, Seconds(60)});
  auto caller = fixture.Call(
      EdgeFixture::Request("/stream/", "r1", "", "Patience: 9000\r\n"));
  REQUIRE(fixture.RunUntil([&] { return Contains(*caller, Event(1)); }));
  Instant silent_since = fixture.loop.Now();
  fixture.AddUpstream("u2", [](const Caller& to, const Request& request) {
    CHECK(*request.head.Find("Resume-After") == "1");
    to->Write(Upstream::StreamHead(request) + Upstream::Chunk(Event(2)) +
              "0\r\n\r\n");
    to->EndResponse(true);
  });
  CHECK(fixture.RunUntil([&] { return Contains(*caller, "0\r\n\r\n"); }));
  CHECK(Contains(*caller, Event(2)));
  // Callers give up a stream after a pause of 4.8 s.
  CHECK(fixture.loop.Now() - silent_since < Millis(2500));
}

// Guards against LOST: the pause of a caller that reads slowly is taken for
// one of the upstream.
TEST_CASE("a caller that reads slowly does not make its upstream silent") {
  EdgeFixture fixture("north", net::TimeSource::kVirtual);
  fixture.ApplyDesiredState(1, Millis(4000));
  const std::string large(size_t{100} * 1024, 'x');
  const int events = 200;
  fixture.AddUpstream("u1", [&](const Caller& caller, const Request& request) {
    caller->Write(Upstream::StreamHead(request));
    for (int id = 1; id <= events; ++id) {
      caller->Write(Upstream::Chunk("id: " + std::to_string(id) +
                                    "\ndata: " + large + "\n\n"));
    }
    caller->Write("0\r\n\r\n");
    caller->EndResponse(true);
  });
  auto slow =
      net::Socket::Connect(&fixture.loop, fixture.node->public_endpoint(),
                           Millis(2000), [](bool) {});
  fixture.RunUntil([&] { return fixture.node->IsReady(); });
  fixture.loop.RunUntil([] { return false; }, Millis(10));
  slow->Write(EdgeFixture::Request("/stream/", "r1", "", "Patience: 9000\r\n"));
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.upstreams[0]->requests().size() == 1; }));
  Upstream& other = fixture.AddUpstream("u2", Refuse);
  fixture.loop.RunUntil([] { return false; }, Millis(3500));
  CHECK(fixture.upstreams[0]->disconnects() == 0);
  std::string text;
  std::vector<char> buf(size_t{1024} * 1024);
  CHECK(fixture.RunUntil([&] {
    net::IoResult got = slow->Read(buf);
    text.append(buf.data(), got.bytes);
    return text.ends_with("0\r\n\r\n");
  }));
  CHECK(other.requests().empty());
}

}  // namespace
}  // namespace basilvalve::edge
