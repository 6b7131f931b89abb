#include "Core/Platform/document_store.h"

#include <catch2/catch.hpp>

#include "Core/Common/hash.h"
#include "Core/Platform/http_key_value_store.h"
#include "Core/Platform/rendezvous.h"
#include "Fakes/store_handler.h"

namespace basilvalve::platform {
namespace {

document::ServiceDocument DocumentWith(int64_t priority) {
  document::ServiceDocument document;
  document.name = ServiceName("reports");
  document.workspace = WorkspaceId("tabkasse");
  document.keys = {{"till", Sha256Hex("k")}};
  document.models = {ModelName("m")};
  document.permitted_regions = {RegionId("munich")};
  document.priority = priority;
  return document;
}

struct Bed {
  VirtualClock clock;
  fakes::MemoryStore store;
  document::DocumentCatalog catalog{&clock};
  DocumentStore documents{&store, &catalog};

  Result<document::DocumentRecord> Apply(int64_t priority, uint64_t base,
                                         const char* change) {
    return documents.Apply(
        {DocumentWith(priority), DocumentVersion(base), ChangeId(change)});
  }
};

TEST_CASE("versions rise, a stale edit is refused with the difference") {
  Bed bed;
  CHECK(bed.Apply(1, 0, "a")->version.value() == 1);
  CHECK(bed.Apply(2, 1, "b")->version.value() == 2);
  Result<document::DocumentRecord> stale = bed.Apply(3, 1, "c");
  REQUIRE_FALSE(stale.has_value());
  CHECK(stale.error().code == ResultCode::kVersionConflict);
  CHECK(stale.error().message.find("/priority: 2 -> 3") != std::string::npos);
  CHECK(bed.Apply(5, 1, "x").error().code == ResultCode::kVersionConflict);
}

/// Loses the reply of the next write of a current record, and can fail the
/// reads that would settle it.
class LosingStore : public fakes::MemoryStore {
 public:
  Result<SwapReply> CompareAndSwap(std::string_view key, std::string_view value,
                                   StoreIndex expected, Seconds ttl) override {
    if (armed && key.starts_with(document::kCurrentPrefix)) {
      armed = false;
      LoseWriteReplies(1);
    }
    return MemoryStore::CompareAndSwap(key, value, expected, ttl);
  }
  Result<std::vector<StoreEntry>> List(std::string_view prefix) override {
    if (reads_fail) {
      return Fail(ResultCode::kStoreUnavailable, "read failed");
    }
    return MemoryStore::List(prefix);
  }
  bool armed = false;
  bool reads_fail = false;
};

TEST_CASE(
    "a lost reply is settled by the change id, never by a second version") {
  Bed bed;
  LosingStore store;
  DocumentStore documents(&store, &bed.catalog);
  DocumentChange change{DocumentWith(1), DocumentVersion(0), ChangeId("a")};
  store.LoseWriteReplies(2);  // of the history entry
  CHECK(documents.Apply(change)->version.value() == 1);
  change = {DocumentWith(2), DocumentVersion(1), ChangeId("b")};
  store.armed = true;
  CHECK(documents.Apply(change)->version.value() == 2);
  CHECK(documents.Apply(change)->version.value() == 2);
}

TEST_CASE(
    "a lost reply whose reading back fails is unknown, and can be settled "
    "later") {
  Bed bed;
  LosingStore store;
  DocumentStore documents(&store, &bed.catalog);
  DocumentChange change{DocumentWith(1), DocumentVersion(0), ChangeId("q")};
  store.armed = true;
  store.reads_fail = true;
  Result<document::DocumentRecord> lost = documents.Apply(change);
  REQUIRE_FALSE(lost.has_value());
  CHECK(lost.error().outcome == Outcome::kUnknown);
  store.reads_fail = false;
  Result<document::DocumentRecord> settled = documents.Apply(change);
  REQUIRE(settled.has_value());
  CHECK(settled->version.value() == 1);
}

TEST_CASE("a change accepted under a later one is still found") {
  Bed bed;
  bed.Apply(1, 0, "a");
  bed.Apply(2, 1, "b");
  bed.Apply(3, 2, "c");
  CHECK(bed.Apply(2, 1, "b")->version.value() == 2);
}

TEST_CASE("after a restore from an older copy versions still rise") {
  Bed bed;
  bed.Apply(1, 0, "a");
  bed.store.Save();
  Result<document::DocumentRecord> newest = bed.Apply(2, 1, "b");
  bed.catalog.Offer(std::make_shared<document::DocumentRecord>(*newest));
  bed.store.Restore();
  CHECK(bed.Apply(9, 1, "c").error().code == ResultCode::kVersionConflict);
  CHECK(bed.Apply(9, 2, "c")->version.value() == 3);
  bed.store.Restore();
  REQUIRE(bed.documents.Repair(*newest).has_value());
  Result<std::optional<StoreEntry>> entry =
      bed.store.Get(document::CurrentKey(ServiceName("reports")));
  CHECK(document::ParseRecord((*entry)->value)->version.value() == 2);
}

TEST_CASE("history follows parents and is bounded") {
  Bed bed;
  for (uint64_t i = 0; i < 45; ++i) {
    REQUIRE(
        bed.Apply(static_cast<int64_t>(i % 10), i, std::to_string(i).c_str())
            .has_value());
  }
  Result<std::vector<document::DocumentRecord>> history =
      bed.documents.History(ServiceName("reports"));
  REQUIRE(history.has_value());
  CHECK(history->size() == 20);
  CHECK(history->front().version.value() == 45);
  CHECK(
      bed.store.List(document::HistoryPrefix(ServiceName("reports")))->size() <=
      30);
}

TEST_CASE("a store that is down accepts nothing and says so") {
  Bed bed;
  bed.store.SetDown(true);
  Result<document::DocumentRecord> refused = bed.Apply(1, 0, "a");
  CHECK(refused.error().code == ResultCode::kStoreUnavailable);
  CHECK(refused.error().outcome == Outcome::kNotRun);
}

TEST_CASE("the HTTP client and the stand-in keep the contract of the store") {
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
  Result<WatchReply> seen = store->Watch("a/", created->index, Millis(5000));
  REQUIRE(seen->changed.size() == 1);
  CHECK(store->Watch("a/", seen->next, Millis(1))->changed.empty());
  CHECK(store->Remove("a/b").has_value());
  memory.SetDown(true);
  CHECK(store->Get("a/b").error().code == ResultCode::kStoreUnavailable);
  server.reset();
  CHECK_FALSE(store->CompareAndSwap("c", "1", kAbsent, Seconds(0)).has_value());
}

TEST_CASE("rendezvous hashing moves only the duties of a member that went") {
  std::vector<std::string> members;
  members.reserve(10);
  for (int i = 0; i < 10; ++i) {
    members.push_back("n" + std::to_string(i));
  }
  std::vector<std::string> fewer(members.begin(), members.end() - 1);
  for (int duty = 0; duty < 100; ++duty) {
    std::string name = "duty" + std::to_string(duty);
    std::string before = ChooseMembers(members, name, 1).front();
    std::string after = ChooseMembers(fewer, name, 1).front();
    CHECK((before == after || before == "n9"));
  }
  CHECK(ChooseMembers({}, "d", 2).empty());
}

}  // namespace
}  // namespace basilvalve::platform
