#include "Core/Document/service_document.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "Core/Common/hash.h"
#include "Core/Document/document_catalog.h"
#include "Core/Document/document_diff.h"

namespace basilvalve::document {
namespace {

using nlohmann::json;

json ValidDocument() {
  return {
      {"name", "payments"},
      {"customer", "tabkasse"},
      {"keys",
       json::array({{{"label", "till"}, {"sha256", Sha256Hex("secret")}}})},
      {"upstream", "service"},
      {"regions", {{"permitted", {"munich", "nuremberg"}}, {"home", "munich"}}},
      {"calls",
       json::array(
           {{{"method", "GET"}, {"path", "/balance*"}, {"idempotent", true}}})},
      {"targets", {{"deadline_ms", 5000}}}};
}

TEST_CASE("an invalid document is rejected with the path of the field") {
  struct Row {
    const char* pointer;
    json value;
    std::string message;
  };
  std::vector<Row> rows = {
      {"/name", "Pay ments",
       "name: may hold only a-z, 0-9, '-', '_' and '.', at most 64"},
      {"/name", 5, "name: must be a string"},
      {"/keys", json::array(), "keys: at least one key is required"},
      {"/keys/0/sha256", "abc",
       "keys[0].sha256: must be 64 lower-case hexadecimal digits"},
      {"/keys/0/secret", "x", "keys[0].secret: unknown field"},
      {"/upstream", "engine", "upstream: must be \"model\" or \"service\""},
      {"/upstream", "model", "models: at least one model is required"},
      {"/regions/permitted", json::array(),
       "regions.permitted: at least one region is required"},
      {"/regions/permitted",
       {"a", "a"},
       "regions.permitted: names region \"a\" twice"},
      {"/regions/permitted/1", 7,
       "regions.permitted[1]: must be a non-empty string"},
      {"/regions/home", "augsburg",
       "regions.home: must be one of the permitted regions"},
      {"/calls/0/path", "balance", "calls[0].path: must start with '/'"},
      {"/calls/0/idempotent", "yes",
       "calls[0].idempotent: must be true or false"},
      {"/targets/deadline_ms", 0,
       "targets.deadline_ms: must be a whole number from 1 to 600000"},
      {"/targets/deadline_ms", 1.5,
       "targets.deadline_ms: must be a whole number from 1 to 600000"},
      {"/priority", 10, "priority: must be a whole number from 0 to 9"},
      {"/limits/burst", 1, "limits.burst: unknown field"},
      {"/colour", "red", "colour: unknown field"},
  };
  for (const Row& row : rows) {
    json changed = ValidDocument();
    changed[json::json_pointer(row.pointer)] = row.value;
    Result<ServiceDocument> parsed = ParseServiceDocument(changed.dump());
    INFO(row.pointer << " = " << row.value.dump());
    REQUIRE_FALSE(parsed.has_value());
    CHECK(parsed.error().message == row.message);
    CHECK(parsed.error().code == ResultCode::kDocumentInvalid);
  }
}

TEST_CASE("text that is not a JSON object is rejected") {
  for (const char* it : {"", "{", "[]", "null",
                         "{\"name\":\"a\",\"name\":\"b\"}", "{} trailing"}) {
    INFO(it);
    CHECK_FALSE(ParseServiceDocument(it).has_value());
  }
}

TEST_CASE("the canonical form of a document round-trips") {
  ServiceDocument document = *ParseServiceDocument(ValidDocument().dump());
  std::string text = FormatServiceDocument(document);
  CHECK(FormatServiceDocument(*ParseServiceDocument(text)) == text);
}

TEST_CASE("permitted regions, idempotent calls and caller keys") {
  ServiceDocument document = *ParseServiceDocument(ValidDocument().dump());
  CHECK(document.Permits(RegionId("munich")));
  CHECK_FALSE(document.Permits(RegionId("augsburg")));
  CHECK(document.IsIdempotent("GET", "/balance/17"));
  CHECK_FALSE(document.IsIdempotent("POST", "/balance/17"));
  CHECK_FALSE(document.IsIdempotent("GET", "/settle"));
  CHECK(document.MatchKey("secret") == "till");
  CHECK_FALSE(document.MatchKey("secre").has_value());
  CHECK_FALSE(document.MatchKey("").has_value());
}

TEST_CASE("a diff names the changed fields and abbreviates key hashes") {
  ServiceDocument from = *ParseServiceDocument(ValidDocument().dump());
  ServiceDocument to = from;
  to.priority = 7;
  to.keys[0].sha256 = Sha256Hex("other");
  std::vector<std::string> lines = DiffDocuments(from, to);
  REQUIRE(lines.size() == 2);
  CHECK(lines[0] == "/keys/0/sha256: " + Sha256Hex("secret").substr(0, 8) +
                        "... -> " + Sha256Hex("other").substr(0, 8) + "...");
  CHECK(lines[1] == "/priority: 5 -> 7");
}

RecordPtr MakeRecord(uint64_t version, const std::string& change) {
  return std::make_shared<DocumentRecord>(
      DocumentRecord{DocumentVersion(version), ChangeId(change), ChangeId(),
                     *ParseServiceDocument(ValidDocument().dump())});
}

TEST_CASE("the catalog activates only higher versions") {
  VirtualClock clock;
  DocumentCatalog catalog(&clock);
  struct Row {
    uint64_t version;
    const char* change;
    ApplyResult result;
    uint64_t in_force;
  };
  std::vector<Row> rows = {
      {2, "b", ApplyResult::kApplied, 2}, {1, "a", ApplyResult::kOlder, 2},
      {2, "b", ApplyResult::kSame, 2},    {2, "x", ApplyResult::kConflict, 2},
      {9, "z", ApplyResult::kApplied, 9}, {3, "c", ApplyResult::kOlder, 9}};
  for (const Row& row : rows) {
    CHECK(catalog.ApplyIfNewer(MakeRecord(row.version, row.change)) ==
          row.result);
    CHECK(catalog.Find(ServiceName("payments"))->version.value() ==
          row.in_force);
  }
  CHECK(catalog.conflicts() == 1);
  DocumentCatalog other(&clock);
  other.ApplyIfNewer(MakeRecord(9, "z"));
  CHECK(other.DigestHash() == catalog.DigestHash());
}

TEST_CASE("a record round-trips, damaged text is rejected") {
  std::string text = FormatRecord(*MakeRecord(4, "d"));
  Result<DocumentRecord> parsed = ParseRecord(text);
  REQUIRE(parsed.has_value());
  CHECK(FormatRecord(*parsed) == text);
  CHECK_FALSE(ParseRecord(text.substr(0, text.size() - 1)).has_value());
  CHECK_FALSE(ParseRecord("{\"version\":0,\"change\":\"a\"}").has_value());
}

}  // namespace
}  // namespace basilvalve::document
