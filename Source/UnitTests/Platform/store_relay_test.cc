// Changes of the store that its readers pass on within a region.
#include <catch2/catch.hpp>

#include "Core/Edge/heartbeat_codec.h"
#include "UnitTests/Platform/fake_store.h"
#include "platform/store_change_codec.h"
#include "platform/store_records.h"
#include "platform/store_watcher.h"
#include "platform/wire_dialect.h"

namespace basilvalve::platform_adapter {
namespace {

StoreItem MakeItem(const std::string& key, uint64_t revision,
                   size_t value_bytes = 100) {
  return {key, std::string(value_bytes, 'v'), revision, false};
}

std::string UpstreamEntry(int port) {
  return R"({"service":"s","address":"10.0.0.1:)" + std::to_string(port) +
         R"(","zone":"a","version":1,"slots":4,"state":"ready",)" +
         R"("cold_remaining_ms":0,"sequence":1,"born":5})";
}

std::string DesiredState(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[],"limits":{}})";
}

TEST_CASE("passed-on changes cover their revisions without a gap") {
  std::vector<StoreItem> items;
  for (uint64_t i = 0; i < 40; ++i) {
    // Not in order, as a store may list them by key.
    items.push_back(MakeItem("k" + std::to_string(i), 101 + (i * 7) % 40));
  }
  items.back().is_removed = true;
  auto batches = EncodeStoreChanges(items, {100, 145, flow::CatalogEra(2)});
  REQUIRE(batches.size() > 1);
  uint64_t reached = 100;
  size_t total = 0;
  for (const edge::CatalogChanges& batch : batches) {
    CHECK(batch.range.after == reached);
    CHECK(batch.range.era == flow::CatalogEra(2));
    CHECK(batch.changes.size() < 1500);
    auto decoded = DecodeStoreChanges(batch.changes);
    REQUIRE(decoded);
    for (const StoreItem& item : *decoded) {
      CHECK(item.revision > batch.range.after);
      CHECK(item.revision <= batch.range.last);
    }
    total += decoded->size();
    reached = batch.range.last;
  }
  CHECK(reached == 145);
  CHECK(total == items.size());
}

TEST_CASE("nothing is passed on from the revision of a large change on") {
  struct Row {
    const char* name;
    std::vector<StoreItem> items;
    uint64_t reached;
  };
  const std::vector<Row> rows = {
      {"large change in the middle",
       {MakeItem("a", 101), MakeItem("op/config", 102, 5000),
        MakeItem("b", 103)},
       101},
      {"another change of the same transaction",
       {MakeItem("a", 101), MakeItem("b", 102),
        MakeItem("op/config", 102, 5000)},
       101},
      {"listed after a later change",
       {MakeItem("a", 103), MakeItem("op/config", 102, 5000)},
       100},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    uint64_t reached = 100;
    for (const auto& batch : EncodeStoreChanges(row.items, {100, 105, {}})) {
      reached = batch.range.last;
    }
    CHECK(reached == row.reached);
  }
}

TEST_CASE("a damaged batch of changes is rejected") {
  auto batches = EncodeStoreChanges({MakeItem("a", 101)}, {100, 101, {}});
  REQUIRE(batches.size() == 1);
  std::string bytes = edge::EncodeCatalogChanges(batches[0]);
  REQUIRE(edge::IsCatalogDatagram(bytes));
  for (size_t n = 0; n < bytes.size(); ++n) {
    auto cut = edge::DecodeCatalogChanges(bytes.substr(0, n));
    CHECK((!cut || !DecodeStoreChanges(cut->changes)));
  }
}

constexpr char kBootJson[] = R"({"node":"NODE","zone":"a","region":"north",
  "ip":"127.0.0.1","zones":{"a":"north"},
  "listen":{"front":"127.0.0.1:1","ready":"127.0.0.1:2","directory":"127.0.0.1:3"},
  "internal_ports":[7000,7010],
  "bounds":{"config_apply_ms":3000},
  "platform":{"address":"127.0.0.1:1","ttl_min_ms":1000}})";

// A node in a region of ten instances, the others of which are only registered.
// The test speaks for them with datagrams.
struct RelayFixture {
  net::EventLoop loop;
  FakeStore fake_store{&loop};
  BootSettings boot;
  WireDialect dialect;
  std::unique_ptr<edge::EdgeNode> node;
  std::unique_ptr<StoreClient> store;
  std::unique_ptr<StoreWatcher> watcher;
  std::unique_ptr<net::DatagramSocket> peer;
  uint64_t sequence = 0;

  static flow::InstanceRecord Instance(int i) {
    flow::InstanceRecord record;
    record.id = InstanceId("instance-" + std::to_string(i));
    record.data_centre = flow::DataCentreId("a");
    record.region = RegionId("north");
    record.public_address = "127.0.0.1:9";
    record.peer_address = "127.0.0.1:9";
    record.incarnation = 1;
    return record;
  }

