#include <catch2/catch.hpp>

#include "UnitTests/Platform/fake_store.h"
#include "platform/boot_settings.h"
#include "platform/registration.h"
#include "platform/store_records.h"
#include "platform/store_watcher.h"
#include "platform/wire_dialect.h"

namespace basilvalve::platform_adapter {
namespace {

constexpr const char* kBootSettingsJson =
    R"({"node":"edge-a-1","role":"gateway",
"ip":"127.0.0.1","zone":"a","region":"north","zones":{"a":"north","b":"south"},
"listen":{"front":"127.0.0.1:1","ready":"127.0.0.1:2","directory":"127.0.0.1:3"},
"internal_ports":[7660,7675],"some_new_field":[1],
"bounds":{"retry_budget_ratio":0.1,"retry_headroom":30,"budget_window_s":5,
"grace_s":8,"ttl_max_s":1},
"platform":{"address":"127.0.0.1:4","ttl_min_ms":1000}})";

constexpr const char* kDesiredStateJson = R"({"version":7,"routes":[
{"name":"r1","host":"h","prefix":"/p/","kind":"streaming","timeout_ms":3000,
"target_latency_ms":800,"priority":0,"service":"s","max_attempts":2,
"resumable":true,"gap_aim_ms":600,"home_regions":["north"]},
{"name":"r2","host":"h","prefix":"/q/","kind":"brand_new","timeout_ms":100,
"traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}]}],
"services":[{"name":"s","health_path":"/healthz","max_connections":360,
"cold_start_s":3.0,"cold_per_s":2.4,
"engine":{"slots":64,"kv_tokens":444719,"stride":8,"moves":true}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":99,
"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::string UpstreamEntry(const std::string& state = "ready") {
  return R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1",)"
         R"("slots":64,"state":")" +
         state + R"(","cold_remaining_ms":1500,"sequence":4,"born":17})";
}

TEST_CASE(
    "valid boot settings are parsed, others are rejected with a message") {
  auto boot = ParseBootSettings(kBootSettingsJson);
  REQUIRE(boot);
  CHECK(boot->RegionOf(boot->data_centre).value() == "north");
  CHECK(boot->internal_port == 7660);
  CHECK(boot->retry_headroom == 30);
  CHECK(boot->directory_ttl == Millis(1000));
  for (
      const char* bad :
      {"", "{", "[]", "{}", R"({"node":1})",
       R"({"node":"n","ip":"i","zone":"a","zones":{"a":"r"},"listen":{"front":"x"},"internal_ports":[1],"platform":{"address":"127.0.0.1:4"}})",
       R"({"node":"n","ip":"i","zone":"z","zones":{"a":"r"},"listen":{"front":"1.1.1.1:1"},"internal_ports":[1],"platform":{"address":"127.0.0.1:4"}})"}) {
    INFO(bad);
    auto refused = ParseBootSettings(bad);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ResultCode::kSettingInvalid);
    CHECK_FALSE(refused.error().message.empty());
  }
}

TEST_CASE("a desired state is decoded completely, invalid ones are rejected") {
  auto state = DecodeDesiredState(kDesiredStateJson);
  REQUIRE(state);
  CHECK((*state)->version() == 7);
  auto route = (*state)->Match("h", "/p/x");
  REQUIRE(route);
  CHECK(route->kind == flow::CallKind::kStream);
  CHECK(route->IsRetryable());
  CHECK_FALSE(route->Permits(RegionId("south")));
  // An unknown kind is treated as the strictest one.
  CHECK((*state)->Match("h", "/q/")->kind == flow::CallKind::kNonIdempotent);
  CHECK((*state)->Match("h", "/q/")->shares.size() == 2);
  const flow::ServiceTraits* traits = (*state)->TraitsOf(ServiceName("s"));
  REQUIRE(traits != nullptr);
  CHECK(traits->tokens_per_event == 8);
  CHECK(traits->supports_prompt_copy);
  CHECK((*state)->limits().body_bytes == 99);
  for (const char* bad : {"", "{}", "[]", R"({"version":"x","routes":[]})",
                          R"({"version":1,"routes":[{"host":1}]})"}) {
    INFO(bad);
    CHECK_FALSE(DecodeDesiredState(bad));
  }
}

