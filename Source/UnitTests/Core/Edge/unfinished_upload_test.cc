// Responses that cannot be valid: ones that end before the request was read,
// and ones with an impossible status.
#include <catch2/catch.hpp>
#include <functional>

#include "UnitTests/Core/Edge/edge_fixture.h"
#include "UnitTests/Core/Edge/raw_server.h"

namespace basilvalve::edge {
namespace {

// Below the limit of the instance, and more than sockets hold that nobody
// reads.
constexpr size_t kBodyBytes = size_t{4} * 1024 * 1024 - 1024;

enum class End { kOrderly, kReset };

const std::string kUnsizedHead =
    "HTTP/1.1 200 OK\r\nCall-Id: r1\r\nProof: p\r\n\r\n";

struct Response : net::ClientObserver {
  bool OnHead(const net::MessageHead& head) override {
    status = head.status;
    return true;
  }
  void OnBody(std::string_view) override {}
  void OnDone() override { has_ended = is_complete = true; }
  void OnError(net::ClientError) override { has_ended = true; }
  int status = 0;
  bool has_ended = false;
  bool is_complete = false;
};

// What the caller gets from an upstream that responds as `respond` says once it
// has the head of the request, directly or through an instance of another
// region.
Response Receive(const std::string& path, const std::string& body,
                 bool is_forwarded,
                 const std::function<void(RawServer::Connection*)>& respond) {
  EdgeFixture fixture(is_forwarded ? "south" : "north");
  fixture.ApplyDesiredState();
  RawServer upstream;
  upstream.LimitReceiveBuffer();
  auto on_request = [&](RawServer::Connection* connection,
                        const RawServer::Request&) {
    connection->is_reading = false;
    respond(connection);
  };
  upstream.SetHeadHandler(on_request);
  upstream.SetRequestHandler(on_request);
  std::unique_ptr<EdgeNode> far;
  if (is_forwarded) {
    far = fixture.AddPeerInstance("far", "north");
    far->registry().Upsert(upstream.Record("u1"), fixture.loop.Now());
  } else {
    fixture.node->registry().Upsert(upstream.Record("u1"), fixture.loop.Now());
  }
  auto caller = net::ClientConnection::Open(&fixture.loop,
                                            fixture.node->public_endpoint(),
                                            Millis(1000), Millis(5000));
  Response response;
  caller->Send(EdgeFixture::Request(path, "r1", body), &response);
  CHECK(fixture.RunUntil([&] {
    upstream.Poll();
    return response.has_ended;
  }));
  return response;
}

// Guards against a client that received the part of a response as complete: the
// upstream answered a long upload at once with 200 and no length, and its
// connection ended while the upload was being written.
TEST_CASE("an early response without a length to an upload is not complete") {
  const std::string body(kBodyBytes, 'x');
  for (bool is_forwarded : {false, true}) {
    for (End end : {End::kOrderly, End::kReset}) {
      for (const char* interim : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
        for (const char* path : {"/once/", "/single/"}) {
          INFO(path << " forwarded " << is_forwarded << " reset "
                    << (end == End::kReset) << " " << interim);
          Response response =
              Receive(path, body, is_forwarded, [&](auto* connection) {
                RawServer::Send(connection,
                                interim + kUnsizedHead + "id: 1\ndata: a\n\n");
                end == End::kReset ? RawServer::Reset(connection)
                                   : RawServer::End(connection);
              });
          // A stream may have started before it is cut.
          CHECK((response.status == 502 || !response.is_complete));
          CHECK((response.status == 502 || path != std::string("/once/")));
        }
      }
    }
  }
}

// Guards against passing on a response with status 000.
TEST_CASE("a response with an impossible status does not reach the caller") {
  for (bool is_forwarded : {false, true}) {
    for (const char* status :
         {"000", "099", "1000", "20", "-20", "600", "999"}) {
      for (const char* path : {"/once/", "/single/"}) {
        INFO(status << " " << path << " forwarded " << is_forwarded);
        Response response =
            Receive(path, "body", is_forwarded, [&](auto* connection) {
              RawServer::Send(connection,
                              std::string("HTTP/1.1 ") + status +
                                  " X\r\nCall-Id: r1\r\nProof: "
                                  "p\r\nContent-Length: 4\r\n\r\ndone");
            });
        CHECK(response.status == 502);
      }
    }
  }
}

}  // namespace
}  // namespace basilvalve::edge
