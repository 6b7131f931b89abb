#include "UnitTests/Platform/Fuzz/fuzz_target.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "Core/Document/service_document.h"
#include "Core/Edge/heartbeat_codec.h"
#include "Core/Edge/hop_header.h"
#include "Core/Flow/event_splitter.h"
#include "Core/Net/message.h"
#include "platform/boot_settings.h"
#include "platform/store_records.h"
#include "platform/wire_dialect.h"

namespace basilvalve::fuzz {
namespace {

constexpr uint32_t kMaxHeaderBytes = 512;
constexpr uint64_t kMaxBodyBytes = 256;

// Result of parsing some bytes, which must not depend on how they were
// fragmented.
struct ParseOutcome {
  net::ParseError parse_error = net::ParseError::kNone;
  bool is_done = false;
  std::string target;
  int status = 0;
  std::string body;

  bool operator==(const ParseOutcome&) const = default;
};

// Feeds fragments as a connection does: bytes that the parser did not consume
// are fed again with the next fragment. Feeds everything at once if
// `fragmenter` is null.
ParseOutcome ParseAll(net::MessageParser::Kind kind, std::string_view bytes,
                      ByteMutator* fragmenter) {
  net::MessageParser parser(kind, kMaxHeaderBytes, kMaxBodyBytes);
  ParseOutcome outcome;
  std::string pending;
  while (!bytes.empty() && !parser.is_done() &&
         parser.parse_error() == net::ParseError::kNone) {
    size_t n = fragmenter == nullptr ? bytes.size()
                                     : fragmenter->FragmentSize(bytes.size());
    pending.append(bytes.substr(0, n));
    bytes.remove_prefix(n);
    pending.erase(0, parser.Feed(pending));
    if (parser.parse_error() == net::ParseError::kNone && parser.has_head()) {
      outcome.body += parser.TakeBody();
    }
  }
  parser.ParseEof();
  outcome.parse_error = parser.parse_error();
  if (outcome.parse_error == net::ParseError::kNone && parser.has_head()) {
    outcome.is_done = parser.is_done();
    outcome.target = parser.head().target;
    outcome.status = parser.head().status;
    outcome.body += parser.TakeBody();
  } else {
    outcome.body.clear();
  }
  return outcome;
}

std::string CheckMessage(net::MessageParser::Kind kind,
                         const std::string& bytes, ByteMutator* fragmenter) {
  ParseOutcome unfragmented = ParseAll(kind, bytes, nullptr);
  ParseOutcome fragmented = ParseAll(kind, bytes, fragmenter);
  if (!(unfragmented == fragmented)) {
    return "fragmented input gives a different result";
  }
  if (unfragmented.body.size() > kMaxBodyBytes) {
    return "the body exceeds its limit";
  }
  return "";
}

std::string CheckRequest(const std::string& bytes, ByteMutator* fragmenter) {
  net::MessageParser parser(net::MessageParser::Kind::kRequest, kMaxHeaderBytes,
                            kMaxBodyBytes);
  parser.Feed(bytes);
  if (parser.parse_error() == net::ParseError::kNone && parser.has_head()) {
    auto parsed = platform_adapter::WireDialect().ParseCallHead(parser.head());
    if (!parsed && parsed.error().message.empty()) {
      return "rejected without a message";
    }
    if (parser.head().Count("Content-Length") > 1) {
      return "repeated Content-Length was accepted";
    }
    if (parser.head().chunked && parser.head().content_length) {
      return "Content-Length with chunked encoding was accepted";
    }
  }
  return CheckMessage(net::MessageParser::Kind::kRequest, bytes, fragmenter);
}

std::string CheckResponse(const std::string& bytes, ByteMutator* fragmenter) {
  net::MessageParser parser(net::MessageParser::Kind::kResponse,
                            kMaxHeaderBytes, kMaxBodyBytes);
  parser.Feed(bytes);
  if (parser.parse_error() == net::ParseError::kNone && parser.has_head()) {
    edge::ResponseInfo parsed =
        platform_adapter::WireDialect().ParseResponseHead(parser.head(),
                                                          RequestId("9c41"));
    const std::string* id = parser.head().Find("X-Request-Id");
    if (parsed.named_call == edge::NamedCall::kThis &&
        (id == nullptr || *id != "9c41")) {
      return "a response to another call was accepted";
    }
  }
  return CheckMessage(net::MessageParser::Kind::kResponse, bytes, fragmenter);
}

std::string CheckEvents(const std::string& bytes, ByteMutator* fragmenter) {
  flow::EventSplitter unfragmented;
  std::string expected = unfragmented.Feed(bytes);
  flow::EventSplitter splitter;
  std::string events;
  for (std::string_view rest = bytes; !rest.empty();) {
    size_t n = fragmenter->FragmentSize(rest.size());
    events += splitter.Feed(rest.substr(0, n));
    rest.remove_prefix(n);
  }
  if (events != expected || splitter.events() != unfragmented.events() ||
      splitter.last_id() != unfragmented.last_id()) {
    return "fragmented input gives different events";
  }
  if (!bytes.starts_with(expected) ||
      splitter.has_partial() != (expected.size() < bytes.size())) {
    return "bytes were lost or added";
  }
  return "";
}

std::string CheckHopHeader(const std::string& bytes,
                           ByteMutator* /*fragmenter*/) {
  auto parsed = edge::ParseHopHeader(bytes);
  if (!parsed) {
    return "";
  }
  auto reparsed = edge::ParseHopHeader(edge::FormatHopHeader(*parsed));
  if (!reparsed ||
      edge::FormatHopHeader(*reparsed) != edge::FormatHopHeader(*parsed)) {
    return "the parsed value does not round-trip";
  }
  return "";
}

std::string CheckHeartbeat(const std::string& bytes,
                           ByteMutator* /*fragmenter*/) {
  auto heartbeat = edge::DecodeHeartbeat(bytes);
  if (!heartbeat) {
    return "";
  }
  std::string once = edge::EncodeHeartbeat(*heartbeat);
  auto reparsed = edge::DecodeHeartbeat(once);
  if (!reparsed || edge::EncodeHeartbeat(*reparsed) != once) {
    return "the parsed value does not round-trip";
  }
  return "";
}

template <typename T>
std::string CheckErrorHasMessage(const Result<T>& result) {
  return !result && result.error().message.empty()
             ? "rejected without a message"
             : "";
}

std::string CheckDesiredState(const std::string& bytes,
                              ByteMutator* /*fragmenter*/) {
  auto state = platform_adapter::DecodeDesiredState(bytes);
  if (state) {
    // Lookups must work on every accepted state.
    (*state)->Match("h", "/p/x");
    (*state)->Match("", "");
    (*state)->TraitsOf(ServiceName("s"));
  }
  return CheckErrorHasMessage(state);
}

Result<flow::UpstreamRecord> DecodeUpstreamEntry(const std::string& bytes) {
  static const auto boot = platform_adapter::ParseBootSettings(
      ReadCorpus({"settings", nullptr, nullptr}).front());
  return platform_adapter::DecodeUpstream("servers/i-1", bytes, boot.value());
}

std::string CheckUpstream(const std::string& bytes,
                          ByteMutator* /*fragmenter*/) {
  auto record = DecodeUpstreamEntry(bytes);
  if (record && (record->slots == 0 || record->port == 0 ||
                 record->cold_remaining < Millis::zero())) {
    return "an unusable upstream was accepted";
  }
  return CheckErrorHasMessage(record);
}

std::string CheckInstance(const std::string& bytes,
                          ByteMutator* /*fragmenter*/) {
  return CheckErrorHasMessage(platform_adapter::DecodeInstance(bytes));
}

std::string CheckSettings(const std::string& bytes,
                          ByteMutator* /*fragmenter*/) {
  return CheckErrorHasMessage(platform_adapter::ParseBootSettings(bytes));
}

std::string CheckDocument(const std::string& bytes,
                          ByteMutator* /*fragmenter*/) {
  return CheckErrorHasMessage(document::ParseServiceDocument(bytes));
}

}  // namespace

const std::vector<FuzzTarget>& FuzzTargets() {
  using platform_adapter::DecodeDesiredState;
  using platform_adapter::DecodeInstance;
  using platform_adapter::ParseBootSettings;
  using Bytes = const std::string&;
  static const std::vector<FuzzTarget> targets = {
      {"request", CheckRequest,
       [](Bytes bytes) {
         return ParseAll(net::MessageParser::Kind::kRequest, bytes, nullptr)
             .is_done;
       }},
      {"response", CheckResponse,
       [](Bytes bytes) {
         return ParseAll(net::MessageParser::Kind::kResponse, bytes, nullptr)
             .is_done;
       }},
      {"events", CheckEvents,
       [](Bytes bytes) { return !flow::EventSplitter().Feed(bytes).empty(); }},
      {"hop", CheckHopHeader,
       [](Bytes bytes) { return edge::ParseHopHeader(bytes).has_value(); }},
      {"beat", CheckHeartbeat,
       [](Bytes bytes) { return edge::DecodeHeartbeat(bytes).has_value(); }},
      {"state", CheckDesiredState,
       [](Bytes bytes) { return DecodeDesiredState(bytes).has_value(); }},
      {"upstream", CheckUpstream,
       [](Bytes bytes) { return DecodeUpstreamEntry(bytes).has_value(); }},
      {"instance", CheckInstance,
       [](Bytes bytes) { return DecodeInstance(bytes).has_value(); }},
      {"settings", CheckSettings,
       [](Bytes bytes) { return ParseBootSettings(bytes).has_value(); }},
      {"document", CheckDocument, [](Bytes bytes) {
         return document::ParseServiceDocument(bytes).has_value();
       }}};
  return targets;
}

std::vector<std::string> ReadCorpus(const FuzzTarget& target) {
  std::vector<std::string> corpus;
  std::filesystem::path directory =
      std::filesystem::path(BASILVALVE_SOURCE_DIR) /
      "Source/UnitTests/Platform/Fuzz/corpus" / target.name;
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    files.push_back(entry.path());
  }
  // Sorted, so that a seed gives the same inputs on every machine.
  std::sort(files.begin(), files.end());
  for (const auto& path : files) {
    std::ifstream file(path, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(file),
                        std::istreambuf_iterator<char>());
  }
  return corpus;
}

FuzzReport RunFuzz(const FuzzTarget& target, uint64_t seed,
                   uint64_t executions) {
  ByteMutator mutator(seed, ReadCorpus(target));
  FuzzReport report;
  while (report.executions < executions) {
    ++report.executions;
    std::string input = mutator.Next();
    std::string violation = target.check(input, &mutator);
    if (!violation.empty()) {
      report.input = std::move(input);
      report.violation = std::move(violation);
      return report;
    }
  }
  return report;
}

}  // namespace basilvalve::fuzz
