// Workspaces in the platform's desired state and headers.
#include <catch2/catch.hpp>

#include "platform/store_records.h"
#include "platform/wire_dialect.h"

namespace basilvalve::platform_adapter {
namespace {

constexpr const char* kRow =
    R"({"name":"huka270","api_keys":["jbvk9m68k7b2ex5wa5xw"],"priority":1,)"
    R"("unit":"tokens","plain_tokens":200,"rate_per_s":1337083,)"
    R"("burst":2000000,"home_regions":["north"]})";

std::string StateWith(const std::string& rows, const std::string& route = "") {
  return R"({"version":7,"routes":[{"host":"h","prefix":"/")" + route +
         R"(}],"tenants":)" + rows + "}";
}

TEST_CASE("workspaces of a desired state are decoded") {
  auto state = DecodeDesiredState(StateWith(
      "[" + std::string(kRow) + R"(,{"name":"b","api_keys":[],"extra":1}])",
      R"(,"allow_anonymous":true)"));
  REQUIRE(state);
  auto workspace = (*state)->Authenticate("jbvk9m68k7b2ex5wa5xw");
  REQUIRE(workspace);
  CHECK(workspace->name == WorkspaceId("huka270"));
  CHECK(workspace->priority == 1);
  REQUIRE(workspace->quota);
  CHECK(workspace->quota->tokens_per_second == 1337083);
  CHECK(workspace->quota->burst_tokens == 2000000);
  CHECK(workspace->quota->plain_call_tokens == 200);
  CHECK_FALSE(workspace->quota->counts_calls);
  CHECK(workspace->Permits(RegionId("north")));
  CHECK_FALSE(workspace->Permits(RegionId("south")));
  REQUIRE((*state)->workspaces().size() == 2);
  CHECK_FALSE((*state)->workspaces()[1]->quota);
  CHECK((*state)->Match("h", "/")->is_anonymous);
  auto plain = DecodeDesiredState(
      R"({"version":7,"routes":[{"host":"h","prefix":"/"}]})");
  REQUIRE(plain);
  CHECK_FALSE((*plain)->has_workspaces());
  CHECK_FALSE((*plain)->Match("h", "/")->is_anonymous);
}

// Guards against a limit on calls that is read as one on tokens.
TEST_CASE("a quota without a unit counts calls") {
  for (const char* unit : {"", R"(,"unit":"requests")"}) {
    auto state = DecodeDesiredState(
        StateWith(R"([{"name":"a","api_keys":["k"],"rate_per_s":5)" +
                  std::string(unit) + "}]"));
    REQUIRE(state);
    auto workspace = (*state)->Authenticate("k");
    REQUIRE(workspace);
    REQUIRE(workspace->quota);
    CHECK(workspace->quota->counts_calls);
  }
}

// Guards against a desired state that is applied in part, and against keys in
// the log, which gets the error.
TEST_CASE(
    "an invalid row rejects the desired state; the error names the field") {
  struct Row {
    std::string rows;
    const char* field;
  };
  auto with = [](const std::string& fields) {
    return R"([{"name":"a","api_keys":["secret"]},{"name":"b",)"
           R"("api_keys":["secret"],)" +
           fields + "}]";
  };
  const std::vector<Row> rows = {
      {R"({"name":"a"})", "tenants"},
      {"null", "tenants"},
      {R"(["secret"])", "tenants[0]"},
      {R"([{"api_keys":["secret"]}])", "tenants[0].name"},
      {R"([{"name":"","api_keys":["secret"]}])", "tenants[0].name"},
      {R"([{"name":"a b","api_keys":["secret"]}])", "tenants[0].name"},
      {R"([{"name":"a\r\nX: y","api_keys":["secret"]}])", "tenants[0].name"},
      {R"([{"name":"a"}])", "tenants[0].api_keys"},
      {R"([{"name":"a","api_keys":"secret"}])", "tenants[0].api_keys"},
      {R"([{"name":"a","api_keys":["secret",5]}])", "tenants[0].api_keys"},
      {R"([{"name":"a","api_keys":["secret",""]}])", "tenants[0].api_keys"},
      {with(R"("priority":"1")"), "tenants[1].priority"},
      {with(R"("priority":-1)"), "tenants[1].priority"},
      {with(R"("priority":0.5)"), "tenants[1].priority"},
      {with(R"("priority":1e300)"), "tenants[1].priority"},
      {with(R"("unit":"calls")"), "tenants[1].unit"},
      {with(R"("plain_tokens":-1)"), "tenants[1].plain_tokens"},
      {with(R"("plain_tokens":1e300)"), "tenants[1].plain_tokens"},
      {with(R"("rate_per_s":"1")"), "tenants[1].rate_per_s"},
      {with(R"("rate_per_s":1,"burst":-2)"), "tenants[1].burst"},
      {with(R"("home_regions":"north")"), "tenants[1].home_regions"},
      {with(R"("home_regions":[1])"), "tenants[1].home_regions"},
      {R"([{"name":"a","api_keys":["secret)", "not JSON at byte"},
      {R"([{"name":"a","api_keys":["b" secret]}])", "not JSON at byte"},
  };
  for (const Row& row : rows) {
    INFO(row.rows);
    auto state = DecodeDesiredState(StateWith(row.rows));
    REQUIRE_FALSE(state);
    CHECK(state.error().code == ResultCode::kDocumentInvalid);
    CHECK(state.error().message.find(row.field) != std::string::npos);
    CHECK(state.error().message.find("secret") == std::string::npos);
  }
  auto state =
      DecodeDesiredState(StateWith("[]", R"(,"allow_anonymous":"yes")"));
  REQUIRE_FALSE(state);
  CHECK(state.error().message.find("routes[0].allow_anonymous") !=
        std::string::npos);
}

TEST_CASE("a key is read from one header of the Bearer scheme only") {
  struct Row {
    std::vector<net::HeaderField> fields;
    const char* key;
  };
  const std::vector<Row> rows = {
      {{}, ""},
      {{{"Authorization", "Bearer k1"}}, "k1"},
      {{{"authorization", "bearer   k1 "}}, "k1"},
      {{{"Authorization", "Bearer"}}, ""},
      {{{"Authorization", "Bearer "}}, ""},
      {{{"Authorization", "Bearerk1"}}, ""},
      {{{"Authorization", "Basic k1"}}, ""},
      {{{"Authorization", "k1"}}, ""},
      {{{"Authorization", "Bearer k1"}, {"Authorization", "Bearer k2"}}, ""},
  };
  WireDialect dialect;
  for (const Row& row : rows) {
    net::MessageHead head;
    head.fields = row.fields;
    head.fields.push_back({"Host", "h"});
    head.fields.push_back({"X-Request-Id", "r1"});
    auto params = dialect.ParseCallHead(head);
    REQUIRE(params);
    CHECK(params->key == row.key);
  }
}

TEST_CASE("upstreams are told the workspace in a header") {
  WireDialect dialect;
  for (const char* header :
       {"Authorization", "authorization", "X-Tenant", "x-tenant"}) {
    CHECK(dialect.IsIdentityHeader(header));
  }
  CHECK_FALSE(dialect.IsIdentityHeader("X-Model"));
  edge::SendParams params;
  std::string head;
  dialect.AppendHeaders(params, &head);
  CHECK(head.find("X-Tenant") == std::string::npos);
  params.workspace = WorkspaceId("huka270");
  dialect.AppendHeaders(params, &head);
  CHECK(head.find("X-Tenant: huka270\r\n") != std::string::npos);
}

}  // namespace
}  // namespace basilvalve::platform_adapter
