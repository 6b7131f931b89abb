// What a graceful stop leaves behind.
#include <catch2/catch.hpp>

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

}  // namespace
}  // namespace basilvalve::edge
