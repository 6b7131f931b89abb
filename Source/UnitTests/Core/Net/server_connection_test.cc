#include "Core/Net/server_connection.h"

#include <catch2/catch.hpp>

namespace basilvalve::net {
namespace {

const std::string kRequest =
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
constexpr size_t kLargeBody = size_t{16} * 1024 * 1024;

// One accepted connection and the caller at its other end, on virtual time.
class Pair {
 public:
  explicit Pair(const ServerLimits& limits) {
    auto listener = Listener::Create(
        &loop, {"127.0.0.1", 0}, Millis(2000),
        [this, limits](std::unique_ptr<Socket> socket) {
          server = std::make_shared<ServerConnection>(
              &loop, std::move(socket), limits,
              [this](const ServerConnection::Ptr&, const ServerRequest&) {
                ++requests;
                server->Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                              std::to_string(body_bytes) + "\r\n\r\n" +
                              std::string(body_bytes, 'x'));
                server->EndResponse(keeps_alive);
              },
              [this](ServerConnection*) { is_closed = true; });
          server->Start();
        });
    REQUIRE(listener);
    listener_ = std::move(*listener);
    caller = Socket::Connect(&loop, listener_->LocalEndpoint(), Millis(2000),
                             [](bool) {});
    REQUIRE(loop.RunUntil([&] { return server != nullptr; }, Millis(1000)));
  }

  // Reads what has arrived; returns false at the end of the connection.
  bool Read() {
    std::vector<char> buf(size_t{1024} * 1024);
    while (true) {
      IoResult got = caller->Read(buf);
      if (got.status != IoStatus::kDone) {
        return got.status == IoStatus::kBlocked;
      }
      received += got.bytes;
    }
  }
  void Pass(Millis time) {
    loop.RunUntil([] { return false; }, time);
  }

  EventLoop loop{TimeSource::kVirtual};
  ServerConnection::Ptr server;
  std::unique_ptr<Socket> caller;
  size_t body_bytes = 4;
  bool keeps_alive = true;
  int requests = 0;
  bool is_closed = false;
  size_t received = 0;

 private:
  std::unique_ptr<Listener> listener_;
};

ServerLimits IdleAfter(Millis time) {
  ServerLimits limits;
  limits.idle_timeout = time;
  return limits;
}

TEST_CASE(
    "a request that has arrived when an idle connection closes is served") {
  Pair pair(IdleAfter(Millis(5000)));
  pair.caller->Write(kRequest);
  pair.server->CloseWhenIdle();
  REQUIRE(pair.loop.RunUntil([&] { return !pair.Read() || pair.received > 0; },
                             Millis(2000)));
  CHECK(pair.requests == 1);
  CHECK(pair.received > 0);
  CHECK(pair.server->lost_bytes().discarded == 0);
}

TEST_CASE(
    "a request that crosses the close of an idle connection stays unread") {
  Pair pair(IdleAfter(Millis(1000)));
  pair.Pass(Millis(999));
  CHECK_FALSE(pair.is_closed);
  REQUIRE(pair.loop.RunUntil([&] { return !pair.Read(); }, Millis(100)));
  pair.caller->Write(kRequest);
  pair.Pass(Millis(1));
  CHECK(pair.is_closed);
  CHECK(pair.server->lost_bytes().discarded == 0);
}

TEST_CASE("a response that is read slowly is not cut by the idle limit") {
  Pair pair(IdleAfter(Millis(1000)));
  pair.body_bytes = kLargeBody;
  pair.caller->Write(kRequest);
  REQUIRE(pair.loop.RunUntil([&] { return pair.requests == 1; }, Millis(500)));
  CHECK(pair.server->lost_bytes().unwritten > 0);
  pair.Pass(Millis(3000));
  CHECK(pair.loop.RunUntil(
      [&] { return !pair.Read() || pair.received > kLargeBody; }, Millis(500)));
  CHECK(pair.received > kLargeBody);
}

TEST_CASE("an idle connection follows a limit that is raised") {
  Pair pair(IdleAfter(Millis(1000)));
  pair.Pass(Millis(500));
  pair.server->SetLimits(IdleAfter(Millis(4000)));
  pair.Pass(Millis(3200));
  pair.caller->Write(kRequest);
  REQUIRE(pair.loop.RunUntil([&] { return !pair.Read() || pair.received > 0; },
                             Millis(100)));
  CHECK(pair.requests == 1);
}

TEST_CASE("no request is taken behind the last response of a connection") {
  Pair pair(IdleAfter(Millis(5000)));
  pair.body_bytes = kLargeBody;
  pair.keeps_alive = false;
  pair.caller->Write(kRequest + kRequest);
  REQUIRE(pair.loop.RunUntil([&] { return pair.requests == 1; }, Millis(500)));
  pair.caller->Write(kRequest);
  pair.Pass(Millis(100));
  CHECK(pair.requests == 1);
  CHECK(pair.loop.RunUntil([&] { return !pair.Read(); }, Millis(3000)));
  CHECK(pair.received > kLargeBody);
}

// Guards against LOST: the idle time runs while a response is still read.
TEST_CASE(
    "the idle time of a connection begins after its response is written") {
  Pair pair(IdleAfter(Millis(1000)));
  pair.body_bytes = kLargeBody;
  pair.caller->Write(kRequest);
  REQUIRE(pair.loop.RunUntil([&] { return pair.requests == 1; }, Millis(500)));
  pair.Pass(Millis(900));
  REQUIRE(pair.loop.RunUntil(
      [&] { return !pair.Read() || pair.received > kLargeBody; }, Millis(50)));
  pair.Pass(Millis(700));
  pair.caller->Write(kRequest);
  pair.Pass(Millis(10));
  CHECK(pair.requests == 2);
}

// Guards against responses that pile up behind one that is not read.
TEST_CASE("a caller that does not read its responses gets no further ones") {
  Pair pair(IdleAfter(Millis(5000)));
  pair.body_bytes = kLargeBody;
  for (int i = 0; i < 3; ++i) {
    pair.caller->Write(kRequest);
  }
  pair.Pass(Millis(200));
  CHECK(pair.requests == 1);
  REQUIRE(pair.loop.RunUntil([&] { return !pair.Read() || pair.requests == 3; },
                             Millis(4000)));
  CHECK(pair.requests == 3);
}

}  // namespace
}  // namespace basilvalve::net
