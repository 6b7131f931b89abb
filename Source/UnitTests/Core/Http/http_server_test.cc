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

// Far above any duration here: reaching it fails the test.
constexpr milliseconds kMostWait{10000};

int ThreadsOfProcess() {
  std::ifstream file("/proc/self/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("Threads:", 0) == 0) {
      return std::stoi(line.substr(sizeof("Threads:")));
    }
  }
  return 0;
}

bool WaitFor(const std::function<bool()>& holds) {
  auto end = steady_clock::now() + kMostWait;
  while (!holds()) {
    if (steady_clock::now() > end) {
      return false;
    }
    std::this_thread::yield();
  }
  return true;
}

/// Answers with the size of the body; "/wait" once its caller has gone or the
/// test says so; "/long" with more than any buffer on the way holds.
class SizeHandler : public Handler {
 public:
  void Handle(Exchange* exchange) override {
    ++calls;
    const Request& request = exchange->request();
    if (request.path == "/wait") {
      saw_gone =
          WaitFor([&] { return exchange->CallerDisconnected() || released; }) &&
          exchange->CallerDisconnected();
    }
    if (request.path == "/long") {
      exchange->BeginStream(200, {});
      const std::string piece(size_t{64} * 1024, 'x');
      while (exchange->WriteStream(piece)) {
        written += piece.size();
      }
      saw_gone = true;
      return;
    }
    exchange->Reply(200, {}, "size " + std::to_string(request.body.size()));
  }
  std::atomic<int> calls{0};
  std::atomic<size_t> written{0};
  std::atomic<bool> released{false};
  std::atomic<bool> saw_gone{false};
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
    std::string why;
    server = Server::Start(settings, &handler, &why);
    INFO(why);
    REQUIRE(server != nullptr);
  }
  /// Sends a request of that path without reading; the test closes it.
  int Ask(const std::string& path) const {
    int fd = ConnectTo(server->endpoint());
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    REQUIRE(::write(fd, request.data(), request.size()) > 0);
    return fd;
  }
  bool AnswersOverTls() const;

  TestCertificate certificate;
  ServerSettings settings;
  SizeHandler handler;
  std::unique_ptr<Server> server;
};

const std::string kGet =
    "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

bool Fixture::AnswersOverTls() const {
  return TlsExchange(server->endpoint(), kGet).find("size 0") !=
         std::string::npos;
}

TEST_CASE("plaintext callers of a TLS port hold no thread") {
  Fixture f(/*tls=*/true);
  f.Start();
  CHECK(f.AnswersOverTls());
  int before = ThreadsOfProcess();
  for (int i = 0; i < 20; ++i) {
    CHECK(PlainExchange(f.server->endpoint(), kGet).find("200") ==
          std::string::npos);
  }
  CHECK(ThreadsOfProcess() <= before);
  CHECK(f.AnswersOverTls());
  CHECK(f.handler.calls == 2);
  auto begin = steady_clock::now();
  f.server.reset();
  CHECK(steady_clock::now() - begin < kMostWait);
}

TEST_CASE("a body over TLS arrives whole in pieces of any size") {
  Fixture f(/*tls=*/true);
  f.Start();
  const std::string body(300'000, 'b');
  for (size_t piece : {size_t{977}, size_t{16'384}, size_t{1} << 20}) {
    std::string answer = TlsExchange(
        f.server->endpoint(),
        "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body,
        piece);
    INFO("in pieces of " << piece);
    CHECK(answer.find("size 300000") != std::string::npos);
  }
}

TEST_CASE("silent and idle connections hold no thread and delay no other") {
  Fixture f(/*tls=*/true);
  f.Start();
  std::vector<int> silent;
  for (int i = 0; i < 30; ++i) {
    silent.push_back(ConnectTo(f.server->endpoint()));
  }
  CHECK(f.AnswersOverTls());
  for (int fd : silent) {
    ::close(fd);
  }
}

TEST_CASE("a handler learns that its caller has gone") {
  Fixture f(/*tls=*/false);
  f.Start();
  int fd = f.Ask("/wait");
  REQUIRE(WaitFor([&] { return f.handler.calls == 1; }));
  ::close(fd);
  CHECK(WaitFor([&] { return f.handler.saw_gone.load(); }));
}

TEST_CASE("a stream that nobody reads is given up after the write timeout") {
  Fixture f(/*tls=*/false);
  f.settings.write_timeout = milliseconds(200);
  f.Start();
  int fd = f.Ask("/long");
  CHECK(WaitFor([&] { return f.handler.saw_gone.load(); }));
  // The writer was held back by the reader, not by the end of its memory.
  CHECK(f.handler.written < size_t{64} << 20);
  ::close(fd);
}

TEST_CASE("requests on one connection are answered in their order") {
  Fixture f(/*tls=*/false);
  f.Start();
  std::string row;
  for (int i = 0; i < 5; ++i) {
    row += "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";
  }
  int fd = ConnectTo(f.server->endpoint());
  row += kGet;
  REQUIRE(::write(fd, row.data(), row.size()) > 0);
  std::string got;
  char buf[4096];
  for (ssize_t n = 0; (n = ::read(fd, buf, sizeof(buf))) > 0;) {
    got.append(buf, static_cast<size_t>(n));
  }
  ::close(fd);
  size_t answers = 0;
  for (size_t at = got.find("size 1"); at != std::string::npos;
       at = got.find("size 1", at + 1)) {
    ++answers;
  }
  CHECK(answers == 5);
  CHECK(got.substr(got.size() - 6) == "size 0");
}

TEST_CASE("a server that ends cuts what is running") {
  Fixture f(/*tls=*/false);
  f.Start();
  int fd = f.Ask("/wait");
  REQUIRE(WaitFor([&] { return f.handler.calls == 1; }));
  auto begin = steady_clock::now();
  f.server.reset();
  CHECK(steady_clock::now() - begin < kMostWait / 2);
  CHECK(f.handler.saw_gone);
  ::close(fd);
}

TEST_CASE("files that are no certificate are named at start") {
  Fixture f(/*tls=*/true);
  f.settings.certificate_file = "/nonexistent.pem";
  std::string why;
  CHECK(Server::Start(f.settings, &f.handler, &why) == nullptr);
  CHECK(why.find("/nonexistent.pem") != std::string::npos);
}

}  // namespace
}  // namespace basilvalve::http
