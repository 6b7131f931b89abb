// A store that comes back from an older copy.
#include <catch2/catch.hpp>

#include "UnitTests/Platform/fake_store.h"
#include "platform/registration.h"
#include "platform/store_records.h"
#include "platform/store_watcher.h"
#include "platform/wire_dialect.h"

namespace basilvalve::platform_adapter {
namespace {

constexpr char kBootJson[] = R"({"node":"edge-a-1","zone":"a","region":"north",
  "ip":"127.0.0.1","zones":{"a":"north"},"heartbeat_ms":1200,
  "listen":{"front":"127.0.0.1:1","ready":"127.0.0.1:2","directory":"127.0.0.1:3"},
  "internal_ports":[7000,7010],"bounds":{"config_apply_ms":3000},
  "platform":{"address":"127.0.0.1:1","ttl_min_ms":1000}})";

std::string Entry(int port, const std::string& state, int sequence,
                  int born = 5) {
  return R"({"service":"s","address":"10.0.0.1:)" + std::to_string(port) +
         R"(","zone":"a","version":1,"slots":4,"state":")" + state +
         R"(","cold_remaining_ms":0,"sequence":)" + std::to_string(sequence) +
         R"(,"born":)" + std::to_string(born) + "}";
}

std::string DesiredState(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[],"limits":{}})";
}

// A node whose StoreWatcher and Registration use a FakeStore, on virtual time.
struct RestoreFixture {
  net::EventLoop loop{net::TimeSource::kVirtual};
  FakeStore fake_store{&loop};
  BootSettings boot = *ParseBootSettings(kBootJson);
  WireDialect dialect;
  std::unique_ptr<edge::EdgeNode> node;
  std::unique_ptr<StoreClient> store;
  std::unique_ptr<Registration> registration;
  std::unique_ptr<StoreWatcher> watcher;

  RestoreFixture() {
    fake_store.page_size = 50;
    fake_store.Put("op/config", DesiredState(3));
    edge::EdgeSettings settings;
    settings.self.id = InstanceId("edge-a-1");
    settings.self.data_centre = boot.data_centre;
    settings.self.region = RegionId("north");
    settings.self.incarnation = 5;
    settings.public_address = settings.peer_address = {"127.0.0.1", 0};
    node = std::move(*edge::EdgeNode::Create(&loop, settings, &dialect));
    store = std::make_unique<StoreClient>(&loop, fake_store.endpoint(),
                                          &node->metrics());
    registration = std::make_unique<Registration>(
        &loop, store.get(), settings.self, Millis(1000), /*seed=*/1);
    watcher = std::make_unique<StoreWatcher>(
        &loop, store.get(), node.get(), &boot,
        [this] { registration->OnEntryMissing(); });
  }

  void Start() {
    watcher->Start();
    registration->Start();
    REQUIRE(WaitFor([&] { return IsRegistered() && node->IsReady(); }));
    // The first watch begins after a pause.
    RunFor(Millis(1200));
  }
  bool WaitFor(const std::function<bool()>& done) {
    return loop.RunUntil(done, Millis(6000));
  }
  void RunFor(Millis time) {
    loop.RunUntil([] { return false; }, time);
  }
  bool IsRegistered() {
    return fake_store.items().contains("instances/edge-a-1");
  }
  bool HasVersion(int version) {
    return node->metrics().Text().find("state_version " +
                                       std::to_string(version) + "\n") !=
           std::string::npos;
  }
  flow::UpstreamRegistry::Ptr Find(const std::string& id) {
    return node->registry().Find(UpstreamId(id));
  }
  bool CanSendTo(const std::string& id) {
    auto upstream = Find(id);
    return upstream && node->registry().CanSendTo(*upstream, loop.Now());
  }
  // Changes until the store is past the revisions that it had before.
  void PutMany(int n) {
    for (int i = 0; i < n; ++i) {
      fake_store.Put("servers/other-" + std::to_string(i),
                     Entry(900 + i, "ready", 1));
    }
  }
};