  RelayFixture() {
    boot = *ParseBootSettings(kBootJson);
    std::vector<flow::InstanceRecord> members;
    for (int i = 0; i < 10; ++i) {
      members.push_back(Instance(i));
    }
    // The node is one that does not read for the others.
    flow::InstanceRecord self;
    for (const flow::InstanceRecord& record : members) {
      flow::DispatcherSet set(record, Instant());
      set.SetMembers(members);
      if (!set.IsCatalogReader()) {
        self = record;
      }
    }
    for (const flow::InstanceRecord& record : members) {
      if (record.id != self.id) {
        fake_store.Put("instances/" + record.id.value(),
                       EncodeInstance(record));
      }
    }
    fake_store.Put("op/config", DesiredState(3));
    fake_store.page_size = 50;
    edge::EdgeSettings settings;
    settings.self = self;
    settings.public_address = settings.peer_address = {"127.0.0.1", 0};
    node = std::move(*edge::EdgeNode::Create(&loop, settings, &dialect));
    store = std::make_unique<StoreClient>(&loop, fake_store.endpoint(),
                                          &node->metrics());
    watcher = std::make_unique<StoreWatcher>(&loop, store.get(), node.get(),
                                             &boot, [] {});
    peer = std::move(*net::DatagramSocket::Create(&loop, {"127.0.0.1", 0},
                                                  [](std::string_view) {}));
    watcher->Start();
    REQUIRE(loop.RunUntil([&] { return node->IsReady(); }, Seconds(3)));
    REQUIRE_FALSE(node->IsCatalogReader());
    REQUIRE(node->HasCatalogReaders());
  }

  // A reader of the region confirms that the store has reached the revision.
  void Confirm(uint64_t revision, uint64_t state_version, uint64_t era = 1) {
    flow::Heartbeat heartbeat;
    heartbeat.from = Instance(-1);
    heartbeat.sequence = ++sequence;
    heartbeat.state_version = state_version;
    heartbeat.catalog_position = {flow::CatalogEra(era), revision};
    peer->Send(node->peer_endpoint(), edge::EncodeHeartbeat(heartbeat));
  }
  void PassOn(const std::vector<StoreItem>& items, uint64_t after,
              uint64_t last, uint64_t era = 1) {
    for (const auto& batch :
         EncodeStoreChanges(items, {after, last, flow::CatalogEra(era)})) {
      peer->Send(node->peer_endpoint(), edge::EncodeCatalogChanges(batch));
    }
  }
  bool HasUpstream(const std::string& id) {
    return node->registry().Find(UpstreamId(id)) != nullptr;
  }
  bool RunUntil(const std::function<bool()>& done, Millis time) {
    return loop.RunUntil(done, time);
  }
};

TEST_CASE("a follower applies what a reader passes on, without a store call") {
  RelayFixture fixture;
  // Nine instances and the desired state stand above the first revision.
  constexpr uint64_t kRead = 20;
  uint64_t calls = fixture.fake_store.call_count();
  fixture.PassOn({{"servers/u1", UpstreamEntry(80), kRead + 1, false}}, kRead,
                 kRead + 1);
  fixture.Confirm(kRead + 1, 3);
  CHECK(fixture.RunUntil([&] { return fixture.HasUpstream("u1"); },
                         Millis(1000)));
  fixture.RunUntil([] { return false; }, Millis(800));
  CHECK(fixture.fake_store.call_count() == calls);
}

TEST_CASE("a follower reads changes that did not arrive") {
  RelayFixture fixture;
  fixture.fake_store.Put("servers/u1", UpstreamEntry(80));
  fixture.Confirm(21, 3);
  CHECK(fixture.RunUntil([&] { return fixture.HasUpstream("u1"); },
                         Millis(2500)));
}

TEST_CASE("a reply that withholds changes does not hide them for good") {
  RelayFixture fixture;
  fixture.fake_store.hides_events = true;
  fixture.fake_store.Put("servers/u1", UpstreamEntry(80));
  fixture.Confirm(21, 3);
  fixture.RunUntil([] { return false; }, Millis(2000));
  CHECK_FALSE(fixture.HasUpstream("u1"));
  fixture.fake_store.hides_events = false;
  fixture.Confirm(21, 3);
  CHECK(fixture.RunUntil([&] { return fixture.HasUpstream("u1"); },
                         Millis(1500)));
}

