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

constexpr uint32_t kHeaderLimit = 512;
constexpr uint64_t kBodyLimit = 256;

// What a parser made of some bytes; equal for equal bytes, however they were
// cut.
struct Reading {
  net::ParseError parse_error = net::ParseError::kNone;
  bool is_done = false;
  std::string target;
  int status = 0;
  std::string body;

  bool operator==(const Reading&) const = default;
};

// Feeds pieces as a connection does: what was not used is fed again with what
// follows. Cuts nothing without `cuts`.
Reading Read(net::MessageParser::Kind kind, std::string_view bytes,
             ByteMutator* cuts) {
  net::MessageParser parser(kind, kHeaderLimit, kBodyLimit);
  Reading reading;
  std::string pending;
  while (!bytes.empty() && !parser.is_done() &&
         parser.parse_error() == net::ParseError::kNone) {
    size_t n = cuts == nullptr ? bytes.size() : cuts->PieceSize(bytes.size());
    pending.append(bytes.substr(0, n));
    bytes.remove_prefix(n);
    pending.erase(0, parser.Feed(pending));
    if (parser.parse_error() == net::ParseError::kNone && parser.has_head()) {
      reading.body += parser.TakeBody();
    }
  }
  parser.ParseEof();
  reading.parse_error = parser.parse_error();
  if (reading.parse_error == net::ParseError::kNone && parser.has_head()) {
    reading.is_done = parser.is_done();
    reading.target = parser.head().target;
    reading.status = parser.head().status;
    reading.body += parser.TakeBody();
  } else {
    reading.body.clear();
  }
  return reading;
}

std::string CheckMessage(net::MessageParser::Kind kind,
                         const std::string& bytes, ByteMutator* cuts) {
  Reading whole = Read(kind, bytes, nullptr);
  Reading cut = Read(kind, bytes, cuts);
  if (!(whole == cut)) {
    return "cut into pieces it reads otherwise";
  }
  if (whole.body.size() > kBodyLimit) {
    return "the body passed its limit";
  }
  return "";
}

std::string CheckRequest(const std::string& bytes, ByteMutator* cuts) {
  net::MessageParser parser(net::MessageParser::Kind::kRequest, kHeaderLimit,
                            kBodyLimit);
  parser.Feed(bytes);
  if (parser.parse_error() == net::ParseError::kNone && parser.has_head()) {
    auto terms = platform_adapter::WireDialect().ParseCallHead(parser.head());
    if (!terms && terms.error().message.empty()) {
      return "refused without a reason";
    }
    if (parser.head().Count("Content-Length") > 1) {
      return "two lengths were accepted";
    }
    if (parser.head().chunked && parser.head().content_length) {
      return "a length and chunks were accepted";
    }
  }
  return CheckMessage(net::MessageParser::Kind::kRequest, bytes, cuts);
}

std::string CheckResponse(const std::string& bytes, ByteMutator* cuts) {
  net::MessageParser parser(net::MessageParser::Kind::kResponse, kHeaderLimit,
                            kBodyLimit);
  parser.Feed(bytes);
  if (parser.parse_error() == net::ParseError::kNone && parser.has_head()) {
    edge::ResponseInfo terms =
        platform_adapter::WireDialect().ParseResponseHead(parser.head(),
                                                          RequestId("9c41"));
    const std::string* id = parser.head().Find("X-Request-Id");
    if (terms.matches_request && id != nullptr && *id != "9c41") {
      return "another call's answer was taken";
    }
  }
  return CheckMessage(net::MessageParser::Kind::kResponse, bytes, cuts);
}

std::string CheckEvents(const std::string& bytes, ByteMutator* cuts) {
  flow::EventSplitter whole;
  std::string expected = whole.Feed(bytes);
  flow::EventSplitter splitter;
  std::string events;
  for (std::string_view rest = bytes; !rest.empty();) {
    size_t n = cuts->PieceSize(rest.size());
    events += splitter.Feed(rest.substr(0, n));
    rest.remove_prefix(n);
  }
  if (events != expected || splitter.events() != whole.events() ||
      splitter.last_id() != whole.last_id()) {
    return "cut into pieces it splits otherwise";
  }
  if (!bytes.starts_with(expected) ||
      splitter.has_partial() != (expected.size() < bytes.size())) {
    return "bytes were lost or made up";
  }
  return "";
}

