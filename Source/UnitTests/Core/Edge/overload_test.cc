// Callers that take the memory or the connections of an instance.
#include <catch2/catch.hpp>

#include "Core/Edge/accepted_connections.h"
#include "Core/Net/eviction_policy.h"

namespace basilvalve::edge {
namespace {

constexpr size_t kLimit = 1'000'000;
const std::string kHead = "POST /a HTTP/1.1\r\nHost: h\r\n";

// Connections of callers with a small budget, on virtual time. Each request is
// answered at once.
struct OverloadFixture {
  explicit OverloadFixture(size_t max_connections = 100)
      : budgets{std::make_shared<net::MemoryBudget>(kLimit),
                std::make_shared<net::ConnectionBudget>(max_connections)},
        accepted(
            &loop, &metrics, budgets,
            [](ConnectionSide, const net::ServerConnection::Ptr& caller,
               const net::ServerRequest&) {
              caller->Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
              caller->EndResponse(/*keep_alive=*/true);
            }) {
    auto created = net::Listener::Create(
        &loop, {"127.0.0.1", 0}, Millis(2000), [this](auto socket) {
          accepted.Accept(ConnectionSide::kCaller, std::move(socket));
        });
    REQUIRE(created);
    listener = std::move(*created);
  }

  net::Socket* Connect() {
    callers.push_back(net::Socket::Connect(&loop, listener->LocalEndpoint(),
                                           Millis(2000), [](bool) {}));
    Pass(Millis(10));
    return callers.back().get();
  }
  // A request with the first `n` bytes of a body of `length`.
  net::Socket* Send(size_t n, size_t length) {
    net::Socket* caller = Connect();
    std::string text = kHead + "Content-Length: " + std::to_string(length) +
                       "\r\n\r\n" + std::string(n, 'b');
    Write(caller, text);
    return caller;
  }
  void Write(net::Socket* caller, std::string_view bytes) {
    while (!bytes.empty()) {
      bytes.remove_prefix(caller->Write(bytes).bytes);
      Pass(Millis(1));
    }
  }
  std::string Status(net::Socket* caller) {
    std::vector<char> buf(1000);
    net::IoResult got = caller->Read(buf);
    return std::string(buf.data(), got.bytes).substr(0, 12);
  }
  void Pass(Millis time) {
    loop.RunUntil([] { return false; }, time);
  }

  net::EventLoop loop{net::TimeSource::kVirtual};
  EdgeMetrics metrics;
  net::ConnectionBudgets budgets;
  AcceptedConnections accepted;
  std::unique_ptr<net::Listener> listener;
  std::vector<std::unique_ptr<net::Socket>> callers;
};

// Guards against unfinished bodies that keep the memory from other requests.
TEST_CASE("stalled requests give way with 408 before newer ones with 503") {
  OverloadFixture f;
  net::Socket* oldest = f.Send(200'000, 250'000);
  net::Socket* stalled = f.Send(150'000, 250'000);
  f.Write(oldest, "b");
  f.Pass(Millis(1500));
  f.Write(oldest, "b");
  net::Socket* newest = f.Send(240'000, 250'000);
  CHECK(f.Status(stalled) == "HTTP/1.1 408");
  CHECK(f.Status(oldest).empty());
  CHECK(f.Status(newest).empty());
  // Nothing is stalled now, so that the next one is refused itself.
  net::Socket* next = f.Send(100'000, 250'000);
  CHECK(f.Status(next) == "HTTP/1.1 503");
  CHECK(f.Status(newest).empty());
  CHECK(f.Status(oldest).empty());
  // A small request needs no eviction.
  net::Socket* small = f.Send(100, 100);
  CHECK(f.Status(small) == "HTTP/1.1 200");
  CHECK(f.metrics.Text().find("shed_total{reason=\"request_evicted\"} 2") !=
        std::string::npos);
}

// Guards against memory that stays taken after its connections.
TEST_CASE("the memory of requests is given back with their connections") {
  OverloadFixture f;
  f.Send(200'000, 250'000);
  f.Send(100, 100);
  CHECK(f.budgets.memory->used() >= 200'000);
  f.callers.clear();
  f.Pass(Millis(10));
  CHECK(f.budgets.memory->used() == 0);
  CHECK(f.budgets.connections->used() == 0);
}

// Guards against connections that take the descriptors of all others.
TEST_CASE("idle connections give way to new ones, busy ones do not") {
  OverloadFixture f(/*max_connections=*/6);
  net::Socket* busy = f.Send(1, 2);
  net::Socket* idle = f.Connect();
  f.Connect();
  f.Pass(Millis(100));
  net::Socket* fresh = f.Send(1, 2);
  CHECK(f.accepted.callers() == 3);
  std::vector<char> buf(10);
  CHECK(idle->Read(buf).status == net::IoStatus::kEof);
  net::Socket* last = f.Send(1, 2);
  CHECK(last->Read(buf).status == net::IoStatus::kBlocked);
  net::Socket* refused = f.Connect();
  CHECK(refused->Read(buf).status == net::IoStatus::kEof);
  for (net::Socket* it : {busy, fresh, last}) {
    f.Write(it, "b");
    f.Pass(Millis(5));
    CHECK(f.Status(it) == "HTTP/1.1 200");
  }
}

// Guards against callers that keep all connections with requests that never
// become complete, and come back when they are cut off.
TEST_CASE("requests that stay incomplete give way to new connections") {
  OverloadFixture f(/*max_connections=*/6);
  std::vector<net::Socket*> slow;
  for (int i = 0; i < 3; ++i) {
    slow.push_back(f.Send(1, 100));
    f.Pass(Millis(10));
  }
  for (int i = 0; i < 20; ++i) {
    for (net::Socket* it : slow) {
      f.Write(it, "b");
    }
    f.Pass(Millis(50));
  }
  net::Socket* ordinary = f.Send(100, 100);
  CHECK(f.Status(ordinary) == "HTTP/1.1 200");
  CHECK(f.Status(slow[0]) == "HTTP/1.1 408");
  CHECK(f.Status(slow[1]).empty());
  CHECK(f.accepted.callers() == 3);
  CHECK(f.metrics.Text().find("shed_total{reason=\"slow_request\"} 1") !=
        std::string::npos);
}

// Guards against a caller that is read without end after its refusal.
TEST_CASE("input behind a refusal is discarded up to a limit") {
  OverloadFixture f;
  net::Socket* caller = f.Send(0, net::ServerLimits().body_bytes + 1);
  f.Pass(Millis(10));
  CHECK(f.Status(caller) == "HTTP/1.1 413");
  f.Write(caller, std::string(300'000, 'b'));
  CHECK(f.accepted.callers() == 0);
}

TEST_CASE("large requests are evicted first, then stalled, then new ones") {
  Instant now = Instant() + Seconds(100);
  using Request = net::UnfinishedRequest;
  const std::vector<Request> in_order = {
      {100'000, now - Seconds(9), now - Seconds(8)},
      {900'000, now - Seconds(2), now - Seconds(2)},
      {100'000, now - Millis(10), now},
      {100'000, now - Millis(20), now},
      {100, now - Seconds(9), now - Seconds(8)},
      {100, now - Millis(10), now},
  };
  for (size_t i = 0; i < in_order.size(); ++i) {
    for (size_t j = 0; j < in_order.size(); ++j) {
      INFO(i << " and " << j);
      CHECK(IsEvictedBefore(in_order[i], in_order[j], now) == (i < j));
    }
  }
}

}  // namespace
}  // namespace basilvalve::edge
