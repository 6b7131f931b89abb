// Keys that are removed while an instance cannot learn of it.
#include <catch2/catch.hpp>

#include "Core/Edge/heartbeat_codec.h"
#include "UnitTests/Core/Edge/edge_fixture.h"
#include "UnitTests/Platform/fake_store.h"
#include "platform/store_records.h"
#include "platform/store_watcher.h"
#include "platform/wire_dialect.h"

namespace basilvalve::platform_adapter {
namespace {

using FailureMode = FakeStore::FailureMode;

// With a limit of 5 s, a state is stale 4 s after it was confirmed.
constexpr Millis kPastStale{4500};

std::string BootJson(const std::string& bounds) {
  return R"({"node":"n","zone":"a","region":"north","ip":"127.0.0.1",
    "zones":{"a":"north"},"listen":{"front":"127.0.0.1:1"},
    "internal_ports":[7000],"platform":{"address":"127.0.0.1:1"},
    "bounds":{)" +
         bounds + "}}";
}

std::string State(int version, const std::string& keys = R"("k1")") {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"host":"h","prefix":"/","service":"s"},)"
         R"({"host":"h","prefix":"/open","service":"s","allow_anonymous":true}],)"
         R"("tenants":[{"name":"acme","api_keys":[)" +
         keys + "]}]}";
}

enum class Role { kAlone, kFollower, kReader };

// A node on virtual time, alone or in a region of ten, the others of which are
// only registered. The test speaks for them with datagrams.
struct RevocationFixture {
  net::EventLoop loop{net::TimeSource::kVirtual};
  FakeStore fake_store{&loop};
  net::TestServer upstream{
      &loop, [](const net::ServerConnection::Ptr& caller,
                const net::ServerRequest& request) {
        caller->Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Request-Id: " +
                      *request.head.Find("X-Request-Id") +
                      "\r\nX-Response-Signature: s\r\n\r\n");
        caller->EndResponse(true);
      }};
  BootSettings boot;
  WireDialect dialect;
  std::unique_ptr<edge::EdgeNode> node;
  std::unique_ptr<StoreClient> store;
  std::unique_ptr<StoreWatcher> watcher;
  // Reserves a port for the datagrams of the other instances.
  std::unique_ptr<net::Listener> listener =
      std::move(*net::Listener::Create(&loop, {"127.0.0.1", 0}, Millis(1000),
                                       [](std::unique_ptr<net::Socket>) {}));
  std::optional<flow::Heartbeat> received;
  std::unique_ptr<net::DatagramSocket> peer =
      std::move(*net::DatagramSocket::Create(
          &loop, listener->LocalEndpoint(), [this](std::string_view bytes) {
            received = edge::DecodeHeartbeat(bytes);
          }));
  uint64_t sequence = 0;
  int calls = 0;

  static flow::InstanceRecord Instance(int i) {
    flow::InstanceRecord record;
    record.id = InstanceId("instance-" + std::to_string(i));
    record.data_centre = flow::DataCentreId("a");
    record.region = RegionId("north");
    record.public_address = record.peer_address = "127.0.0.1:9";
    record.incarnation = 1;
    return record;
  }

  explicit RevocationFixture(
      const std::string& bounds = R"("revoke_strict":true,"revoke_ms":5000)",
      Role role = Role::kAlone) {
    boot = *ParseBootSettings(BootJson(bounds));
    edge::EdgeSettings settings;
    settings.self = Instance(0);
    settings.revocation_limit = boot.revocation_limit;
    settings.public_address = settings.peer_address = {"127.0.0.1", 0};
    fake_store.page_size = 50;
    if (role != Role::kAlone) {
      std::vector<flow::InstanceRecord> members;
      for (int i = 0; i < 10; ++i) {
        members.push_back(Instance(i));
        members.back().peer_address = listener->LocalEndpoint().Text();
        fake_store.Put("instances/" + members.back().id.value(),
                       EncodeInstance(members.back()));
      }
      for (const flow::InstanceRecord& record : members) {
        flow::DispatcherSet set(record, Instant());
        set.SetMembers(members);
        if (set.IsCatalogReader() == (role == Role::kReader)) {
          settings.self = record;
        }
      }
    }
    fake_store.Put("servers/u1", R"({"service":"s","address":")" +
                                     upstream.endpoint().Text() +
                                     R"(","zone":"a","slots":4,)"
                                     R"("state":"ready"})");
    fake_store.Put("op/config", State(3));
    node = std::move(*edge::EdgeNode::Create(&loop, settings, &dialect));
    store = std::make_unique<StoreClient>(&loop, fake_store.endpoint(),
                                          &node->metrics());
    watcher = std::make_unique<StoreWatcher>(&loop, store.get(), node.get(),
                                             &boot, [] {});
    watcher->Start();
    REQUIRE(loop.RunUntil([&] { return node->IsReady(); }, Seconds(3)));
    REQUIRE(node->IsCatalogReader() == (role != Role::kFollower));
    // The first watch begins after a pause of 1 s and ends 1 s later.
    RunFor(Millis(2200));
  }

  void RunFor(Millis time) {
    loop.RunUntil([] { return false; }, time);
  }
  // The response to a call; `key` is empty for none.
  std::string Call(const std::string& key, const std::string& path = "/") {
    edge::RawCaller caller(&loop, node->public_endpoint());
    caller.Send("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r" +
                std::to_string(++calls) + "\r\n" +
                (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n") +
                "\r\n");
    REQUIRE(
        loop.RunUntil([&] { return !caller.text().empty(); }, Millis(1000)));
    return caller.text();
  }
  int Status(const std::string& key, const std::string& path = "/") {
    return std::stoi(Call(key, path).substr(9, 3));
  }
  // A reader of the region confirms that the store has reached the revision.
  void Confirm(uint64_t revision, Millis age = Millis(0), uint64_t era = 1,
               uint64_t state_version = 3) {
    flow::Heartbeat heartbeat;
    heartbeat.from = Instance(-1);
    heartbeat.sequence = ++sequence;
    heartbeat.state_version = state_version;
    heartbeat.catalog_position = {flow::CatalogEra(era), revision};
    heartbeat.catalog_age = age;
    peer->Send(node->peer_endpoint(), edge::EncodeHeartbeat(heartbeat));
  }
  // The other instances of the region show that they run.
  void ShowAlive() {
    ++sequence;
    for (int i = 0; i < 10; ++i) {
      flow::Heartbeat heartbeat;
      heartbeat.from = Instance(i);
      heartbeat.from.peer_address = listener->LocalEndpoint().Text();
      heartbeat.sequence = sequence;
      if (heartbeat.from.id != node->fleet().self().id) {
        peer->Send(node->peer_endpoint(), edge::EncodeHeartbeat(heartbeat));
      }
    }
  }
  bool HasMetric(const std::string& line) {
    return node->metrics().Text().find(line + "\n") != std::string::npos;
  }
};