TEST_CASE("an upstream entry is decoded, invalid ones are rejected") {
  auto boot = ParseBootSettings(kBootSettingsJson);
  REQUIRE(boot);
  auto record = DecodeUpstream("servers/i-1", UpstreamEntry(), *boot);
  REQUIRE(record);
  CHECK(record->id.value() == "i-1");
  CHECK(record->region.value() == "north");
  CHECK(record->cold_remaining == Millis(1500));
  CHECK(record->started_at_ms == 17);
  CHECK(DecodeUpstream("servers/i-1", UpstreamEntry("draining"), *boot)
            ->is_draining);
  for (
      const std::string& bad :
      {std::string(), std::string("\xff\xfe"), std::string("{}"),
       UpstreamEntry("resting"),
       std::string(
           R"({"service":"s","address":"x","zone":"a","slots":1,"state":"ready"})"),
       std::string(
           R"({"service":"s","address":"1.1.1.1:1","zone":"zz","slots":1,"state":"ready"})"),
       std::string(
           R"({"service":5,"address":"1.1.1.1:1","zone":"a","slots":1,"state":"ready"})"),
       std::string(
           R"({"service":"s","address":"1.1.1.1:1","zone":"a","slots":"6","state":"ready"})")}) {
    INFO(bad);
    CHECK_FALSE(DecodeUpstream("servers/i-1", bad, *boot));
  }
}

// Guards against two faults found by basilvalve-fuzz: entries to which no call
// can be sent were accepted, and a time outside the range of the integer type
// was cast to it.
TEST_CASE("out-of-range numbers in an upstream entry are rejected or clamped") {
  auto boot = ParseBootSettings(kBootSettingsJson);
  REQUIRE(boot);
  auto entry = [](const std::string& address, const std::string& slots,
                  const std::string& cold) {
    return R"({"service":"s","address":")" + address +
           R"(","zone":"a","state":"ready","slots":)" + slots +
           R"(,"cold_remaining_ms":)" + cold + "}";
  };
  REQUIRE(DecodeUpstream("servers/i-1", entry("1.1.1.1:1", "1", "0"), *boot));
  for (const std::string& bad :
       {entry("1.1.1.1:0", "1", "0"), entry("1.1.1.1:1", "0", "0"),
        entry("1.1.1.1:1", "-1", "0"), entry("1.1.1.1:1", "1e12", "0")}) {
    INFO(bad);
    CHECK_FALSE(DecodeUpstream("servers/i-1", bad, *boot));
  }
  auto negative =
      DecodeUpstream("servers/i-1", entry("1.1.1.1:1", "1", "-5"), *boot);
  REQUIRE(negative);
  CHECK(negative->cold_remaining == Millis::zero());
  auto too_large =
      DecodeUpstream("servers/i-1", entry("1.1.1.1:1", "1", "1e300"), *boot);
  REQUIRE(too_large);
  CHECK(too_large->cold_remaining == Millis(86'400'000));
}

