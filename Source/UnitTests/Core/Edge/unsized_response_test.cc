// Responses with neither a length nor chunks, which end with their connection.
#include <catch2/catch.hpp>

#include "UnitTests/Core/Edge/edge_fixture.h"

namespace basilvalve::edge {
namespace {

enum class End { kClose, kReset };

const std::string kHead =
    "HTTP/1.1 200 OK\r\nCall-Id: r1\r\nProof: p\r\nConnection: close\r\n\r\n";
const std::string kPlainBody = "the whole answer";
const std::string kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

// Sends the first bytes of a response without reading the request, and ends
// the connection. With the request unread, closing resets the connection.
class CutUpstream {
 public:
  CutUpstream(net::EventLoop* loop, std::string bytes, End end)
      : bytes_(std::move(bytes)), end_(end) {
    auto listener = net::Listener::Create(
        loop, {"127.0.0.1", 0}, Millis(2000),
        [this](std::unique_ptr<net::Socket> socket) {
          sockets_.push_back(std::move(socket));
          net::Socket* raw = sockets_.back().get();
          raw->WaitReadable([this, raw] { Respond(raw); });
        });
    REQUIRE(listener);
    listener_ = std::move(*listener);
  }

  flow::UpstreamRecord Record() const {
    flow::UpstreamRecord record;
    record.id = UpstreamId("u1");
    record.service = ServiceName("service");
    record.host = "127.0.0.1";
    record.port = listener_->LocalEndpoint().port;
    record.data_centre = flow::DataCentreId("zone");
    record.region = RegionId("north");
    record.slots = 8;
    return record;
  }

 private:
  void Respond(net::Socket* socket) {
    if (end_ == End::kClose) {
      std::vector<char> buf(4096);
      socket->Read(buf);
    }
    socket->Write(bytes_);
    if (end_ == End::kClose) {
      socket->ShutdownWrite();
    } else {
      socket->Close();
    }
  }

  std::string bytes_;
  End end_;
  std::vector<std::unique_ptr<net::Socket>> sockets_;
  std::unique_ptr<net::Listener> listener_;
};

// What the caller gets for the first `n` bytes of a response, directly or
// through an instance of another region.
std::string Receive(const std::string& path, const std::string& response,
                    size_t n, End end, bool is_forwarded) {
  EdgeFixture fixture(is_forwarded ? "south" : "north",
                      net::TimeSource::kVirtual);
  fixture.ApplyDesiredState();
  CutUpstream upstream(&fixture.loop, response.substr(0, n), end);
  std::unique_ptr<EdgeNode> far;
  if (is_forwarded) {
    far = fixture.AddPeerInstance("far", "north");
    far->registry().Upsert(upstream.Record(), fixture.loop.Now());
  } else {
    fixture.node->registry().Upsert(upstream.Record(), fixture.loop.Now());
  }
  auto caller = fixture.Call(
      EdgeFixture::Request(path, "r1", "", "Connection: close\r\n"));
  CHECK(fixture.RunUntil([&] { return caller->closed(); }));
  return caller->text();
}

bool IsCompleteStream(const std::string& text) {
  return text.ends_with("\r\n0\r\n\r\n");
}

TEST_CASE("an unsized response is whole only if its connection was closed") {
  const std::string response = kHead + kPlainBody;
  for (bool is_forwarded : {false, true}) {
    for (End end : {End::kClose, End::kReset}) {
      for (size_t n = 0; n <= response.size(); ++n) {
        INFO("forwarded " << is_forwarded << ", reset " << (end == End::kReset)
                          << ", bytes " << n);
        std::string text = Receive("/once/", response, n, end, is_forwarded);
        bool is_whole = end == End::kClose && n >= kHead.size();
        CHECK((text.find("HTTP/1.1 200") == 0) == is_whole);
        CHECK((text.find("HTTP/1.1 502") == 0) == !is_whole);
        if (is_whole) {
          CHECK(text.ends_with(
              "\r\n\r\n" + response.substr(kHead.size(), n - kHead.size())));
        }
      }
    }
  }
}

TEST_CASE("an unsized stream is complete only if it ends behind an event") {
  const std::string response = kHead + kEvents;
  const size_t event_size = kEvents.size() / 2;
  for (bool is_forwarded : {false, true}) {
    for (End end : {End::kClose, End::kReset}) {
      for (size_t n = 0; n <= response.size(); ++n) {
        INFO("forwarded " << is_forwarded << ", reset " << (end == End::kReset)
                          << ", bytes " << n);
        std::string text = Receive("/single/", response, n, end, is_forwarded);
        size_t body = n >= kHead.size() ? n - kHead.size() : 0;
        bool is_complete =
            end == End::kClose && n >= kHead.size() && body % event_size == 0;
        CHECK(IsCompleteStream(text) == is_complete);
        // Events that were broken off are not passed on.
        CHECK((text.find("id: 1") != std::string::npos) ==
              (body >= event_size));
        CHECK((text.find("id: 2") != std::string::npos) ==
              (body >= 2 * event_size));
      }
    }
  }
}

}  // namespace
}  // namespace basilvalve::edge