TEST_CASE("a neighbour's later desired state makes an instance read again") {
  RelayFixture fixture;
  fixture.fake_store.Put("op/config", DesiredState(4));
  // As if the change had been lost: the revision is passed on without it.
  fixture.PassOn({{"servers/u1", UpstreamEntry(80), 21, false}}, 20, 21);
  fixture.Confirm(21, 4);
  fixture.RunUntil([] { return false; }, Millis(500));
  fixture.Confirm(21, 4);
  CHECK(fixture.RunUntil(
      [&] {
        return fixture.node->metrics().Text().find("state_version 4") !=
               std::string::npos;
      },
      Millis(4000)));
}

// Guards against CONFIG: a follower takes a lost history's revisions for later
// ones.
TEST_CASE("a follower reads a restored store, and nothing of the lost one") {
  RelayFixture fixture;
  FakeStore& store = fixture.fake_store;
  store.TakeCopy();
  fixture.PassOn({{"servers/u1", UpstreamEntry(80), 21, false}}, 20, 30);
  fixture.Confirm(30, 3);
  REQUIRE(
      fixture.RunUntil([&] { return fixture.HasUpstream("u1"); }, Millis(500)));
  store.RestoreCopy();
  store.Put("op/config", DesiredState(4));
  store.Put("servers/u2", UpstreamEntry(81));
  // A reader that has read the new history: its revisions are below the old.
  fixture.Confirm(22, 4, /*era=*/2);
  CHECK(fixture.RunUntil([&] { return fixture.HasUpstream("u2"); },
                         Millis(2500)));
  CHECK(fixture.node->metrics().Text().find("state_version 4") !=
        std::string::npos);
  // One that is cut off from the store goes on with the lost one.
  fixture.PassOn({{"servers/u3", UpstreamEntry(82), 31, false}}, 20, 31);
  fixture.Confirm(31, 4);
  fixture.PassOn({{"servers/u4", UpstreamEntry(83), 23, false}}, 22, 23,
                 /*era=*/2);
  fixture.Confirm(23, 4, /*era=*/2);
  CHECK(
      fixture.RunUntil([&] { return fixture.HasUpstream("u4"); }, Millis(500)));
  CHECK_FALSE(fixture.HasUpstream("u3"));
}

TEST_CASE(
    "a store that names no era is read once for a neighbour's later one") {
  RelayFixture fixture;
  fixture.fake_store.era = "";
  fixture.fake_store.Put("op/config", DesiredState(4));
  uint64_t calls = fixture.fake_store.call_count();
  for (int i = 0; i < 10; ++i) {
    fixture.Confirm(21, 4, /*era=*/2);
    fixture.RunUntil([] { return false; }, Millis(200));
  }
  CHECK(fixture.node->metrics().Text().find("state_version 4") !=
        std::string::npos);
  CHECK(fixture.fake_store.call_count() - calls < 5);
}

// Guards against DRAIN and EVAC: a full read takes back later changes.
TEST_CASE("a read that ends late does not undo changes passed on meanwhile") {
  RelayFixture fixture;
  FakeStore& store = fixture.fake_store;
  auto is_evacuated = [&] {
    auto upstream = fixture.node->registry().Find(UpstreamId("u1"));
    return upstream != nullptr &&
           fixture.node->registry().IsEvacuated(*upstream);
  };
  store.Put("servers/u1", UpstreamEntry(80));
  store.Put("servers/u2", UpstreamEntry(81));
  store.Put("op/config", DesiredState(4));
  // As if the change of the state had been lost.
  fixture.PassOn({{"servers/u1", UpstreamEntry(80), 21, false},
                  {"servers/u2", UpstreamEntry(81), 22, false}},
                 20, 23);
  fixture.Confirm(23, 4);
  REQUIRE(
      fixture.RunUntil([&] { return fixture.HasUpstream("u2"); }, Millis(500)));
  store.holds_responses = true;
  fixture.RunUntil([] { return false; }, Millis(500));
  fixture.Confirm(23, 4);
  REQUIRE(fixture.RunUntil([&] { return store.held_response_count() == 1; },
                           Millis(4000)));
  store.Remove("servers/u2");
  store.Put("servers/u3", UpstreamEntry(82));
  store.Put("op/evacuate/a", "{}");
  fixture.PassOn({{"servers/u2", "", 24, true},
                  {"servers/u3", UpstreamEntry(82), 25, false},
                  {"op/evacuate/a", "{}", 26, false}},
                 23, 26);
  fixture.Confirm(26, 4);
  REQUIRE(fixture.RunUntil(is_evacuated, Millis(500)));
  store.ReleaseResponses();
  // The desired state came with the read only.
  REQUIRE(fixture.RunUntil(
      [&] {
        return fixture.node->metrics().Text().find("state_version 4") !=
               std::string::npos;
      },
      Millis(500)));
  CHECK(is_evacuated());
  CHECK_FALSE(fixture.HasUpstream("u2"));
  CHECK(fixture.HasUpstream("u3"));
}

}  // namespace
}  // namespace basilvalve::platform_adapter