TEST_CASE("base64 round-trips, and invalid text is rejected") {
  for (const std::string& bytes :
       {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
        std::string("\0\xff\x7f\0", 4)}) {
    CHECK(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }
  CHECK(EncodeBase64("node-0") == "bm9kZS0w");
  for (const char* bad : {"a", "ab", "a===", "!!!!"}) {
    INFO(bad);
    auto decoded = DecodeBase64(bad);
    CHECK((!decoded || decoded->size() < 2));
  }
}

net::MessageHead MakeHead(std::vector<net::HeaderField> fields,
                          int status = 0) {
  net::MessageHead head;
  head.fields = std::move(fields);
  head.status = status;
  return head;
}

TEST_CASE("call and response heads are translated in both directions") {
  WireDialect dialect;
  auto params = dialect.ParseCallHead(
      MakeHead({{"Host", "h"},
                {"X-Request-Id", "r1"},
                {"x-deadline-ms", "1200.5"},
                {"X-Token-Usage", "1460,80"},
                {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
                {"X-Length-Hint", "64"},
                {"Last-Event-Id", "12"}}));
  REQUIRE(params);
  CHECK(params->size.estimated_tokens_out == 64);
  CHECK(params->caller_timeout == Millis(1200));
  CHECK(params->size.tokens_in == 1460);
  REQUIRE(params->size.parts.size() == 2);
  CHECK(params->size.parts[0].id == 0x5c1e07a2);
  CHECK(params->resume_after == 12);
  // An invalid hint is ignored and the call is served.
  for (const char* hint : {"", "many", "-3", "1e9", "99999999999"}) {
    INFO(hint);
    auto parsed = dialect.ParseCallHead(MakeHead(
        {{"Host", "h"}, {"X-Request-Id", "r1"}, {"X-Length-Hint", hint}}));
    REQUIRE(parsed);
    CHECK(parsed->size.estimated_tokens_out == 0);
  }
  CHECK_FALSE(dialect.ParseCallHead(MakeHead({{"Host", "h"}})));
  CHECK_FALSE(dialect.ParseCallHead(
      MakeHead({{"Host", "h"}, {"X-Request-Id", "a"}, {"x-request-id", "b"}})));
  for (const char* reserved :
       {"X-Hold", "x-pin-ms", "X-Kv-Backup", "Kv-From", "KV-Fetch",
        "X-Expect-Instance", "X-Request-Urgency"}) {
    INFO(reserved);
    CHECK_FALSE(dialect.ForwardsHeader(reserved));
  }
  CHECK(dialect.ForwardsHeader("X-Model"));
  struct Row {
    std::vector<net::HeaderField> fields;
    int status;
    edge::NamedCall named_call;
    bool not_executed, is_verified;
  };
  using edge::NamedCall;
  const std::vector<Row> rows = {
      {{{"X-Request-Id", "r1"}, {"X-Response-Signature", "s"}},
       200,
       NamedCall::kThis,
       false,
       true},
      {{{"X-Request-Id", "r1"}}, 200, NamedCall::kThis, false, false},
      {{{"X-Request-Id", "r1"},
        {"X-Response-Signature", "s"},
        {"Content-Encoding", "gzip"}},
       200,
       NamedCall::kThis,
       false,
       false},
      {{{"X-Not-Executed", "1"}}, 503, NamedCall::kNone, true, false},
      {{{"X-Instance-Id", "i"}}, 421, NamedCall::kNone, true, false},
      {{{"X-Request-Id", "other"}, {"X-Not-Executed", "1"}},
       503,
       NamedCall::kOther,
       false,
       false},
  };
  for (const Row& row : rows) {
    auto response_info = dialect.ParseResponseHead(
        MakeHead(row.fields, row.status), RequestId("r1"));
    INFO(row.status << " " << row.fields[0].name << row.fields[0].value);
    CHECK(response_info.named_call == row.named_call);
    CHECK(response_info.not_executed == row.not_executed);
    CHECK(response_info.is_verified == row.is_verified);
  }
}

TEST_CASE("an upstream's load is parsed from its responses") {
  WireDialect dialect;
  auto load = [&](const char* text) {
    return dialect
        .ParseResponseHead(MakeHead({{"X-Server-Load", text}}, 200),
                           RequestId("r"))
        .load;
  };
  REQUIRE(load("3,1,8"));
  CHECK(load("3,1,8")->running == 3);
  CHECK(load("3,1,8")->waiting == 1);
  for (const char* bad : {"", "3", "3,1", "a,1,8", "3,,8"}) {
    INFO(bad);
    CHECK_FALSE(load(bad));
  }
  CHECK(load("3,1,8,250")->slowness == 2.5);
  CHECK(load("3,1,8, 62.5 ,7")->slowness == 0.625);
  // Without a readable fourth figure the other ones count as before.
  for (const char* text :
       {"3,1,8", "3,1,8,", "3,1,8,x", "3,1,8,-5", "3,1,8,nan", "3,1,8,100x"}) {
    INFO(text);
    REQUIRE(load(text));
    CHECK(load(text)->running == 3);
    CHECK_FALSE(load(text)->slowness);
  }
}

// A node whose StoreWatcher and Registration use a FakeStore.
struct StoreWatcherFixture {
  net::EventLoop loop;
  FakeStore fake_store{&loop};
  BootSettings boot = *ParseBootSettings(kBootSettingsJson);
  WireDialect dialect;
  std::unique_ptr<edge::EdgeNode> node;
  std::unique_ptr<StoreClient> store;
  std::unique_ptr<Registration> registration;
  std::unique_ptr<StoreWatcher> watcher;

  StoreWatcherFixture() {
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
  }
  bool WaitUntil(const std::function<bool()>& done) {
    return loop.RunUntil(done, Millis(6000));
  }
  bool HasUpstream(const std::string& id) {
    return node->registry().Find(UpstreamId(id)) != nullptr;
  }
  bool IsRegistered() {
    return fake_store.items().contains("instances/edge-a-1");
  }
};

TEST_CASE("the store is read page by page, then watched for changes") {
  StoreWatcherFixture fixture;
  fixture.fake_store.Put("op/config", kDesiredStateJson);
  for (int i = 0; i < 5; ++i) {
    fixture.fake_store.Put("servers/i-" + std::to_string(i), UpstreamEntry());
  }
  fixture.fake_store.Put("servers/foreign", "\xff not an entry");
  fixture.fake_store.Put("op/evacuate/b", "{}");
  fixture.Start();
  REQUIRE(fixture.WaitUntil([&] { return fixture.node->IsReady(); }));
  CHECK(fixture.node->registry().all().size() == 5);
  REQUIRE(fixture.WaitUntil([&] { return fixture.IsRegistered(); }));
  fixture.fake_store.Put("servers/i-9", UpstreamEntry());
  CHECK(fixture.WaitUntil([&] { return fixture.HasUpstream("i-9"); }));
  fixture.fake_store.Remove("servers/i-9");
  CHECK(fixture.WaitUntil([&] { return !fixture.HasUpstream("i-9"); }));
  auto upstream = fixture.node->registry().Find(UpstreamId("i-1"));
  Instant now = fixture.loop.Now();
  CHECK(fixture.node->registry().CanSendTo(*upstream, now));
  fixture.fake_store.Put("op/evacuate/a", "{}");
  CHECK(fixture.WaitUntil(
      [&] { return !fixture.node->registry().CanSendTo(*upstream, now); }));
  fixture.fake_store.Remove("op/evacuate/a");
  CHECK(fixture.WaitUntil(
      [&] { return fixture.node->registry().CanSendTo(*upstream, now); }));
}

TEST_CASE("a full read after history compaction drops removed keys") {
  StoreWatcherFixture fixture;
  fixture.fake_store.Put("op/config", kDesiredStateJson);
  fixture.fake_store.Put("servers/i-1", UpstreamEntry());
  fixture.Start();
  REQUIRE(fixture.WaitUntil([&] { return fixture.HasUpstream("i-1"); }));
  fixture.fake_store.SetFailureMode(FakeStore::FailureMode::kUnavailable);
  fixture.fake_store.Remove("servers/i-1");
  fixture.fake_store.Put("servers/i-2", UpstreamEntry());
  fixture.fake_store.Compact();
  fixture.fake_store.SetFailureMode(FakeStore::FailureMode::kHealthy);
  CHECK(fixture.WaitUntil([&] {
    return fixture.HasUpstream("i-2") && !fixture.HasUpstream("i-1");
  }));
  CHECK(fixture.node->IsReady());
}

TEST_CASE("the last known state stays in force while the store fails") {
  using FailureMode = FakeStore::FailureMode;
  for (FailureMode mode : {FailureMode::kNoResponse, FailureMode::kUnavailable,
                           FailureMode::kConnectionReset}) {
    INFO(static_cast<int>(mode));
    StoreWatcherFixture fixture;
    fixture.fake_store.Put("op/config", kDesiredStateJson);
    fixture.fake_store.Put("servers/i-1", UpstreamEntry());
    fixture.Start();
    REQUIRE(fixture.WaitUntil([&] { return fixture.HasUpstream("i-1"); }));
    fixture.fake_store.SetFailureMode(mode);
    uint64_t calls_before = fixture.fake_store.call_count();
    fixture.loop.RunUntil([] { return false; }, Millis(700));
    CHECK(fixture.node->IsReady());
    CHECK(fixture.HasUpstream("i-1"));
    // Calls are retried, with a backoff.
    CHECK(fixture.fake_store.call_count() - calls_before < 20);
    fixture.fake_store.SetFailureMode(FailureMode::kHealthy);
    fixture.fake_store.Put("servers/i-2", UpstreamEntry());
    CHECK(fixture.WaitUntil([&] { return fixture.HasUpstream("i-2"); }));
  }
}

TEST_CASE("the instance registers again after its lease is revoked") {
  StoreWatcherFixture fixture;
  fixture.fake_store.Put("op/config", kDesiredStateJson);
  fixture.Start();
  REQUIRE(fixture.WaitUntil([&] { return fixture.IsRegistered(); }));
  fixture.fake_store.RevokeLeases();
  CHECK_FALSE(fixture.IsRegistered());
  CHECK(fixture.WaitUntil([&] { return fixture.IsRegistered(); }));
}

TEST_CASE("a write whose response is lost is retried") {
  StoreWatcherFixture fixture;
  fixture.fake_store.Put("op/config", kDesiredStateJson);
  fixture.fake_store.SetFailureMode(FakeStore::FailureMode::kWriteResponseLost);
  fixture.Start();
  REQUIRE(fixture.WaitUntil([&] { return fixture.IsRegistered(); }));
  uint64_t calls_before = fixture.fake_store.call_count();
  CHECK(fixture.WaitUntil(
      [&] { return fixture.fake_store.call_count() > calls_before + 2; }));
  fixture.fake_store.SetFailureMode(FakeStore::FailureMode::kHealthy);
  CHECK(fixture.IsRegistered());
}

// Guards against an instance that stays without its entry in the store.
TEST_CASE("a late answer to a renewal does not end a registration") {
  StoreWatcherFixture fixture;
  fixture.fake_store.Put("op/config", kDesiredStateJson);
  fixture.registration->Start();
  REQUIRE(fixture.WaitUntil([&] { return fixture.IsRegistered(); }));
  fixture.fake_store.holds_responses = true;
  REQUIRE(fixture.WaitUntil(
      [&] { return fixture.fake_store.held_response_count() == 1; }));
  fixture.fake_store.holds_responses = false;
  fixture.fake_store.Remove("instances/edge-a-1");
  fixture.fake_store.SetFailureMode(FakeStore::FailureMode::kUnavailable);
  uint64_t calls_before = fixture.fake_store.call_count();
  fixture.registration->OnEntryMissing();
  REQUIRE(fixture.WaitUntil(
      [&] { return fixture.fake_store.call_count() > calls_before; }));
  // The refusal arrives before the answer to the renewal.
  fixture.loop.RunUntil([] { return false; }, Millis(50));
  fixture.fake_store.ReleaseResponses();
  fixture.loop.RunUntil([] { return false; }, Millis(50));
  fixture.fake_store.SetFailureMode(FakeStore::FailureMode::kHealthy);
  CHECK(fixture.WaitUntil([&] { return fixture.IsRegistered(); }));
}

}  // namespace
}  // namespace basilvalve::platform_adapter
