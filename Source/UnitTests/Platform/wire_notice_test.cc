// What an upstream's headers say of its willingness.
#include <catch2/catch.hpp>

#include "Core/Edge/message_serializer.h"
#include "platform/wire_dialect.h"

namespace basilvalve::platform_adapter {
namespace {

edge::ResponseInfo Parse(int status, std::vector<net::HeaderField> fields) {
  net::MessageHead head;
  head.status = status;
  head.fields = std::move(fields);
  head.fields.push_back({"X-Request-Id", "r1"});
  return WireDialect().ParseResponseHead(head, RequestId("r1"));
}

TEST_CASE("a refusal's Retry-After is a pause, unreadable ones are none") {
  struct Row {
    const char* name;
    int status;
    std::vector<std::string> values;
    Millis pause;
  };
  const std::vector<Row> rows = {
      {"whole", 503, {"2"}, Millis(2000)},
      {"fraction", 503, {"0.25"}, Millis(250)},
      {"rounded up", 503, {"0.0001"}, Millis(1)},
      {"no leading digit", 503, {".5"}, Millis(500)},
      {"spaces", 503, {" 2 "}, Millis(2000)},
      {"zero", 503, {"0"}, Millis(0)},
      {"zero, fraction", 503, {"0.000"}, Millis(0)},
      {"negative", 503, {"-3"}, Millis(0)},
      {"a month", 503, {"2592000"}, Seconds(86'400)},
      {"huge", 503, {"99999999999999999999"}, Seconds(86'400)},
      {"beyond any number", 503, {std::string(400, '9')}, Seconds(86'400)},
      {"huge and negative", 503, {"-" + std::string(400, '9')}, Millis(0)},
      {"empty", 503, {""}, Millis(0)},
      {"words", 503, {"soon"}, Millis(0)},
      {"unit", 503, {"2s"}, Millis(0)},
      {"exponent", 503, {"1e3"}, Millis(0)},
      {"hexadecimal", 503, {"0x10"}, Millis(0)},
      {"infinity", 503, {"inf"}, Millis(0)},
      {"not a number", 503, {"nan"}, Millis(0)},
      {"two numbers", 503, {"2 3"}, Millis(0)},
      {"date", 503, {"Wed, 21 Oct 2026 07:28:00 GMT"}, Millis(0)},
      {"several headers", 503, {"1", "4", "2"}, Millis(4000)},
      {"several headers, one unreadable", 503, {"x", "1.5"}, Millis(1500)},
      {"a list", 503, {"1, 3"}, Millis(3000)},
      {"another refusal", 429, {"2"}, Millis(0)},
      {"an error", 500, {"2"}, Millis(0)},
      {"a success", 200, {"2"}, Millis(0)},
      {"misdirected", 421, {"2"}, Millis(0)},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    std::vector<net::HeaderField> fields = {{"X-Not-Executed", "1"}};
    for (const std::string& value : row.values) {
      fields.push_back({"retry-after", value});
    }
    CHECK(Parse(row.status, fields).pause == row.pause);
  }
}

TEST_CASE("a response states one limit at most, unreadable ones are none") {
  struct Row {
    const char* name;
    std::vector<std::string> values;
    std::optional<double> limit;
  };
  const std::vector<Row> rows = {
      {"whole", {"2"}, 2},
      {"fraction", {"0.25"}, 0.25},
      {"no leading digit", {".5"}, 0.5},
      {"spaces", {" 1.2 "}, 1.2},
      {"zero", {"0"}, 0},
      {"zero, fraction", {"0.000"}, 0},
      {"huge", {"99999999999999999999"}, 1e6},
      {"beyond any number", {std::string(400, '9')}, 1e6},
      {"negative", {"-3"}, {}},
      {"negative zero", {"-0"}, {}},
      {"huge and negative", {"-" + std::string(400, '9')}, {}},
      {"empty", {""}, {}},
      {"words", {"few"}, {}},
      {"unit", {"2/s"}, {}},
      {"exponent", {"1e3"}, {}},
      {"hexadecimal", {"0x10"}, {}},
      {"infinity", {"inf"}, {}},
      {"not a number", {"nan"}, {}},
      {"two numbers", {"2 3"}, {}},
      {"several headers", {"3", "1.5", "2"}, 1.5},
      {"several headers, one unreadable", {"x", "1.5"}, 1.5},
      {"a list", {"4, 3"}, 3},
      {"a list with gaps", {",4,,"}, 4},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    std::vector<net::HeaderField> fields;
    for (const std::string& value : row.values) {
      fields.push_back({"server-limit", value});
    }
    for (int status : {200, 404, 429, 500, 503}) {
      edge::ResponseInfo info = Parse(status, fields);
      CHECK(info.limit.has_value() == row.limit.has_value());
      CHECK((!row.limit || info.limit->value() == *row.limit));
      CHECK_FALSE(info.is_unlimited);
    }
  }
  CHECK(Parse(200, {}).is_unlimited);
  // Another process answers at the address.
  CHECK_FALSE(Parse(421, {}).is_unlimited);
  CHECK_FALSE(Parse(421, {{"Server-Limit", "2"}}).limit);
}

TEST_CASE("any response of an upstream may say that it is leaving") {
  for (int status : {200, 404, 429, 500, 503, 504}) {
    INFO(status);
    CHECK(Parse(status, {{"Server-Leaving", "1"}}).is_leaving);
    CHECK(Parse(status, {{"server-leaving", " 1"}}).is_leaving);
    CHECK_FALSE(Parse(status, {}).is_leaving);
    CHECK_FALSE(Parse(status, {{"Server-Leaving", "0"}}).is_leaving);
    CHECK_FALSE(Parse(status, {{"Server-Leaving", ""}}).is_leaving);
    CHECK(Parse(status, {{"Server-Leaving", "0"}, {"Server-Leaving", "1"}})
              .is_leaving);
  }
  // Another process answers at the address.
  CHECK_FALSE(Parse(421, {{"Server-Leaving", "1"}}).is_leaving);
}

TEST_CASE("what an upstream tells its sender reaches no caller, nor back") {
  WireDialect dialect;
  net::MessageHead response;
  response.status = 200;
  response.fields = {{"Server-Leaving", "1"},
                     {"Server-Limit", "1.5"},
                     {"RETRY-AFTER", "3"},
                     {"Basilvalve-Leaving", "u1 0"},
                     {"basilvalve-outcome", "not-run"},
                     {"X-Response-Signature", "s"}};
  std::string text =
      edge::SerializeResponse(response, dialect, "", "body", true);
  CHECK(text ==
        "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
        "Content-Length: 4\r\n\r\nbody");
  net::ServerRequest request;
  request.head.method = "GET";
  request.head.target = "/";
  request.head.fields = {{"server-leaving", "1"}, {"X-Model", "m"}};
  text = edge::SerializeRequest(request, dialect, {}, "");
  CHECK(text.find("eaving") == std::string::npos);
  CHECK(text.find("X-Model") != std::string::npos);
}

}  // namespace
}  // namespace basilvalve::platform_adapter
