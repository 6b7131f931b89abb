#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "Core/Http/http_client.h"
#include "Core/Http/http_server.h"
#include "UnitTests/Core/Http/http_test_util.h"

namespace basilvalve::http {
namespace {

/// Responds to each connection with fixed bytes and closes it; counts requests.
class CannedResponseServer {
 public:
  explicit CannedResponseServer(std::string raw_response)
      : raw_response_(std::move(raw_response)) {
    fd_ = ListenOnLoopback(&endpoint);
    thread_ = std::thread([this] { Run(); });
  }

  ~CannedResponseServer() {
    ::shutdown(fd_, SHUT_RDWR);
    thread_.join();
    ::close(fd_);
  }

  Endpoint endpoint;
  std::atomic<int> requests{0};

 private:
  void Run() {
    while (true) {
      int connection = ::accept(fd_, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      char buf[4096];
      requests += ::recv(connection, buf, sizeof(buf), 0) > 0 ? 1 : 0;
      ::send(connection, raw_response_.data(), raw_response_.size(),
             MSG_NOSIGNAL);
      ::close(connection);
    }
  }

  std::string raw_response_;
  int fd_;
  std::thread thread_;
};

struct CollectingSink : ResponseSink {
  bool OnHead(const ResponseHead& head) override {
    status = head.status;
    return true;
  }
  bool OnBody(std::string_view chunk) override {
    body.append(chunk);
    return body.size() < stop_at;
  }
  int status = 0;
  std::string body;
  size_t stop_at = 1 << 20;
};

const Request kPost{"POST", "/x", "a=1", {{"X-One", "1"}}, "body"};

TEST_CASE(
    "a truncated response of declared length is never reported as complete") {
  struct Row {
    const char* name;
    std::string raw_response;
    CallEnd end;
    bool head;
  };
  std::vector<Row> rows = {
      {"no response", "", CallEnd::kIncomplete, false},
      {"cut status line", "HTTP/1.1 20", CallEnd::kIncomplete, false},
      {"cut headers", "HTTP/1.1 200 OK\r\nContent-Le", CallEnd::kIncomplete,
       false},
      {"not HTTP", "garbage\r\n\r\n", CallEnd::kIncomplete, false},
      {"status 000", "HTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nabc",
       CallEnd::kIncomplete, false},
      {"status 099", "HTTP/1.1 099 X\r\nContent-Length: 3\r\n\r\nabc",
       CallEnd::kIncomplete, false},
      {"status 999", "HTTP/1.1 999 X\r\nContent-Length: 3\r\n\r\nabc",
       CallEnd::kIncomplete, false},
      {"status 1000", "HTTP/1.1 1000 X\r\nContent-Length: 3\r\n\r\nabc",
       CallEnd::kIncomplete, false},
      {"negative status", "HTTP/1.1 -20 X\r\nContent-Length: 3\r\n\r\nabc",
       CallEnd::kIncomplete, false},
      {"short body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
       CallEnd::kIncomplete, true},
      {"cut chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
       CallEnd::kIncomplete, true},
      {"complete", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
       CallEnd::kComplete, true},
      {"empty", "HTTP/1.1 204 No\r\nContent-Length: 0\r\n\r\n",
       CallEnd::kComplete, true},
  };
  for (const Row& row : rows) {
    CannedResponseServer server(row.raw_response);
    CollectingSink sink;
    CallReport report = Execute(server.endpoint, kPost, {}, &sink);
    INFO(row.name << ": " << report.detail);
    CHECK(report.end == row.end);
    CHECK(report.head_received == row.head);
    CHECK(server.requests == 1);
  }
}

TEST_CASE(
    "a request is sent once, even when the connection closes without a "
    "response") {
  CannedResponseServer server("");
  CollectingSink sink;
  CHECK(Execute(server.endpoint, kPost, {}, &sink).end == CallEnd::kIncomplete);
  CHECK(server.requests == 1);
}

// Guards against a part that counts as the response to a request that the
// server has not read, whether it ends or resets the connection.
TEST_CASE("an early response without a length to an unread request is cut") {
  const std::string part = "HTTP/1.1 200 OK\r\n\r\n{}";
  Request request = kPost;
  request.body.assign(size_t{32} * 1024 * 1024, 'x');
  for (bool resets : {false, true}) {
    INFO("resets " << resets);
    Endpoint endpoint;
    int listener = ListenOnLoopback(&endpoint);
    std::atomic<int> accepted{-1};
    std::thread server([&] {
      int fd = ::accept(listener, nullptr, nullptr);
      char buf[4096];
      ::recv(fd, buf, sizeof(buf), 0);
      ::send(fd, part.data(), part.size(), MSG_NOSIGNAL);
      resets ? ::close(fd) : ::shutdown(fd, SHUT_WR);
      accepted = resets ? -1 : fd;
    });
    CollectingSink sink;
    CallReport report = Execute(endpoint, request, {}, &sink);
    server.join();
    if (accepted >= 0) {
      ::close(accepted);
    }
    ::close(listener);
    CHECK(report.end == CallEnd::kIncomplete);
  }
}

TEST_CASE("a refused connection is reported as not sent") {
  CollectingSink sink;
  Endpoint nobody{"127.0.0.1", 1};
  CallReport report = Execute(nobody, kPost, {}, &sink);
  CHECK(report.end == CallEnd::kNotSent);
  CHECK_FALSE(report.head_received);
}

TEST_CASE("a call to a server that never responds times out when idle") {
  Endpoint silent;
  int fd = ListenOnLoopback(&silent);
  CallTimeouts timeouts;
  timeouts.idle = std::chrono::milliseconds(120);
  CollectingSink sink;
  CallReport report = Execute(silent, kPost, timeouts, &sink);
  ::close(fd);
  // The request was sent, so the server may have processed it.
  CHECK(report.end == CallEnd::kTimedOut);
  CHECK_FALSE(report.head_received);
}

/// Echoes the request; streams three parts for "/stream" and aborts "/abort".
class EchoHandler : public Handler {
 public:
  void Handle(Exchange* exchange) override {
    const Request& request = exchange->request();
    if (exchange->body_too_large()) {
      exchange->Reply(413, {}, "too large");
    } else if (request.path == "/abort") {
      exchange->Abort();
    } else if (request.path == "/stream") {
      exchange->BeginStream(200, {{"Content-Type", "text/plain"}});
      for (const char* it : {"one ", "two ", "three"}) {
        exchange->WriteStream(it);
      }
      exchange->EndStream();
    } else {
      std::string text = request.method + " " + request.path + "?" +
                         request.query + " " +
                         std::to_string(CountHeader(request.headers, "x-one")) +
                         " " + request.body;
      exchange->Reply(200, {}, text);
    }
  }
};

std::unique_ptr<Server> StartEchoServer(EchoHandler* handler) {
  ServerSettings settings;
  settings.endpoint = {"127.0.0.1", 0};
  settings.max_body_bytes = 1000;
  std::string error_message;
  return Server::Start(settings, handler, &error_message);
}

TEST_CASE("the server passes requests unchanged and streams responses") {
  EchoHandler handler;
  auto server = StartEchoServer(&handler);
  REQUIRE(server != nullptr);
  struct Row {
    Request request;
    int status;
    std::string body;
  };
  std::vector<Row> rows = {
      {kPost, 200, "POST /x?a=1 1 body"},
      {{"PUT", "/y", "", {{"X-One", "1"}, {"X-One", "2"}}, ""},
       200,
       "PUT /y? 2 "},
      {{"DELETE", "/z", "q=%20", {}, ""}, 200, "DELETE /z?q=%20 0 "},
      {{"POST", "/x", "", {}, std::string(1001, 'a')}, 413, "too large"},
      {{"POST", "/x", "", {}, std::string(300000, 'a')}, 413, "too large"},
      {{"POST", "/stream", "", {}, ""}, 200, "one two three"},
  };
  for (const Row& row : rows) {
    BufferedResponse response =
        ExecuteBuffered(server->endpoint(), row.request, {}, 1 << 20);
    INFO(row.request.path);
    CHECK(response.status == row.status);
    CHECK(response.body == row.body);
  }
  CollectingSink sink;
  CHECK(Execute(server->endpoint(), {"GET", "/abort", "", {}, ""}, {}, &sink)
            .end == CallEnd::kIncomplete);
}

TEST_CASE("a sink that returns false cancels the call") {
  EchoHandler handler;
  auto server = StartEchoServer(&handler);
  CollectingSink sink;
  sink.stop_at = 1;
  CHECK(Execute(server->endpoint(), {"GET", "/stream", "", {}, ""}, {}, &sink)
            .end == CallEnd::kCancelled);
}

TEST_CASE("a malformed request gets an error and leaves the server running") {
  EchoHandler handler;
  auto server = StartEchoServer(&handler);
  std::vector<std::string> rows = {
      "NONSENSE\r\n\r\n",
      "GET / HTTP/1.1\r\nX-Big: " + std::string(10000, 'x') + "\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
  };
  for (const std::string& row : rows) {
    std::string raw_response = ExchangeOverTcp(server->endpoint(), row);
    INFO(row.substr(0, 40) << " -> " << raw_response.substr(0, 60));
    CHECK(raw_response.find("200 OK") == std::string::npos);
    CHECK(ExecuteBuffered(server->endpoint(), kPost, {}, 1 << 20).Is(200));
  }
}

TEST_CASE("malformed endpoints are rejected") {
  Endpoint endpoint;
  CHECK(ParseEndpoint("10.0.0.1:80", &endpoint));
  for (const char* it :
       {"", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:x", "1:99999"}) {
    CHECK_FALSE(ParseEndpoint(it, &endpoint));
  }
}

}  // namespace
}  // namespace basilvalve::http
