#include "Core/Gateway/node_settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "Core/Gateway/response_validator.h"

namespace basilvalve::gateway {
namespace {

const std::vector<std::string> kValidArguments = {"--instance",
                                                  "n1",
                                                  "--region",
                                                  "munich",
                                                  "--peer-keys",
                                                  "settings-test-key-1",
                                                  "--caller-address",
                                                  "127.0.0.1:1",
                                                  "--peer-address",
                                                  "127.0.0.1:2",
                                                  "--admin-address",
                                                  "127.0.0.1:3",
                                                  "--store-address",
                                                  "127.0.0.1:4",
                                                  "--instance-list-address",
                                                  "127.0.0.1:5"};

/// Parses and checks the arguments; returns the error message, or an empty
/// string if they are valid.
std::string SettingsErrorOf(std::vector<std::string> arguments) {
  NodeSettings settings;
  OptionParser parser("basilvalved", "[flags]", NodeOptions(&settings));
  arguments.insert(arguments.begin(), "basilvalved");
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& it : arguments) {
    argv.push_back(it.data());
  }
  argv.push_back(nullptr);
  auto rest = parser.Parse(static_cast<int>(arguments.size()), argv.data());
  if (!rest) {
    return rest.error().message;
  }
  Result<void> checked = CheckNodeSettings(settings);
  return checked ? "" : checked.error().message;
}

TEST_CASE(
    "docs/SETTINGS.md contains the settings table that the program prints") {
  NodeSettings settings;
  OptionParser parser("basilvalved", "[flags]", NodeOptions(&settings));
  std::ifstream file(BASILVALVE_SOURCE_DIR "/docs/SETTINGS.md");
  std::stringstream text;
  text << file.rdbuf();
  CHECK(text.str().find(parser.Markdown()) != std::string::npos);
}

TEST_CASE("the error message names the invalid setting") {
  CHECK(SettingsErrorOf(kValidArguments) == "");
  struct Row {
    std::vector<std::string> extra;
    std::string message;
  };
  std::vector<Row> rows = {
      {{"--instance", "N1"},
       "--instance: must be 1 to 48 of a-z, 0-9, '-' and '_'"},
      {{"--instance", "a/b"},
       "--instance: must be 1 to 48 of a-z, 0-9, '-' and '_'"},
      {{"--caller-address", "localhost"}, "--caller-address: must be ip:port"},
      {{"--peer-keys", "short"},
       "--peer-keys: peer keys: one or two keys of at least 16 bytes, "
       "separated by a comma"},
      {{"--chooser", "best"},
       "--chooser: must be the name of a strategy, such as predicted"},
      {{"--log-level", "loud"},
       "--log-level: must be debug, info, warn or error"},
      {{"--max-in-flight", "0"},
       "--max-in-flight: must be a whole number from 1 to 1000000"},
      {{"--caller-threads", "400"},
       "--caller-threads: must be above max-in-flight"},
      {{"--peer-dead-ms", "500"}, "--peer-dead-ms: must be above heartbeat-ms"},
      {{"--max-descriptors", "2048"},
       "--max-descriptors: too few for max-in-flight and peer-workers"},
      {{"--max-body-bytes", "100000000"},
       "--memory-mb: too small for a request of max-body-bytes"},
      {{"--memory-mb", "64"},
       "--memory-mb: too small for a response of max-answer-bytes"},
      {{"--tls-certificate", "x.pem"},
       "--tls-key: must be set if and only if tls-certificate is set"},
  };
  for (const Row& row : rows) {
    std::vector<std::string> arguments = kValidArguments;
    arguments.insert(arguments.end(), row.extra.begin(), row.extra.end());
    CHECK(SettingsErrorOf(arguments) == row.message);
  }
  CHECK(SettingsErrorOf({}) == "--instance: is required");
}

http::ResponseHead HeadWith(const std::string& type,
                            const std::string& length) {
  http::ResponseHead head{200, {{"Content-Type", type}}};
  if (!length.empty()) {
    head.headers.push_back({"Content-Length", length});
  }
  return head;
}

TEST_CASE(
    "ResponseValidator accepts only complete responses and forwards only "
    "complete events") {
  struct Row {
    const char* name;
    http::ResponseHead head;
    std::string body;
    bool length_verified;
    bool complete;
    std::string forwarded;
  };
  const std::string events = "text/event-stream";
  const std::string json = "application/json";
  std::vector<Row> rows = {
      {"events with [DONE]", HeadWith(events, ""),
       "data: a\n\ndata: [DONE]\n\n", false, true,
       "data: a\n\ndata: [DONE]\n\n"},
      {"events without [DONE]", HeadWith(events, ""), "data: a\n\n", false,
       false, "data: a\n\n"},
      {"an incomplete last event", HeadWith(events, ""), "data: a\n\ndata: b",
       false, false, "data: a\n\n"},
      {"bytes after [DONE]", HeadWith(events, ""),
       "data: [DONE]\n\ndata: x\n\n", false, true, "data: [DONE]\n\n"},
      {"text of the announced length", HeadWith("text/plain", "3"), "abc", true,
       true, "abc"},
      {"text without a length", HeadWith("text/plain", ""), "abc", false, false,
       "abc"},
      {"complete JSON without a length", HeadWith(json, ""), "{\"a\":1}", false,
       true, "{\"a\":1}"},
      {"truncated JSON without a length", HeadWith(json, ""), "{\"a\":", false,
       false, "{\"a\":"},
  };
  for (const Row& row : rows) {
    for (size_t step : {size_t{1}, size_t{3}, row.body.size()}) {
      ResponseValidator validator(row.head);
      std::string forwarded;
      for (size_t at = 0; at < row.body.size(); at += step) {
        forwarded += validator.Add(row.body.substr(at, step));
      }
      INFO(row.name << " in steps of " << step);
      CHECK(validator.IsComplete(row.length_verified) == row.complete);
      CHECK(forwarded == row.forwarded);
    }
  }
}

}  // namespace
}  // namespace basilvalve::gateway