TEST_CASE("a key that is removed is refused, also without strict revocation") {
  for (const char* bounds : {"", R"("revoke_strict":true)"}) {
    RevocationFixture fixture(bounds);
    CHECK(fixture.Status("k1") == 200);
    fixture.fake_store.Put("op/config", State(4, R"("k2")"));
    fixture.RunFor(Millis(600));
    CHECK(fixture.Status("k1") == 401);
    CHECK(fixture.Status("k2") == 200);
  }
}

// Guards against an instance without the store that accepts a removed key.
TEST_CASE("keys are refused while the store confirms nothing") {
  for (FailureMode mode : {FailureMode::kNoResponse, FailureMode::kUnavailable,
                           FailureMode::kConnectionReset}) {
    INFO(static_cast<int>(mode));
    RevocationFixture fixture;
    fixture.fake_store.SetFailureMode(mode);
    fixture.RunFor(Millis(2500));
    CHECK(fixture.Status("k1") == 200);
    CHECK(fixture.HasMetric("basilvalve_edge_state_fresh 1"));
    fixture.RunFor(Millis(2000));
    std::string response = fixture.Call("k1");
    CHECK(response.starts_with("HTTP/1.1 503 "));
    CHECK(response.find("Retry-After: 0.3") != std::string::npos);
    // It may be a key that was added meanwhile.
    CHECK(fixture.Status("k2") == 503);
    CHECK(fixture.Status("k1", "/open") == 503);
    CHECK(fixture.Status("") == 401);
    CHECK(fixture.Status("", "/open") == 200);
    CHECK(fixture.HasMetric("basilvalve_edge_state_fresh 0"));
    CHECK(fixture.HasMetric(
        "basilvalve_edge_state_freshness_changes_total{to=\"stale\"} 1"));
    fixture.fake_store.SetFailureMode(FailureMode::kHealthy);
    fixture.RunFor(Millis(2500));
    CHECK(fixture.Status("k1") == 200);
    CHECK(fixture.HasMetric("basilvalve_edge_state_fresh 1"));
  }
}

