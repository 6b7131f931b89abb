#include "Core/Net/client_connection.h"

#include <catch2/catch.hpp>
#include <functional>
#include <vector>

#include "UnitTests/Core/Net/test_server.h"

namespace basilvalve::net {
namespace {

constexpr Millis kWaitTimeout{5000};

struct RecordingObserver : ClientObserver {
  bool OnHead(const MessageHead& head) override {
    statuses.push_back(head.status);
    return true;
  }
  void OnBody(std::string_view) override {}
  void OnDone() override { has_ended = true; }
  void OnError(ClientError client_error) override {
    has_ended = true;
    error = client_error;
  }
  bool has_ended = false;
  std::optional<ClientError> error;
  std::vector<int> statuses;
};

// What the server does while the client takes the idle connection again.
struct Row {
  const char* name;
  std::string bytes;
  bool closes;
};

TEST_CASE("bytes that came before a request was written do not answer it") {
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string refusal =
      "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  const std::vector<Row> rows = {
      {"whole response", refusal, false},
      {"part of a response", refusal.substr(0, 20), false},
      {"response and end", refusal, true},
      {"end", "", true},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    EventLoop loop;
    ServerConnection::Ptr server_side;
    size_t requests = 0;
    TestServer server(
        &loop, [&](const ServerConnection::Ptr& caller, const ServerRequest&) {
          ++requests;
          server_side = caller;
          caller->Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
          caller->EndResponse(true);
        });
    auto connection = ClientConnection::Open(&loop, server.endpoint(),
                                             Millis(1000), Millis(1000));
    RecordingObserver first;
    connection->Send(request, &first);
    REQUIRE(loop.RunUntil([&] { return first.has_ended; }, kWaitTimeout));
    REQUIRE(first.statuses == std::vector<int>{200});
    // The bytes are in the client's socket buffer before it sends.
    server_side->Write(row.bytes);
    if (row.closes) {
      server_side->Disconnect();
    }
    RecordingObserver second;
    connection->Send(request, &second);
    REQUIRE(loop.RunUntil([&] { return second.has_ended; }, kWaitTimeout));
    CHECK(second.error == ClientError::kConnectionClosed);
    CHECK_FALSE(connection->has_sent());
    CHECK_FALSE(connection->is_reusable());
    CHECK(second.statuses.empty());
    CHECK(requests == 1);
  }
}

// Guards against a call that waits to its limit on a connection nobody reads.
TEST_CASE("a connection whose last response ended while paused is read again") {
  EventLoop loop;
  TestServer server(
      &loop, [&](const ServerConnection::Ptr& caller, const ServerRequest&) {
        caller->Write(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "1\r\nx\r\n0\r\n\r\n");
        caller->EndResponse(true);
      });
  auto connection = ClientConnection::Open(&loop, server.endpoint(),
                                           Millis(1000), Millis(1000));
  struct PausingObserver : RecordingObserver {
    void OnBody(std::string_view) override { (*connection)->Pause(); }
    std::shared_ptr<ClientConnection>* connection = nullptr;
  };
  PausingObserver first;
  first.connection = &connection;
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  connection->Send(request, &first);
  REQUIRE(loop.RunUntil([&] { return first.has_ended; }, kWaitTimeout));
  REQUIRE_FALSE(first.error);
  REQUIRE(connection->is_reusable());
  RecordingObserver second;
  connection->Send(request, &second);
  REQUIRE(loop.RunUntil([&] { return second.has_ended; }, kWaitTimeout));
  CHECK(second.statuses == std::vector<int>{200});
}

// Guards against a part that counts as the response: the server answers a long
// request early, without a length, and its connection ends before the request
// was written.
TEST_CASE("a response that ends with its connection needs a written request") {
  enum class End { kOrderly, kReset };
  struct Row {
    const char* name;
    std::string response;
    End end;
    bool is_request_read;
    bool is_complete;
  };
  const std::string unsized = "HTTP/1.1 200 OK\r\n\r\npart";
  const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  for (const Row& row : {
           Row{"read, end", unsized, End::kOrderly, true, true},
           Row{"read, reset", unsized, End::kReset, true, false},
           Row{"unread, end", unsized, End::kOrderly, false, false},
           Row{"unread, reset", unsized, End::kReset, false, false},
           Row{"unread, interim, end", interim + unsized, End::kOrderly, false,
               false},
           Row{"unread, interim alone", interim, End::kOrderly, false, false},
           Row{"unread, interim, reset", interim + unsized, End::kReset, false,
               false},
           Row{"unread, length, end", sized, End::kOrderly, false, true},
       }) {
    INFO(row.name);
    EventLoop loop;
    std::unique_ptr<Socket> server;
    auto listener = Listener::Create(
        &loop, {"127.0.0.1", 0}, Millis(2000),
        [&](std::unique_ptr<Socket> socket) { server = std::move(socket); });
    REQUIRE(listener);
    auto connection = ClientConnection::Open(
        &loop, (*listener)->LocalEndpoint(), Millis(1000), Millis(1000));
    // More than both sockets' buffers hold if nobody reads.
    const std::string request =
        row.is_request_read ? "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
                            : std::string(size_t{32} * 1024 * 1024, 'x');
    RecordingObserver observer;
    connection->Send(request, &observer);
    REQUIRE(loop.RunUntil(
        [&] { return server != nullptr && connection->has_sent(); },
        kWaitTimeout));
    loop.RunUntil([] { return false; }, Millis(20));
    CHECK(connection->has_written_all() == row.is_request_read);
    if (row.is_request_read && row.end == End::kOrderly) {
      std::vector<char> buf(4096);
      REQUIRE(server->Read(buf).bytes == request.size());
    }
    server->Write(row.response);
    if (row.end == End::kReset) {
      // The request is unread, so that the connection is reset.
      server->Close();
    } else {
      server->ShutdownWrite();
    }
    REQUIRE(loop.RunUntil([&] { return observer.has_ended; }, kWaitTimeout));
    CHECK(observer.error.has_value() == !row.is_complete);
    CHECK_FALSE(connection->is_reusable());
  }
}

// Guards against TWICE: a call that was given up begins late at its receiver.
TEST_CASE(
    "an aborted request does not complete at a receiver that reads late") {
  EventLoop loop;
  std::unique_ptr<Socket> receiver;
  auto listener = Listener::Create(
      &loop, {"127.0.0.1", 0}, Millis(2000),
      [&](std::unique_ptr<Socket> socket) { receiver = std::move(socket); });
  REQUIRE(listener);
  auto connection = ClientConnection::Open(&loop, (*listener)->LocalEndpoint(),
                                           Millis(1000), Millis(1000));
  REQUIRE(loop.RunUntil(
      [&] { return receiver != nullptr && connection->is_connected(); },
      kWaitTimeout));
  // More than the receiver's buffer holds, less than both buffers do.
  const std::string request =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" +
      std::string(1'000'000, 'x');
  RecordingObserver observer;
  connection->Send(request, &observer);
  REQUIRE(loop.RunUntil([&] { return connection->has_written_all(); },
                        kWaitTimeout));
  connection->Abort();
  std::vector<char> buf(size_t{64} * 1024);
  size_t received = 0;
  bool has_ended = false;
  std::function<void()> read = [&] {
    IoResult got = receiver->Read(buf);
    received += got.bytes;
    has_ended = got.status == IoStatus::kEof || got.status == IoStatus::kReset;
    if (!has_ended) {
      receiver->WaitReadable(read);
    }
  };
  receiver->WaitReadable(read);
  REQUIRE(loop.RunUntil([&] { return has_ended; }, kWaitTimeout));
  CHECK(received < request.size());
  CHECK_FALSE(observer.has_ended);
}

}  // namespace
}  // namespace basilvalve::net