std::string CheckHop(const std::string& bytes, ByteMutator* /*cuts*/) {
  auto terms = edge::ParseHopHeader(bytes);
  if (!terms) {
    return "";
  }
  auto again = edge::ParseHopHeader(edge::FormatHopHeader(*terms));
  if (!again ||
      edge::FormatHopHeader(*again) != edge::FormatHopHeader(*terms)) {
    return "what was read does not come back";
  }
  return "";
}

std::string CheckBeat(const std::string& bytes, ByteMutator* /*cuts*/) {
  auto beat = edge::DecodeHeartbeat(bytes);
  if (!beat) {
    return "";
  }
  std::string once = edge::EncodeHeartbeat(*beat);
  auto again = edge::DecodeHeartbeat(once);
  if (!again || edge::EncodeHeartbeat(*again) != once) {
    return "what was read does not come back";
  }
  return "";
}

template <typename T>
std::string ReasonMissing(const Result<T>& result) {
  return !result && result.error().message.empty() ? "refused without a reason"
                                                   : "";
}

std::string CheckState(const std::string& bytes, ByteMutator* /*cuts*/) {
  auto state = platform_adapter::DecodeDesiredState(bytes);
  if (state) {
    // Whatever was accepted can be asked.
    (*state)->Match("h", "/p/x");
    (*state)->Match("", "");
    (*state)->TraitsOf(ServiceName("s"));
  }
  return ReasonMissing(state);
}

Result<flow::UpstreamRecord> DecodeUpstreamEntry(const std::string& bytes) {
  static const auto boot = platform_adapter::ParseBootSettings(
      CorpusOf({"settings", nullptr, nullptr}).front());
  return platform_adapter::DecodeUpstream("servers/i-1", bytes, boot.value());
}

std::string CheckUpstream(const std::string& bytes, ByteMutator* /*cuts*/) {
  auto record = DecodeUpstreamEntry(bytes);
  if (record && (record->slots == 0 || record->port == 0 ||
                 record->cold_remaining < Millis::zero())) {
    return "an upstream that cannot be used was accepted";
  }
  return ReasonMissing(record);
}

std::string CheckInstance(const std::string& bytes, ByteMutator* /*cuts*/) {
  return ReasonMissing(platform_adapter::DecodeInstance(bytes));
}

std::string CheckSettings(const std::string& bytes, ByteMutator* /*cuts*/) {
  return ReasonMissing(platform_adapter::ParseBootSettings(bytes));
}

std::string CheckDocument(const std::string& bytes, ByteMutator* /*cuts*/) {
  return ReasonMissing(document::ParseServiceDocument(bytes));
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
         return Read(net::MessageParser::Kind::kRequest, bytes, nullptr)
             .is_done;
       }},
      {"response", CheckResponse,
       [](Bytes bytes) {
         return Read(net::MessageParser::Kind::kResponse, bytes, nullptr)
             .is_done;
       }},
      {"events", CheckEvents,
       [](Bytes bytes) { return !flow::EventSplitter().Feed(bytes).empty(); }},
      {"hop", CheckHop,
       [](Bytes bytes) { return edge::ParseHopHeader(bytes).has_value(); }},
      {"beat", CheckBeat,
       [](Bytes bytes) { return edge::DecodeHeartbeat(bytes).has_value(); }},
      {"state", CheckState,
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

std::vector<std::string> CorpusOf(const FuzzTarget& target) {
  std::vector<std::string> corpus;
  std::filesystem::path directory =
      std::filesystem::path(BASILVALVE_SOURCE_DIR) /
      "Source/UnitTests/Platform/Fuzz/corpus" / target.name;
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    files.push_back(entry.path());
  }
  // The same order on every machine, so that a seed makes the same inputs.
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
  ByteMutator mutator(seed, CorpusOf(target));
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