// Guards against a reply that is taken for recent because it arrives now.
TEST_CASE("a reply that waited while the process was frozen confirms nothing") {
  RevocationFixture fixture;
  FakeStore& store = fixture.fake_store;
  store.holds_responses = true;
  REQUIRE(fixture.loop.RunUntil(
      [&] { return store.held_response_count() == 1; }, Millis(3000)));
  fixture.loop.SkipTime(kPastStale);
  store.ReleaseResponses();
  store.SetFailureMode(FailureMode::kNoResponse);
  fixture.RunFor(Millis(100));
  CHECK(fixture.Status("k1") == 503);
  store.SetFailureMode(FailureMode::kHealthy);
  fixture.RunFor(Millis(2500));
  CHECK(fixture.Status("k1") == 200);
}

// Guards against a longer watch, after which a change may go unnoticed for
// more than the limit.
TEST_CASE("an idle store keeps the state fresh") {
  for (const char* bounds : {R"("revoke_strict":true,"revoke_ms":5000)",
                             R"("revoke_strict":true,"revoke_ms":1500)"}) {
    INFO(bounds);
    RevocationFixture fixture(bounds);
    fixture.RunFor(Seconds(20));
    CHECK(fixture.Status("k1") == 200);
    CHECK_FALSE(fixture.node->metrics().Text().find("{to=\"stale\"}") !=
                std::string::npos);
  }
}

// The revision of a follower's read: ten instances, an upstream and the state
// stand above the first revision.
constexpr uint64_t kRead = 22;