// Guards against CONFIG: an instance stays at the revision of a lost history.
TEST_CASE("a restored store is read anew, whatever its revisions are") {
  struct Row {
    const char* name;
    std::string era;
    // Changes before anyone looks; more than were lost: no watch gets 410.
    int changes;
  };
  for (const Row& row :
       {Row{"revisions below", "1", 0}, Row{"the old revision", "1", 20},
        Row{"revisions above", "1", 60},
        Row{"revisions below, no era", "", 0}}) {
    INFO(row.name);
    RestoreFixture fixture;
    fixture.fake_store.era = row.era;
    fixture.Start();
    fixture.fake_store.TakeCopy();
    fixture.fake_store.Put("op/config", DesiredState(4));
    for (int i = 0; i < 19; ++i) {
      fixture.fake_store.Put("servers/u1", Entry(80, "ready", i));
    }
    REQUIRE(fixture.WaitFor([&] { return fixture.HasVersion(4); }));
    fixture.RunFor(Millis(100));
    fixture.fake_store.RestoreCopy();
    fixture.fake_store.Put("op/config", DesiredState(5));
    fixture.fake_store.Put("servers/u2", Entry(81, "ready", 1));
    fixture.PutMany(row.changes);
    CHECK(fixture.WaitFor(
        [&] { return fixture.HasVersion(5) && fixture.CanSendTo("u2"); }));
    // What comes next is watched in the new history.
    fixture.fake_store.Put("op/config", DesiredState(6));
    fixture.RunFor(Millis(1000));
    CHECK(fixture.HasVersion(6));
    uint64_t calls = fixture.fake_store.call_count();
    fixture.RunFor(Millis(8000));
    CHECK(fixture.fake_store.call_count() - calls < 20);
  }
}

// Guards against CONFIG, DRAIN and EVAC: an older copy takes back what was in
// force.
TEST_CASE("a restored copy takes nothing back before it has settled") {
  RestoreFixture fixture;
  FakeStore& store = fixture.fake_store;
  store.Put("servers/drained", Entry(80, "ready", 4));
  store.Put("servers/gone", Entry(81, "ready", 4));
  store.Put("servers/back", Entry(82, "ready", 4));
  store.Put("servers/restarted", Entry(83, "draining", 40, 5));
  store.Put("servers/stays", Entry(84, "ready", 4));
  fixture.Start();
  store.TakeCopy();
  store.Put("op/config", DesiredState(4));
  store.Put("servers/drained", Entry(80, "draining", 9));
  store.Remove("servers/gone");
  store.Remove("servers/back");
  store.Put("servers/restarted", Entry(83, "ready", 1, 6));
  store.Put("servers/fresh", Entry(85, "ready", 1));
  store.Put("servers/lost", Entry(86, "ready", 1));
  REQUIRE(fixture.WaitFor([&] {
    return fixture.HasVersion(4) && fixture.Find("lost") &&
           !fixture.Find("gone") && !fixture.CanSendTo("drained");
  }));
  store.RestoreCopy();
  auto check_in_force = [&] {
    CHECK(fixture.HasVersion(4));
    CHECK_FALSE(fixture.CanSendTo("drained"));
    CHECK_FALSE(fixture.CanSendTo("gone"));
    CHECK(fixture.CanSendTo("restarted"));
    CHECK(fixture.CanSendTo("fresh"));
    CHECK(fixture.CanSendTo("lost"));
    CHECK(fixture.CanSendTo("stays"));
  };
  fixture.RunFor(Millis(400));
  check_in_force();
  // It lapsed before, and is written again in the new history.
  store.Put("servers/back", Entry(82, "ready", 9));
  fixture.RunFor(Millis(1500));
  check_in_force();
  CHECK(fixture.CanSendTo("back"));
  // Their processes write again or have lapsed by then.
  store.Put("servers/drained", Entry(80, "draining", 11));
  store.Put("servers/restarted", Entry(83, "ready", 9, 6));
  store.Put("servers/fresh", Entry(85, "ready", 9));
  store.Remove("servers/gone");
  fixture.RunFor(Millis(6000));
  CHECK_FALSE(fixture.CanSendTo("drained"));
  CHECK_FALSE(fixture.Find("gone"));
  CHECK(fixture.CanSendTo("restarted"));
  CHECK(fixture.CanSendTo("fresh"));
  CHECK_FALSE(fixture.Find("lost"));
  CHECK(fixture.CanSendTo("stays"));
}

TEST_CASE("evacuations outlast a restored copy until it has settled") {
  RestoreFixture fixture;
  FakeStore& store = fixture.fake_store;
  store.Put("servers/u1", Entry(80, "ready", 1));
  fixture.Start();
  store.TakeCopy();
  store.Put("op/evacuate/a", "{}");
  REQUIRE(fixture.WaitFor([&] { return !fixture.CanSendTo("u1"); }));
  store.RestoreCopy();
  fixture.RunFor(Millis(1500));
  CHECK_FALSE(fixture.CanSendTo("u1"));
  SECTION("written again") {
    store.Put("op/evacuate/a", "{}");
    fixture.RunFor(Millis(8000));
    CHECK_FALSE(fixture.CanSendTo("u1"));
    store.Remove("op/evacuate/a");
    fixture.RunFor(Millis(2000));
    CHECK(fixture.CanSendTo("u1"));
  }
  SECTION("not written again") {
    fixture.RunFor(Millis(8000));
    CHECK(fixture.CanSendTo("u1"));
  }
  SECTION("written and taken back") {
    store.Put("op/evacuate/a", "{}");
    store.Remove("op/evacuate/a");
    fixture.RunFor(Millis(2000));
    CHECK(fixture.CanSendTo("u1"));
  }
}

