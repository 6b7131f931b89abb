#include "Core/Gateway/model_request.h"

#include <catch2/catch.hpp>

namespace basilvalve::gateway {
namespace {

TEST_CASE("a model call's body gives model, prompt and streaming flag") {
  struct Row {
    std::string body;
    std::string prompt;
    bool streaming;
  };
  const std::vector<Row> rows = {
      {R"({"model":"m","messages":[]})", "", false},
      {R"({"model":"m","messages":[{"role":"user","content":"a"},{"content":"b"}],"stream":true})",
       "a\nb\n", true},
      {R"({"stream":false,"x":{"model":1,"content":"n"},"model":"m","messages":[{"content":"a","x":{"content":"n"},"y":["z"]}]})",
       "a\n", false},
      // The last field of a name counts.
      {R"({"model":1,"stream":2,"messages":{},"messages":[{"content":1,"content":"a"}],"stream":true,"model":"m"})",
       "a\n", true},
      {R"({"model":"m","messages":[{"content":"a"},1],"messages":[{"content":"b"}]})",
       "b\n", false},
      {R"({"model":"m","messages":[],"x":[{"messages":[1]},[[{"content":1}]]]})",
       "", false},
  };
  for (const Row& row : rows) {
    INFO(row.body);
    Result<ModelRequest> request = ModelRequest::Parse(row.body);
    REQUIRE(request);
    CHECK(request->model == ModelName("m"));
    CHECK(request->prompt == row.prompt);
    CHECK(request->streaming == row.streaming);
  }
}

TEST_CASE("a model call's body that is not valid is refused by its field") {
  const std::string not_object = "the body is not a JSON object";
  const std::string no_model = "model: must be a string";
  const std::string no_messages = "messages: must be an array";
  const std::string no_stream = "stream: must be true or false";
  const std::string no_content = "messages: each needs a text content";
  const std::vector<std::pair<std::string, std::string>> rows = {
      {"", not_object},
      {"[]", not_object},
      {R"([{"model":"m","messages":[]}])", not_object},
      {R"({"model":"m","messages":[]} x)", not_object},
      {R"({"model":"m","messages":[)", not_object},
      {R"({"model":"m","messages":[],"x":1e999})", not_object},
      {R"({"messages":[]})", no_model},
      {R"({"model":{},"messages":[]})", no_model},
      {R"({"model":"m","messages":[],"model":null})", no_model},
      {R"({"model":"m"})", no_messages},
      {R"({"model":"m","messages":{"content":"a"}})", no_messages},
      {R"({"model":"m","messages":[],"messages":"a"})", no_messages},
      {R"({"model":"m","messages":[],"stream":1})", no_stream},
      {R"({"model":"m","messages":[],"stream":[true]})", no_stream},
      {R"({"model":"m","messages":["a"]})", no_content},
      {R"({"model":"m","messages":[{}]})", no_content},
      {R"({"model":"m","messages":[[{"content":"a"}]]})", no_content},
      {R"({"model":"m","messages":[{"content":["a"]}]})", no_content},
      {R"({"model":"m","messages":[{"content":"a","content":{}}]})",
       no_content},
      {R"({"model":"m","messages":[{"x":{"content":"a"}}]})", no_content},
      {R"({"model":"m","messages":[{"content":"a"},{}]})", no_content},
  };
  for (const auto& [body, message] : rows) {
    INFO(body);
    Result<ModelRequest> request = ModelRequest::Parse(body);
    REQUIRE(!request);
    CHECK(request.error().message == message);
    CHECK(request.error().code == ResultCode::kMalformedRequest);
  }
}

}  // namespace
}  // namespace basilvalve::gateway