// Guards against a follower that relies on a confirmation which does not cover
// its own desired state.
TEST_CASE("a follower is fresh while a reader confirms what it has applied") {
  struct Row {
    const char* name;
    uint64_t revision;
    Millis age;
    uint64_t era;
    uint64_t state_version;
    bool is_fresh;
  };
  const std::vector<Row> rows = {
      {"current", kRead, Millis(0), 1, 3, true},
      {"below what was read", kRead - 1, Millis(0), 1, 3, true},
      {"recent", kRead, Millis(3500), 1, 3, true},
      {"old", kRead, Millis(4500), 1, 3, false},
      {"age in the future", kRead, Millis(-60'000), 1, 3, true},
      {"later changes", kRead + 1, Millis(0), 1, 3, false},
      {"later state", kRead, Millis(0), 1, 4, false},
      {"earlier era", kRead, Millis(0), 0, 3, false},
      {"later era", 5, Millis(0), 2, 3, false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    RevocationFixture fixture(R"("revoke_strict":true)", Role::kFollower);
    fixture.fake_store.SetFailureMode(FailureMode::kNoResponse);
    fixture.RunFor(kPastStale);
    REQUIRE(fixture.Status("k1") == 503);
    fixture.Confirm(row.revision, row.age, row.era, row.state_version);
    fixture.RunFor(Millis(50));
    CHECK(fixture.Status("k1") == (row.is_fresh ? 200 : 503));
    // The reader falls silent.
    fixture.RunFor(kPastStale);
    CHECK(fixture.Status("k1") == 503);
  }
}

// Guards against a confirmation of the lost history that arrives late.
TEST_CASE("a follower that knows of a later era trusts no earlier one") {
  RevocationFixture fixture(R"("revoke_strict":true)", Role::kFollower);
  fixture.fake_store.SetFailureMode(FailureMode::kNoResponse);
  fixture.Confirm(5, Millis(0), /*era=*/2);
  fixture.RunFor(kPastStale);
  fixture.Confirm(kRead);
  fixture.RunFor(Millis(50));
  CHECK(fixture.Status("k1") == 503);
  fixture.fake_store.era = "2";
  fixture.fake_store.SetFailureMode(FailureMode::kHealthy);
  fixture.RunFor(Millis(3000));
  CHECK(fixture.Status("k1") == 200);
}

// Guards against a datagram that is taken for recent because it is read now.
TEST_CASE(
    "a confirmation that waited while the process was frozen is ignored") {
  RevocationFixture fixture(R"("revoke_strict":true)", Role::kFollower);
  fixture.fake_store.SetFailureMode(FailureMode::kNoResponse);
  fixture.Confirm(kRead);
  fixture.loop.SkipTime(kPastStale);
  fixture.RunFor(Millis(50));
  CHECK(fixture.Status("k1") == 503);
  fixture.Confirm(kRead);
  fixture.RunFor(Millis(50));
  CHECK(fixture.Status("k1") == 503);
  fixture.RunFor(Millis(300));
  fixture.Confirm(kRead);
  fixture.RunFor(Millis(50));
  CHECK(fixture.Status("k1") == 200);
}

// Guards against a reader that was frozen and passes on a confirmation of then
// as one of now.
TEST_CASE("a reader's heartbeats state how long ago the store was asked") {
  RevocationFixture fixture(R"("revoke_strict":true)", Role::kReader);
  FakeStore& store = fixture.fake_store;
  store.holds_responses = true;
  REQUIRE(fixture.loop.RunUntil(
      [&] { return store.held_response_count() == 1; }, Millis(3000)));
  fixture.loop.SkipTime(kPastStale);
  store.ReleaseResponses();
  store.SetFailureMode(FailureMode::kNoResponse);
  fixture.ShowAlive();
  fixture.RunFor(Millis(50));
  fixture.received.reset();
  fixture.RunFor(Millis(400));
  REQUIRE(fixture.received);
  CHECK(fixture.received->catalog_position.revision == kRead);
  CHECK(fixture.received->catalog_age >= kPastStale);
}

TEST_CASE("a restored store confirms once it was read in its new era") {
  RevocationFixture fixture;
  fixture.fake_store.TakeCopy();
  fixture.fake_store.Put("op/config", State(4, R"("k2")"));
  fixture.RunFor(Millis(600));
  fixture.fake_store.RestoreCopy();
  fixture.RunFor(Seconds(10));
  // The later state stays in force, as without strict revocation.
  CHECK(fixture.Status("k2") == 200);
  CHECK(fixture.Status("k1") == 401);
  fixture.fake_store.SetFailureMode(FailureMode::kUnavailable);
  fixture.RunFor(kPastStale);
  CHECK(fixture.Status("k2") == 503);
}

TEST_CASE("without strict revocation, keys count however old the state is") {
  for (const char* bounds : {"", R"("revoke_strict":false,"revoke_ms":5000)"}) {
    for (Role role : {Role::kAlone, Role::kFollower}) {
      RevocationFixture fixture(bounds, role);
      fixture.fake_store.SetFailureMode(FailureMode::kNoResponse);
      fixture.RunFor(Seconds(20));
      CHECK(fixture.Status("k1") == 200);
      CHECK(fixture.node->metrics().Text().find("state_fresh") ==
            std::string::npos);
    }
  }
}

TEST_CASE("the limit for revocations is read from the settings") {
  auto limit = [](const std::string& bounds) {
    return ParseBootSettings(BootJson(bounds))->revocation_limit;
  };
  CHECK(limit("") == std::nullopt);
  CHECK(limit(R"("revoke_ms":5000)") == std::nullopt);
  CHECK(limit(R"("revoke_strict":false)") == std::nullopt);
  CHECK(limit(R"("revoke_strict":true)") == Millis(5000));
  CHECK(limit(R"("revoke_strict":true,"revoke_ms":700)") == Millis(700));
  for (const char* bad :
       {R"("revoke_strict":1)", R"("revoke_strict":true,"revoke_ms":0)",
        R"("revoke_strict":true,"revoke_ms":"5000")",
        R"("revoke_strict":true,"revoke_ms":1e300)"}) {
    auto settings = ParseBootSettings(BootJson(bad));
    REQUIRE_FALSE(settings);
    CHECK(settings.error().message.find("bounds.revoke_") != std::string::npos);
  }
}

}  // namespace
}  // namespace basilvalve::platform_adapter