// Guards against an instance without its entry: its lease's number is another
// one's now.
TEST_CASE("a lease of a lost history is neither renewed nor ended") {
  for (bool stops : {false, true}) {
    RestoreFixture fixture;
    fixture.fake_store.TakeCopy();
    fixture.registration->Start();
    REQUIRE(fixture.WaitFor([&] { return fixture.IsRegistered(); }));
    fixture.fake_store.RestoreCopy();
    REQUIRE_FALSE(fixture.IsRegistered());
    // Another instance gets the same number.
    StoreClient other(&fixture.loop, fixture.fake_store.endpoint(),
                      &fixture.node->metrics());
    uint64_t lease = 0;
    other.GrantLease(Millis(4000),
                     [&](const StoreReply& reply) { lease = reply.lease; });
    REQUIRE(fixture.WaitFor([&] { return lease != 0; }));
    bool is_written = false;
    other.Put("instances/other", "{}", lease,
              [&](const StoreReply&) { is_written = true; });
    REQUIRE(fixture.WaitFor([&] { return is_written; }));
    CHECK(fixture.WaitFor([&] { return fixture.IsRegistered(); }));
    if (stops) {
      fixture.registration->Stop();
      fixture.RunFor(Millis(100));
      CHECK_FALSE(fixture.IsRegistered());
    }
    CHECK(fixture.fake_store.items().contains("instances/other"));
  }
}

TEST_CASE("a response of an earlier era counts as none") {
  RestoreFixture fixture;
  FakeStore& store = fixture.fake_store;
  store.holds_responses = true;
  int status = -1;
  fixture.store->Range("", "",
                       [&](const StoreReply& reply) { status = reply.status; });
  REQUIRE(fixture.WaitFor([&] { return store.held_response_count() == 1; }));
  store.TakeCopy();
  store.RestoreCopy();
  store.holds_responses = false;
  int later_status = -1;
  fixture.store->Range(
      "", "", [&](const StoreReply& reply) { later_status = reply.status; });
  REQUIRE(fixture.WaitFor([&] { return later_status == 200; }));
  CHECK(fixture.store->era() == flow::CatalogEra(2));
  store.ReleaseResponses();
  REQUIRE(fixture.WaitFor([&] { return status != -1; }));
  CHECK(status == 0);
}

TEST_CASE("an era that cannot be read says nothing") {
  for (const char* era :
       {"", "x", "-1", "1.5", "7,8", "99999999999999999999"}) {
    INFO(era);
    RestoreFixture fixture;
    fixture.Start();
    fixture.fake_store.era = era;
    uint64_t calls = fixture.fake_store.call_count();
    fixture.fake_store.Put("op/config", DesiredState(4));
    CHECK(fixture.WaitFor([&] { return fixture.HasVersion(4); }));
    CHECK(fixture.store->era() == flow::CatalogEra(1));
    fixture.RunFor(Millis(2000));
    CHECK(fixture.fake_store.call_count() - calls < 8);
  }
}

// Guards against CONFIG: a read that mixes two histories.
TEST_CASE("a drill during a full read, and one after another") {
  RestoreFixture fixture;
  FakeStore& store = fixture.fake_store;
  for (int i = 0; i < 10; ++i) {
    store.Put("servers/u" + std::to_string(i), Entry(80 + i, "ready", 1));
  }
  fixture.Start();
  store.TakeCopy();
  store.Put("op/config", DesiredState(4));
  store.Put("servers/u0", Entry(80, "draining", 9));
  REQUIRE(fixture.WaitFor(
      [&] { return fixture.HasVersion(4) && !fixture.CanSendTo("u0"); }));
  store.page_size = 3;
  store.holds_responses = true;
  store.RestoreCopy();
  REQUIRE(fixture.WaitFor([&] { return store.held_response_count() > 0; }));
  store.RestoreCopy();
  store.ReleaseResponses();
  fixture.RunFor(Millis(300));
  store.RestoreCopy();
  fixture.RunFor(Millis(1000));
  store.Put("op/config", DesiredState(5));
  store.Put("servers/u9", Entry(89, "draining", 9));
  CHECK(fixture.WaitFor(
      [&] { return fixture.HasVersion(5) && !fixture.CanSendTo("u9"); }));
  CHECK_FALSE(fixture.CanSendTo("u0"));
  CHECK(fixture.CanSendTo("u1"));
}

}  // namespace
}  // namespace basilvalve::platform_adapter
