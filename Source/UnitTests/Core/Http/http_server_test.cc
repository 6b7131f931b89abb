#include "Core/Http/http_server.h"

#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <thread>

#include "UnitTests/Core/Http/http_test_util.h"

namespace basilvalve::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Far above any expected duration; exceeding it fails the test.
constexpr milliseconds kWaitTimeout{10000};

int ProcessThreadCount() {
  std::ifstream file("/proc/self/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("Threads:", 0) == 0) {
      return std::stoi(line.substr(sizeof("Threads:")));
    }
  }
  return 0;
}

bool WaitFor(const std::function<bool()>& condition) {
  auto end = steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (steady_clock::now() > end) {
      return false;
    }
    std::this_thread::yield();
  }
  return true;
}

/// Responds with the size of the body. "/wait" first waits until the caller
/// disconnects or `released` is set; "/long" streams until a write fails.
class SizeHandler : public Handler {
 public:
  void Handle(Exchange* exchange) override {
    ++calls;
    const Request& request = exchange->request();
    if (request.path == "/wait") {
      saw_disconnect =
          WaitFor([&] { return exchange->CallerDisconnected() || released; }) &&
          exchange->CallerDisconnected();
    }
    if (request.path == "/long") {
      exchange->BeginStream(200, {});
      const std::string chunk(size_t{64} * 1024, 'x');
      while (exchange->WriteStream(chunk)) {
        written += chunk.size();
      }
      saw_disconnect = true;
      return;
    }
    exchange->Reply(200, {}, "size " + std::to_string(request.body.size()));
  }
  std::atomic<int> calls{0};
  std::atomic<size_t> written{0};
  std::atomic<bool> released{false};
  std::atomic<bool> saw_disconnect{false};
};

struct Fixture {
  explicit Fixture(bool tls) {
    settings.endpoint = {"127.0.0.1", 0};
    settings.max_threads = 8;
    if (tls) {
      settings.certificate_file = certificate.certificate_file();
      settings.key_file = certificate.key_file();
    }
  }
  void Start() {
    std::string error_message;
    server = Server::Start(settings, &handler, &error_message);
    INFO(error_message);
    REQUIRE(server != nullptr);
  }
  /// Sends a request for `path` and returns the socket, which the test closes.
  int SendRequest(const std::string& path) const {
    int fd = ConnectTo(server->endpoint());
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    REQUIRE(::write(fd, request.data(), request.size()) > 0);
    return fd;
  }
  /// Sends a request that closes its connection and returns the response.
  std::string Ask(const std::string& request) const {
    int fd = ConnectTo(server->endpoint());
    REQUIRE(::write(fd, request.data(), request.size()) ==
            static_cast<ssize_t>(request.size()));
    std::string got;
    char buf[4096];
    for (ssize_t n = 0; (n = ::read(fd, buf, sizeof(buf))) > 0;) {
      got.append(buf, static_cast<size_t>(n));
    }
    ::close(fd);
    return got;
  }
  bool RespondsOverTls() const;

  TestCertificate certificate;
  ServerSettings settings;
  SizeHandler handler;
  std::unique_ptr<Server> server;
};

const std::string kGetRequest =
    "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

bool Fixture::RespondsOverTls() const {
  return ExchangeOverTls(server->endpoint(), kGetRequest).find("size 0") !=
         std::string::npos;
}

TEST_CASE("plaintext connections to a TLS port occupy no thread") {
  Fixture f(/*tls=*/true);
  f.Start();
  CHECK(f.RespondsOverTls());
  int before = ProcessThreadCount();
  for (int i = 0; i < 20; ++i) {
    CHECK(ExchangeOverTcp(f.server->endpoint(), kGetRequest).find("200") ==
          std::string::npos);
  }
  CHECK(ProcessThreadCount() <= before);
  CHECK(f.RespondsOverTls());
  CHECK(f.handler.calls == 2);
  auto begin = steady_clock::now();
  f.server.reset();
  CHECK(steady_clock::now() - begin < kWaitTimeout);
}

