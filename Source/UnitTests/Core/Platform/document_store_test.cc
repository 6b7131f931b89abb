#include "Core/Platform/document_store.h"

#include <catch2/catch.hpp>

#include "Core/Common/hash.h"
#include "Core/Platform/http_key_value_store.h"
#include "Core/Platform/rendezvous.h"
#include "Fakes/store_handler.h"

namespace basilvalve::platform {
namespace {

document::ServiceDocument MakeDocument(int64_t priority) {
  document::ServiceDocument document;
  document.name = ServiceName("reports");
  document.workspace = WorkspaceId("tabkasse");
  document.keys = {{"till", Sha256Hex("k")}};
  document.models = {ModelName("m")};
  document.permitted_regions = {RegionId("munich")};
  document.priority = priority;
  return document;
}

struct StoreFixture {
  VirtualClock clock;
  fakes::MemoryStore store;
  document::DocumentCatalog catalog{&clock};
  DocumentStore documents{&store, &catalog};

  Result<document::DocumentRecord> Apply(int64_t priority, uint64_t base,
                                         const char* change) {
    return documents.Apply(
        {MakeDocument(priority), DocumentVersion(base), ChangeId(change)});
  }
};

TEST_CASE("versions increase and a stale edit is rejected with a diff") {
  StoreFixture fixture;
  CHECK(fixture.Apply(1, 0, "a")->version.value() == 1);
  CHECK(fixture.Apply(2, 1, "b")->version.value() == 2);
  Result<document::DocumentRecord> stale_edit = fixture.Apply(3, 1, "c");
  REQUIRE_FALSE(stale_edit.has_value());
  CHECK(stale_edit.error().code == ResultCode::kVersionConflict);
  CHECK(stale_edit.error().message.find("/priority: 2 -> 3") !=
        std::string::npos);
  CHECK(fixture.Apply(5, 1, "x").error().code == ResultCode::kVersionConflict);
}

/// Loses the reply to the next write of a current record, and can fail the
/// listings that would determine the outcome.
class ReplyLosingStore : public fakes::MemoryStore {
 public:
  Result<SwapReply> CompareAndSwap(std::string_view key, std::string_view value,
                                   StoreIndex expected, Seconds ttl) override {
    if (lose_next_reply && key.starts_with(document::kCurrentPrefix)) {
      lose_next_reply = false;
      LoseWriteReplies(1);
    }
    return MemoryStore::CompareAndSwap(key, value, expected, ttl);
  }
  Result<std::vector<StoreEntry>> List(std::string_view prefix) override {
    if (fail_reads) {
      return Fail(ResultCode::kStoreUnavailable, "read failed");
    }
    return MemoryStore::List(prefix);
  }
  bool lose_next_reply = false;
  bool fail_reads = false;
};

TEST_CASE(
    "a lost reply is resolved by change id without creating a second version") {
  StoreFixture fixture;
  ReplyLosingStore store;
  DocumentStore documents(&store, &fixture.catalog);
  DocumentChange change{MakeDocument(1), DocumentVersion(0), ChangeId("a")};
  store.LoseWriteReplies(2);  // replies to the history write
  CHECK(documents.Apply(change)->version.value() == 1);
  change = {MakeDocument(2), DocumentVersion(1), ChangeId("b")};
  store.lose_next_reply = true;
  CHECK(documents.Apply(change)->version.value() == 2);
  CHECK(documents.Apply(change)->version.value() == 2);
}

TEST_CASE(
    "a lost reply has outcome unknown while reads fail, and a retry resolves "
    "it") {
  StoreFixture fixture;
  ReplyLosingStore store;
  DocumentStore documents(&store, &fixture.catalog);
  DocumentChange change{MakeDocument(1), DocumentVersion(0), ChangeId("q")};
  store.lose_next_reply = true;
  store.fail_reads = true;
  Result<document::DocumentRecord> lost_reply = documents.Apply(change);
  REQUIRE_FALSE(lost_reply.has_value());
  CHECK(lost_reply.error().outcome == Outcome::kUnknown);
  store.fail_reads = false;
  Result<document::DocumentRecord> retried = documents.Apply(change);
  REQUIRE(retried.has_value());
  CHECK(retried->version.value() == 1);
}

TEST_CASE(
    "repeating a change that later changes superseded returns its record") {
  StoreFixture fixture;
  fixture.Apply(1, 0, "a");
  fixture.Apply(2, 1, "b");
  fixture.Apply(3, 2, "c");
  CHECK(fixture.Apply(2, 1, "b")->version.value() == 2);
}

TEST_CASE(
    "versions keep increasing after the store is restored from a backup") {
  StoreFixture fixture;
  fixture.Apply(1, 0, "a");
  fixture.store.SaveSnapshot();
  Result<document::DocumentRecord> newest = fixture.Apply(2, 1, "b");
  fixture.catalog.ApplyIfNewer(
      std::make_shared<document::DocumentRecord>(*newest));
  fixture.store.RestoreSnapshot();
  CHECK(fixture.Apply(9, 1, "c").error().code == ResultCode::kVersionConflict);
  CHECK(fixture.Apply(9, 2, "c")->version.value() == 3);
  fixture.store.RestoreSnapshot();
  REQUIRE(fixture.documents.Repair(*newest).has_value());
  Result<std::optional<StoreEntry>> entry =
      fixture.store.Get(document::CurrentKey(ServiceName("reports")));
  CHECK(document::ParseRecord((*entry)->value)->version.value() == 2);
}

TEST_CASE("history follows parent links and is pruned") {
  StoreFixture fixture;
  for (uint64_t i = 0; i < 45; ++i) {
    REQUIRE(
        fixture
            .Apply(static_cast<int64_t>(i % 10), i, std::to_string(i).c_str())
            .has_value());
  }
  Result<std::vector<document::DocumentRecord>> history =
      fixture.documents.History(ServiceName("reports"));
  REQUIRE(history.has_value());
  CHECK(history->size() == 20);
  CHECK(history->front().version.value() == 45);
  CHECK(fixture.store.List(document::HistoryPrefix(ServiceName("reports")))
            ->size() <= 30);
}

TEST_CASE("an unavailable store rejects changes with outcome not-run") {
  StoreFixture fixture;
  fixture.store.SetDown(true);
  Result<document::DocumentRecord> rejected = fixture.Apply(1, 0, "a");
  CHECK(rejected.error().code == ResultCode::kStoreUnavailable);
  CHECK(rejected.error().outcome == Outcome::kNotRun);
}

TEST_CASE("the HTTP client and the fake store implement the store contract") {
  fakes::MemoryStore memory;
  fakes::StoreHandler handler(&memory);
  http::ServerSettings settings;
  settings.endpoint = {"127.0.0.1", 0};
  std::string why;
  auto server = http::Server::Start(settings, &handler, &why);
  REQUIRE(server != nullptr);
  auto store = HttpKeyValueStore::Create(server->endpoint(), Millis(5000));
  CHECK_FALSE(store->Get("a/b")->has_value());
  Result<SwapReply> created =
      store->CompareAndSwap("a/b", "1", kAbsent, Seconds(0));
  REQUIRE(created->swapped);
  CHECK_FALSE(store->CompareAndSwap("a/b", "2", kAbsent, Seconds(0))->swapped);
  CHECK(store->CompareAndSwap("a/b", "2", created->index, Seconds(0))->swapped);
  CHECK((*store->Get("a/b"))->value == "2");
  CHECK(store->List("a/")->size() == 1);
  Result<WatchReply> watch_reply =
      store->Watch("a/", created->index, Millis(5000));
  REQUIRE(watch_reply->changed.size() == 1);
  CHECK(store->Watch("a/", watch_reply->next, Millis(1))->changed.empty());
  CHECK(store->Remove("a/b").has_value());
  memory.SetDown(true);
  CHECK(store->Get("a/b").error().code == ResultCode::kStoreUnavailable);
  server.reset();
  CHECK_FALSE(store->CompareAndSwap("c", "1", kAbsent, Seconds(0)).has_value());
}

TEST_CASE("rendezvous hashing reassigns only the keys of a removed member") {
  std::vector<std::string> members;
  members.reserve(10);
  for (int i = 0; i < 10; ++i) {
    members.push_back("n" + std::to_string(i));
  }
  std::vector<std::string> remaining_members(members.begin(),
                                             members.end() - 1);
  for (int key_index = 0; key_index < 100; ++key_index) {
    std::string name = "duty" + std::to_string(key_index);
    std::string before = ChooseMembers(members, name, 1).front();
    std::string after = ChooseMembers(remaining_members, name, 1).front();
    CHECK((before == after || before == "n9"));
  }
  CHECK(ChooseMembers({}, "d", 2).empty());
}

}  // namespace
}  // namespace basilvalve::platform
