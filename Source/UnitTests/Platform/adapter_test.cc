#include <catch2/catch.hpp>

#include "UnitTests/Platform/fake_store.h"
#include "platform/boot_settings.h"
#include "platform/registration.h"
#include "platform/store_records.h"
#include "platform/store_watcher.h"
#include "platform/wire_dialect.h"

namespace basilvalve::platform_adapter {
namespace {

constexpr const char* kBoot = R"({"node":"edge-a-1","role":"gateway",
"ip":"127.0.0.1","zone":"a","region":"north","zones":{"a":"north","b":"south"},
"listen":{"front":"127.0.0.1:1","ready":"127.0.0.1:2","directory":"127.0.0.1:3"},
"internal_ports":[7660,7675],"some_new_field":[1],
"bounds":{"retry_budget_ratio":0.1,"retry_headroom":30,"budget_window_s":5,
"grace_s":8,"ttl_max_s":1},
"platform":{"address":"127.0.0.1:4","ttl_min_ms":1000}})";

constexpr const char* kState = R"({"version":7,"routes":[
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

TEST_CASE("the settings file is read, or refused with the reason") {
  auto boot = ParseBootSettings(kBoot);
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

TEST_CASE("a desired state is decoded once, whole") {
  auto state = DecodeDesiredState(kState);
  REQUIRE(state);
  CHECK((*state)->version() == 7);
  auto route = (*state)->Match("h", "/p/x");
  REQUIRE(route);
  CHECK(route->kind == flow::CallKind::kStream);
  CHECK(route->IsRepeatable());
  CHECK_FALSE(route->Permits(RegionId("south")));
  // A kind of later days is handled as the strictest.
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

TEST_CASE("an entry by another writer names no upstream") {
  auto boot = ParseBootSettings(kBoot);
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

// Found by basilvalve-fuzz: entries that no call can be sent to were taken, and
// a time beyond any number was cast to one.
TEST_CASE("an entry with numbers that cannot be is refused or bounded") {
  auto boot = ParseBootSettings(kBoot);
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
  auto past =
      DecodeUpstream("servers/i-1", entry("1.1.1.1:1", "1", "-5"), *boot);
  REQUIRE(past);
  CHECK(past->cold_remaining == Millis::zero());
  auto endless =
      DecodeUpstream("servers/i-1", entry("1.1.1.1:1", "1", "1e300"), *boot);
  REQUIRE(endless);
  CHECK(endless->cold_remaining == Millis(86'400'000));
}

TEST_CASE("base64 comes back as it was, and other text is refused") {
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

net::MessageHead HeadOf(std::vector<net::HeaderField> fields, int status = 0) {
  net::MessageHead head;
  head.fields = std::move(fields);
  head.status = status;
  return head;
}

TEST_CASE("heads are translated both ways") {
  WireDialect dialect;
  auto terms = dialect.ParseCallHead(
      HeadOf({{"Host", "h"},
              {"X-Request-Id", "r1"},
              {"x-deadline-ms", "1200.5"},
              {"X-Token-Usage", "1460,80"},
              {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
              {"X-Length-Hint", "64"},
              {"Last-Event-Id", "12"}}));
  REQUIRE(terms);
  CHECK(terms->size.hinted_out == 64);
  CHECK(terms->caller_timeout == Millis(1200));
  CHECK(terms->size.tokens_in == 1460);
  REQUIRE(terms->size.parts.size() == 2);
  CHECK(terms->size.parts[0].id == 0x5c1e07a2);
  CHECK(terms->resume_after == 12);
  // A hint that cannot be read is none, and the call is served.
  for (const char* hint : {"", "many", "-3", "1e9", "99999999999"}) {
    INFO(hint);
    auto odd = dialect.ParseCallHead(HeadOf(
        {{"Host", "h"}, {"X-Request-Id", "r1"}, {"X-Length-Hint", hint}}));
    REQUIRE(odd);
    CHECK(odd->size.hinted_out == 0);
  }
  CHECK_FALSE(dialect.ParseCallHead(HeadOf({{"Host", "h"}})));
  CHECK_FALSE(dialect.ParseCallHead(
      HeadOf({{"Host", "h"}, {"X-Request-Id", "a"}, {"x-request-id", "b"}})));
  for (const char* own :
       {"X-Hold", "x-pin-ms", "X-Kv-Backup", "Kv-From", "KV-Fetch",
        "X-Expect-Instance", "X-Request-Urgency"}) {
    INFO(own);
    CHECK_FALSE(dialect.ForwardsHeader(own));
  }
  CHECK(dialect.ForwardsHeader("X-Model"));
  struct Row {
    std::vector<net::HeaderField> fields;
    int status;
    bool matches_request, not_executed, is_verified;
  };
  const std::vector<Row> rows = {
      {{{"X-Request-Id", "r1"}, {"X-Response-Signature", "s"}},
       200,
       true,
       false,
       true},
      {{{"X-Request-Id", "r1"}}, 200, true, false, false},
      {{{"X-Request-Id", "r1"},
        {"X-Response-Signature", "s"},
        {"Content-Encoding", "gzip"}},
       200,
       true,
       false,
       false},
      {{{"X-Not-Executed", "1"}}, 503, false, true, false},
      {{{"X-Instance-Id", "i"}}, 421, false, true, false},
      {{{"X-Request-Id", "other"}, {"X-Not-Executed", "1"}},
       503,
       false,
       false,
       false},
  };
  for (const Row& row : rows) {
    auto answer = dialect.ParseResponseHead(HeadOf(row.fields, row.status),
                                            RequestId("r1"));
    INFO(row.status << " " << row.fields[0].name << row.fields[0].value);
    CHECK(answer.matches_request == row.matches_request);
    CHECK(answer.not_executed == row.not_executed);
    CHECK(answer.is_verified == row.is_verified);
  }
}

TEST_CASE("an upstream's load comes with its answers") {
  WireDialect dialect;
  auto load = [&](const char* text) {
    return dialect
        .ParseResponseHead(HeadOf({{"X-Server-Load", text}}, 200),
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
}

// An instance with its feed and registration on a stand-in of the store.
struct FeedBench {
  net::EventLoop loop;
  StoreStandIn store_side{&loop};
  BootSettings boot = *ParseBootSettings(kBoot);
  WireDialect dialect;
  std::unique_ptr<edge::EdgeNode> node;
  std::unique_ptr<StoreClient> store;
  std::unique_ptr<Registration> registration;
  std::unique_ptr<StoreFeed> feed;

  FeedBench() {
    edge::EdgeSettings settings;
    settings.self.id = InstanceId("edge-a-1");
    settings.self.data_centre = boot.data_centre;
    settings.self.region = RegionId("north");
    settings.self.incarnation = 5;
    settings.front = settings.peer = {"127.0.0.1", 0};
    node = std::move(*edge::EdgeNode::Create(&loop, settings, &dialect));
    store = std::make_unique<StoreClient>(&loop, store_side.endpoint(),
                                          &node->metrics());
    registration = std::make_unique<Registration>(&loop, store.get(),
                                                  settings.self, Millis(1000));
    feed = std::make_unique<StoreFeed>(&loop, store.get(), node.get(), &boot,
                                       [this] { registration->OnMissing(); });
  }

  void Start() {
    feed->Start();
    registration->Start();
  }
  bool Until(const std::function<bool()>& done) {
    return loop.RunUntil(done, Millis(6000));
  }
  bool HasUpstream(const std::string& id) {
    return node->registry().Find(UpstreamId(id)) != nullptr;
  }
  bool IsRegistered() {
    return store_side.items().contains("instances/edge-a-1");
  }
};

TEST_CASE("what lies in the store is read page by page, then followed") {
  FeedBench bench;
  bench.store_side.Put("op/config", kState);
  for (int i = 0; i < 5; ++i) {
    bench.store_side.Put("servers/i-" + std::to_string(i), UpstreamEntry());
  }
  bench.store_side.Put("servers/foreign", "\xff not an entry");
  bench.store_side.Put("op/evacuate/b", "{}");
  bench.Start();
  REQUIRE(bench.Until([&] { return bench.node->IsReady(); }));
  CHECK(bench.node->registry().all().size() == 5);
  REQUIRE(bench.Until([&] { return bench.IsRegistered(); }));
  bench.store_side.Put("servers/i-9", UpstreamEntry());
  CHECK(bench.Until([&] { return bench.HasUpstream("i-9"); }));
  bench.store_side.Remove("servers/i-9");
  CHECK(bench.Until([&] { return !bench.HasUpstream("i-9"); }));
  auto upstream = bench.node->registry().Find(UpstreamId("i-1"));
  Instant now = bench.loop.Now();
  CHECK(bench.node->registry().CanSendTo(*upstream, now));
  bench.store_side.Put("op/evacuate/a", "{}");
  CHECK(bench.Until(
      [&] { return !bench.node->registry().CanSendTo(*upstream, now); }));
  bench.store_side.Remove("op/evacuate/a");
  CHECK(bench.Until(
      [&] { return bench.node->registry().CanSendTo(*upstream, now); }));
}

TEST_CASE("a history that is gone is read anew, never backwards") {
  FeedBench bench;
  bench.store_side.Put("op/config", kState);
  bench.store_side.Put("servers/i-1", UpstreamEntry());
  bench.Start();
  REQUIRE(bench.Until([&] { return bench.HasUpstream("i-1"); }));
  bench.store_side.SetMood(StoreStandIn::Mood::kBusy);
  bench.store_side.Remove("servers/i-1");
  bench.store_side.Put("servers/i-2", UpstreamEntry());
  bench.store_side.Compact();
  bench.store_side.SetMood(StoreStandIn::Mood::kWell);
  CHECK(bench.Until(
      [&] { return bench.HasUpstream("i-2") && !bench.HasUpstream("i-1"); }));
  CHECK(bench.node->IsReady());
}

TEST_CASE("a store that fails leaves the last known state in force") {
  using Mood = StoreStandIn::Mood;
  for (Mood mood : {Mood::kSilent, Mood::kBusy, Mood::kReset}) {
    INFO(static_cast<int>(mood));
    FeedBench bench;
    bench.store_side.Put("op/config", kState);
    bench.store_side.Put("servers/i-1", UpstreamEntry());
    bench.Start();
    REQUIRE(bench.Until([&] { return bench.HasUpstream("i-1"); }));
    bench.store_side.SetMood(mood);
    uint64_t before = bench.store_side.calls();
    bench.loop.RunUntil([] { return false; }, Millis(700));
    CHECK(bench.node->IsReady());
    CHECK(bench.HasUpstream("i-1"));
    // It asks again, and not as fast as it can.
    CHECK(bench.store_side.calls() - before < 20);
    bench.store_side.SetMood(Mood::kWell);
    bench.store_side.Put("servers/i-2", UpstreamEntry());
    CHECK(bench.Until([&] { return bench.HasUpstream("i-2"); }));
  }
}

TEST_CASE("an entry that was taken away is written again") {
  FeedBench bench;
  bench.store_side.Put("op/config", kState);
  bench.Start();
  REQUIRE(bench.Until([&] { return bench.IsRegistered(); }));
  bench.store_side.RevokeLeases();
  CHECK_FALSE(bench.IsRegistered());
  CHECK(bench.Until([&] { return bench.IsRegistered(); }));
}

TEST_CASE("a write whose answer is lost is made again") {
  FeedBench bench;
  bench.store_side.Put("op/config", kState);
  bench.store_side.SetMood(StoreStandIn::Mood::kLosesAnswers);
  bench.Start();
  REQUIRE(bench.Until([&] { return bench.IsRegistered(); }));
  uint64_t before = bench.store_side.calls();
  CHECK(bench.Until([&] { return bench.store_side.calls() > before + 2; }));
  bench.store_side.SetMood(StoreStandIn::Mood::kWell);
  CHECK(bench.IsRegistered());
}

}  // namespace
}  // namespace basilvalve::platform_adapter