TEST_CASE("a body over TLS arrives complete for any write size") {
  Fixture f(/*tls=*/true);
  f.Start();
  const std::string body(300'000, 'b');
  for (size_t chunk_bytes : {size_t{977}, size_t{16'384}, size_t{1} << 20}) {
    std::string raw_response = ExchangeOverTls(
        f.server->endpoint(),
        "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body,
        chunk_bytes);
    INFO("in pieces of " << chunk_bytes);
    CHECK(raw_response.find("size 300000") != std::string::npos);
  }
}

TEST_CASE("idle connections occupy no thread and delay no request") {
  Fixture f(/*tls=*/true);
  f.Start();
  std::vector<int> silent;
  for (int i = 0; i < 30; ++i) {
    silent.push_back(ConnectTo(f.server->endpoint()));
  }
  CHECK(f.RespondsOverTls());
  for (int fd : silent) {
    ::close(fd);
  }
}

TEST_CASE("a handler is notified when its caller disconnects") {
  Fixture f(/*tls=*/false);
  f.Start();
  int fd = f.SendRequest("/wait");
  REQUIRE(WaitFor([&] { return f.handler.calls == 1; }));
  ::close(fd);
  CHECK(WaitFor([&] { return f.handler.saw_disconnect.load(); }));
}

TEST_CASE("a stream that is not read is aborted after the write timeout") {
  Fixture f(/*tls=*/false);
  f.settings.write_timeout = milliseconds(200);
  f.Start();
  int fd = f.SendRequest("/long");
  CHECK(WaitFor([&] { return f.handler.saw_disconnect.load(); }));
  // Backpressure stopped the writer long before memory could.
  CHECK(f.handler.written < size_t{64} << 20);
  ::close(fd);
}

TEST_CASE("pipelined requests get their responses in order") {
  Fixture f(/*tls=*/false);
  f.Start();
  std::string row;
  for (int i = 0; i < 5; ++i) {
    row += "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";
  }
  std::string got = f.Ask(row + kGetRequest);
  size_t responses = 0;
  for (size_t at = got.find("size 1"); at != std::string::npos;
       at = got.find("size 1", at + 1)) {
    ++responses;
  }
  CHECK(responses == 5);
  CHECK(got.substr(got.size() - 6) == "size 0");
}

TEST_CASE("destroying the server disconnects running requests") {
  Fixture f(/*tls=*/false);
  f.Start();
  int fd = f.SendRequest("/wait");
  REQUIRE(WaitFor([&] { return f.handler.calls == 1; }));
  auto begin = steady_clock::now();
  f.server.reset();
  CHECK(steady_clock::now() - begin < kWaitTimeout / 2);
  CHECK(f.handler.saw_disconnect);
  ::close(fd);
}

// Guards against clients that keep all connections with unfinished handshakes.
TEST_CASE("unfinished handshakes give way to new connections") {
  Fixture f(/*tls=*/true);
  std::atomic<int> shed{0};
  f.settings.share = net::ResourceShare{size_t{4} << 20, 4};
  f.settings.on_shed = [&shed](std::string_view reason) {
    shed += reason == "idle_connection" ? 1 : 0;
  };
  f.Start();
  // A record header that announces a ClientHello, and a part of that.
  const std::string start("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11);
  std::vector<int> unfinished;
  for (int i = 0; i < 20; ++i) {
    int fd = ConnectTo(f.server->endpoint());
    CHECK(::write(fd, start.data(), start.size()) > 0);
    unfinished.push_back(fd);
  }
  CHECK(f.RespondsOverTls());
  CHECK(WaitFor([&] { return shed == 17; }));
  for (int fd : unfinished) {
    ::close(fd);
  }
}

// Guards against memory that counts as free while handlers still use it.
TEST_CASE("the memory of a request is taken until its response has ended") {
  Fixture f(/*tls=*/false);
  f.settings.share = net::ResourceShare{size_t{1} << 20, 100};
  f.settings.body_copies = 3;
  f.Start();
  // Two of these do not fit.
  const std::string body(150'000, 'b');
  auto post = [&](const std::string& path) {
    return "POST " + path +
           " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  auto is_served = [&f](const std::string& request) {
    return f.Ask(request).find("200 OK") != std::string::npos;
  };
  std::thread first([&] { is_served(post("/wait")); });
  REQUIRE(WaitFor([&] { return f.handler.calls == 1; }));
  CHECK(f.Ask(post("/")).find("503") != std::string::npos);
  CHECK(is_served(kGetRequest));
  CHECK(f.handler.calls == 2);
  f.handler.released = true;
  first.join();
  CHECK(WaitFor([&] { return is_served(post("/")); }));
}

TEST_CASE("an unreadable certificate file is named in the start error") {
  Fixture f(/*tls=*/true);
  f.settings.certificate_file = "/nonexistent.pem";
  std::string error_message;
  CHECK(Server::Start(f.settings, &f.handler, &error_message) == nullptr);
  CHECK(error_message.find("/nonexistent.pem") != std::string::npos);
}

}  // namespace
}  // namespace basilvalve::http
