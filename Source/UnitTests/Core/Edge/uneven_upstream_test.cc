#include <catch2/catch.hpp>

#include "UnitTests/Core/Edge/edge_fixture.h"

namespace basilvalve::edge {
namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// The text of the response to a non-idempotent call.
std::string Receive(EdgeFixture* fixture, const std::string& id,
                    const std::string& extra = "") {
  auto caller =
      fixture->Call(EdgeFixture::Request("/once/", id, "body", extra));
  REQUIRE(
      fixture->RunUntil([&] { return Contains(caller->text(), "\r\n\r\n"); }));
  return caller->text();
}

// Load: calls that arrive faster than a full upstream ends others. Guards
// against trying it, and spending a retry, with each of them.
TEST_CASE("calls leave out an upstream that refused the one before as full") {
  EdgeFixture fixture("north", net::TimeSource::kVirtual);
  fixture.ApplyDesiredState();
  bool is_full = true;
  auto& upstream =
      fixture.AddUpstream("u1", [&](const net::ServerConnection::Ptr& caller,
                                    const net::ServerRequest& request) {
        caller->Write(is_full ? ScriptedUpstream::Response(request, 503, "",
                                                           "Not-Run: 1\r\n")
                              : ScriptedUpstream::Response(request, 200, "ok"));
        caller->EndResponse(true);
      });
  // 200 ms over 8 slots: the next slot is free after 25 ms.
  auto known = fixture.node->registry().Find(UpstreamId("u1"));
  for (int i = 0; i < 60; ++i) {
    fixture.node->registry().LearnServiceTime(*known, Millis(200), 1,
                                              fixture.loop.Now());
  }
  CHECK(Contains(Receive(&fixture, "r1"), "HTTP/1.1 503"));
  CHECK(Contains(Receive(&fixture, "r2"), "HTTP/1.1 503"));
  CHECK(upstream.requests().size() == 1);
  CHECK(Contains(fixture.node->metrics().Text(),
                 "basilvalve_edge_plain_refusals_total{reason=\"full\"} 1"));
  fixture.RunFor(Millis(30));
  is_full = false;
  CHECK(Contains(Receive(&fixture, "r3"), "HTTP/1.1 200"));
}

// Load: callers with less time than the service takes.
TEST_CASE("a plain call that would be late is refused before it is sent") {
  EdgeFixture fixture("north", net::TimeSource::kVirtual);
  fixture.ApplyDesiredState();
  auto& upstream =
      fixture.AddUpstream("u1", [](const net::ServerConnection::Ptr& caller,
                                   const net::ServerRequest& request) {
        caller->Write(ScriptedUpstream::Response(request, 200, "ok"));
        caller->EndResponse(true);
      });
  auto known = fixture.node->registry().Find(UpstreamId("u1"));
  for (int i = 0; i < 60; ++i) {
    fixture.node->registry().LearnServiceTime(*known, Millis(200), 1,
                                              fixture.loop.Now());
  }
  std::string text = Receive(&fixture, "r1", "Patience: 150\r\n");
  CHECK(Contains(text, "HTTP/1.1 503"));
  CHECK(Contains(text, "Retry-After:"));
  CHECK(upstream.requests().empty());
  CHECK(Contains(fixture.node->metrics().Text(),
                 "basilvalve_edge_plain_refusals_total{reason=\"late\"} 1"));
  CHECK(Contains(Receive(&fixture, "r2", "Patience: 250\r\n"), "HTTP/1.1 200"));
}

}  // namespace
}  // namespace basilvalve::edge
