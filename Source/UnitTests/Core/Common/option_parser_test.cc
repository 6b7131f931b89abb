#include "Core/Common/option_parser.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace basilvalve {
namespace {

struct Parsed {
  int64_t count = 0;
  std::string name;
  bool fast = false;
  Result<std::vector<std::string>> positional;
};

Parsed Parse(std::vector<std::string> arguments) {
  Parsed parsed;
  OptionParser parser(
      "tool", "[flags]",
      {{"count", "things", "3", "A count.", SetNumber(&parsed.count, 1, 10)},
       {"name", "text", "", "A name.", SetText(&parsed.name)},
       {"fast", "", "false", "A switch.", SetFlag(&parsed.fast), true}});
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 2);
  arguments.insert(arguments.begin(), "tool");
  for (std::string& it : arguments) {
    argv.push_back(it.data());
  }
  argv.push_back(nullptr);
  parsed.positional =
      parser.Parse(static_cast<int>(arguments.size()), argv.data());
  return parsed;
}

TEST_CASE("flags override environment variables, which override defaults") {
  CHECK(Parse({}).count == 3);
  setenv("BASILVALVE_COUNT", "5", 1);
  CHECK(Parse({}).count == 5);
  CHECK(Parse({"--count", "7"}).count == 7);
  unsetenv("BASILVALVE_COUNT");
}

TEST_CASE("an invalid setting is named in a one-line error") {
  struct Row {
    std::vector<std::string> arguments;
    std::string message;
  };
  std::vector<Row> rows = {
      {{"--count", "11"}, "--count: must be a whole number from 1 to 10"},
      {{"--count", "5x"}, "--count: must be a whole number from 1 to 10"},
      {{"--count"}, "--count: needs a value"},
      {{"--speed", "5"}, "--speed: unknown setting"},
  };
  for (const Row& row : rows) {
    Parsed parsed = Parse(row.arguments);
    REQUIRE_FALSE(parsed.positional.has_value());
    CHECK(parsed.positional.error().message == row.message);
    CHECK(parsed.positional.error().code == ResultCode::kSettingInvalid);
  }
  setenv("BASILVALVE_COUNT", "none", 1);
  CHECK(Parse({}).positional.error().message ==
        "BASILVALVE_COUNT: must be a whole number from 1 to 10");
  unsetenv("BASILVALVE_COUNT");
}

TEST_CASE("positional arguments and switches are parsed") {
  Parsed parsed = Parse({"verb", "--fast", "--name", "x", "file"});
  REQUIRE(parsed.positional.has_value());
  CHECK(parsed.fast);
  CHECK(parsed.name == "x");
  CHECK(*parsed.positional == std::vector<std::string>{"verb", "file"});
}

}  // namespace
}  // namespace basilvalve
