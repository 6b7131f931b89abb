// What a graceful stop leaves behind.
#include <catch2/catch.hpp>

#include "Core/Edge/hop_header.h"
#include "UnitTests/Core/Edge/edge_fixture.h"

namespace basilvalve::edge {
namespace {

using Upstream = ScriptedUpstream;
using Caller = net::ServerConnection::Ptr;
using Request = net::ServerRequest;

// Guards against LOST: the process ends with the end of an answer unwritten.
TEST_CASE("a drain lasts until a slow caller has its whole answer") {
  EdgeFixture fixture("north", net::TimeSource::kVirtual);
  fixture.ApplyDesiredState();
  const std::string large(size_t{12} * 1024 * 1024, 'x');
  fixture.AddUpstream("u1", [&](const Caller& caller, const Request& request) {
    caller->Write(Upstream::Response(request, 200, large));
    caller->EndResponse(true);
  });
  auto slow =
      net::Socket::Connect(&fixture.loop, fixture.node->public_endpoint(),
                           Millis(2000), [](bool) {});
  fixture.loop.RunUntil([] { return false; }, Millis(10));
  slow->Write(EdgeFixture::Request("/once/", "r1"));
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.upstreams[0]->requests().size() == 1; }));
  fixture.loop.RunUntil([] { return false; }, Millis(100));
  bool is_drained = false;
  fixture.node->BeginDrain([&] {
    is_drained = true;
    // The process ends, and with it what it has not written.
    fixture.loop.Post([&] { fixture.node.reset(); });
  });
  fixture.loop.RunUntil([] { return false; }, Millis(3200));
  CHECK_FALSE(is_drained);
  size_t received = 0;
  std::vector<char> buf(size_t{1024} * 1024);
  CHECK(fixture.RunUntil([&] {
    received += slow->Read(buf).bytes;
    return received > large.size();
  }));
  CHECK(fixture.RunUntil([&] { return is_drained; }));
}

// Guards against LOST: a call taken late in a drain is cut by its end.
TEST_CASE("a draining instance takes no call that may outlast its drain") {
  struct Row {
    const char* path;
    Millis patience;
    Millis arrival;
    bool is_served;
  };
  // The fixture stops after 4 s.
  for (const Row& row : {Row{"/stream/", Millis(12000), Millis(2400), true},
                         Row{"/stream/", Millis(12000), Millis(2700), false},
                         Row{"/once/", Millis(3000), Millis(2700), false},
                         Row{"/once/", Millis(900), Millis(2700), true},
                         Row{"/stream/", Millis(900), Millis(2700), true}}) {
    INFO(row.path << row.patience.count() << " at " << row.arrival.count());
    for (bool is_peer : {false, true}) {
      INFO((is_peer ? "from a peer" : "from a caller"));
      EdgeFixture fixture("north", net::TimeSource::kVirtual);
      fixture.ApplyDesiredState(1, Millis(3000));
      fixture.AddUpstream("u1", [](const Caller& to, const Request& request) {
        to->Write(Upstream::Response(request, 200, "id: 1\n\n"));
        to->EndResponse(true);
      });
      HopParams hop;
      hop.service = ServiceName("service");
      hop.time_left = hop.response_time_left = row.patience;
      std::string extra =
          "Patience: " + std::to_string(row.patience.count()) + "\r\n";
      if (is_peer) {
        extra += std::string(kHopHeader) + ": " + FormatHopHeader(hop) + "\r\n";
      }
      fixture.node->BeginDrain([] {});
      fixture.loop.RunUntil([] { return false; }, row.arrival);
      RawCaller caller(&fixture.loop, is_peer
                                          ? fixture.node->peer_endpoint()
                                          : fixture.node->public_endpoint());
      caller.Send(EdgeFixture::Request(row.path, "r1", "", extra));
      REQUIRE(fixture.RunUntil([&] { return !caller.text().empty(); }));
      CHECK((caller.text().find("HTTP/1.1 200") == 0) == row.is_served);
      CHECK((caller.text().find("HTTP/1.1 503") == 0) == !row.is_served);
      CHECK(fixture.upstreams[0]->requests().size() == (row.is_served ? 1 : 0));
    }
  }
}

}  // namespace
}  // namespace basilvalve::edge
