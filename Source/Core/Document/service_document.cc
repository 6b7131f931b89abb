#include "Core/Document/service_document.h"

#include <algorithm>
#include <limits>
#include <set>

#include "Core/Common/hash.h"
#include "Core/Common/json_reader.h"

namespace basilvalve::document {
namespace {

constexpr size_t kSha256HexDigits = 64;
constexpr size_t kMaxNameLength = 64;
constexpr int64_t kMaxTargetMillis = 600000;
constexpr int64_t kMaxConcurrentCalls = 1000000;
constexpr int64_t kMaxBodyBytes = 64 << 20;
constexpr int64_t kMaxPriority = 9;
constexpr std::string_view kModelKind = "model";
constexpr std::string_view kServiceKind = "service";

bool IsValidName(std::string_view name) {
  return name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
                  c == '-' || c == '_' || c == '.';
         });
}

std::string ReadName(JsonReader* reader, const char* field) {
  std::string name = reader->Text(field);
  if (!IsValidName(name)) {
    reader->Reject(field,
                   "may hold only a-z, 0-9, '-', '_' and '.', at most 64");
  }
  return name;
}

void ReadKeys(JsonReader* reader, ServiceDocument* document) {
  for (JsonReader& it : reader->Objects("keys")) {
    CallerKey key;
    key.label = it.Text("label");
    key.sha256 = it.Text("sha256");
    bool is_hash =
        key.sha256.size() == kSha256HexDigits &&
        key.sha256.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!is_hash) {
      it.Reject("sha256", "must be 64 lower-case hexadecimal digits");
    }
    it.Finish();
    document->keys.push_back(std::move(key));
  }
  if (document->keys.empty()) {
    reader->Reject("keys", "at least one key is required");
  }
}

void ReadRegions(JsonReader* reader, ServiceDocument* document) {
  std::optional<JsonReader> regions = reader->Object("regions");
  if (!regions) {
    reader->Reject("regions", "is required");
    return;
  }
  std::set<std::string> unique;
  for (const std::string& it : regions->Texts("permitted")) {
    if (!unique.insert(it).second) {
      regions->Reject("permitted", "names region \"" + it + "\" twice");
    }
    document->permitted_regions.emplace_back(it);
  }
  if (document->permitted_regions.empty()) {
    regions->Reject("permitted", "at least one region is required");
  }
  document->home_region = RegionId(regions->TextOr("home", ""));
  if (!document->home_region.empty() &&
      !document->Permits(document->home_region)) {
    regions->Reject("home", "must be one of the permitted regions");
  }
  regions->Finish();
}

void ReadCalls(JsonReader* reader, ServiceDocument* document) {
  for (JsonReader& it : reader->Objects("calls")) {
    CallRule rule;
    rule.method = it.Text("method");
    rule.path = it.Text("path");
    rule.idempotent = it.FlagOr("idempotent", false);
    if (!rule.path.empty() && rule.path.front() != '/') {
      it.Reject("path", "must start with '/'");
    }
    it.Finish();
    document->call_rules.push_back(std::move(rule));
  }
}

void ReadTargets(JsonReader* reader, ServiceDocument* document) {
  std::optional<JsonReader> targets = reader->Object("targets");
  if (!targets) {
    return;
  }
  LatencyTargets defaults;
  auto read = [&targets](const char* name, Millis fallback) {
    return Millis(
        targets->NumberOr(name, fallback.count(), 1, kMaxTargetMillis));
  };
  document->targets.first_token = read("first_token_ms", defaults.first_token);
  document->targets.between_tokens =
      read("between_tokens_ms", defaults.between_tokens);
  document->targets.deadline = read("deadline_ms", defaults.deadline);
  targets->Finish();
}

void ReadLimits(JsonReader* reader, ServiceDocument* document) {
  std::optional<JsonReader> limits = reader->Object("limits");
  if (!limits) {
    return;
  }
  document->limits.max_concurrent_calls =
      limits->NumberOr("concurrent", 0, 0, kMaxConcurrentCalls);
  document->limits.max_body_bytes = limits->NumberOr(
      "body_bytes", document->limits.max_body_bytes, 1, kMaxBodyBytes);
  limits->Finish();
}

void ReadUpstream(JsonReader* reader, ServiceDocument* document) {
  std::string kind = reader->Text("upstream");
  if (kind == kServiceKind) {
    document->upstream = UpstreamKind::kService;
  } else if (kind != kModelKind) {
    reader->Reject("upstream", "must be \"model\" or \"service\"");
  }
  for (const std::string& it : reader->Texts("models")) {
    document->models.emplace_back(it);
  }
  if (document->upstream == UpstreamKind::kModel && document->models.empty()) {
    reader->Reject("models", "at least one model is required");
  }
}

bool PathMatches(std::string_view rule, std::string_view path) {
  if (!rule.empty() && rule.back() == '*') {
    return path.starts_with(rule.substr(0, rule.size() - 1));
  }
  return rule == path;
}

}  // namespace

bool ServiceDocument::Permits(const RegionId& region) const {
  return std::find(permitted_regions.begin(), permitted_regions.end(),
                   region) != permitted_regions.end();
}

bool ServiceDocument::AllowsModel(const ModelName& model) const {
  return std::find(models.begin(), models.end(), model) != models.end();
}

bool ServiceDocument::IsIdempotent(std::string_view method,
                                   std::string_view path) const {
  auto it = std::find_if(
      call_rules.begin(), call_rules.end(), [&](const CallRule& rule) {
        return rule.method == method && PathMatches(rule.path, path);
      });
  if (it == call_rules.end()) {
    return upstream == UpstreamKind::kModel;
  }
  return it->idempotent;
}

std::optional<std::string> ServiceDocument::MatchKey(
    std::string_view bearer) const {
  std::string digest = Sha256Hex(bearer);
  std::optional<std::string> label;
  // Compares every key, so that the response time does not reveal which one
  // matched.
  for (const CallerKey& it : keys) {
    if (ConstantTimeEqual(it.sha256, digest)) {
      label = it.label;
    }
  }
  return label;
}

Result<ServiceDocument> ParseServiceDocument(std::string_view text) {
  Result<nlohmann::json> parsed = ParseJson(text, ResultCode::kDocumentInvalid);
  if (!parsed) {
    return tl::make_unexpected(parsed.error());
  }
  std::optional<Error> error;
  JsonReader reader(*parsed, "", ResultCode::kDocumentInvalid, &error);
  ServiceDocument document;
  document.name = ServiceName(ReadName(&reader, "name"));
  document.workspace = WorkspaceId(ReadName(&reader, "customer"));
  ReadKeys(&reader, &document);
  ReadUpstream(&reader, &document);
  ReadRegions(&reader, &document);
  ReadCalls(&reader, &document);
  ReadTargets(&reader, &document);
  ReadLimits(&reader, &document);
  document.priority =
      reader.NumberOr("priority", document.priority, 0, kMaxPriority);
  reader.Finish();
  if (error) {
    return tl::make_unexpected(*error);
  }
  return document;
}

std::string FormatServiceDocument(const ServiceDocument& document) {
  nlohmann::json json;
  json["name"] = document.name.value();
  json["customer"] = document.workspace.value();
  json["keys"] = nlohmann::json::array();
  for (const CallerKey& it : document.keys) {
    json["keys"].push_back({{"label", it.label}, {"sha256", it.sha256}});
  }
  json["upstream"] =
      document.upstream == UpstreamKind::kModel ? kModelKind : kServiceKind;
  nlohmann::json permitted_regions = nlohmann::json::array();
  for (const RegionId& it : document.permitted_regions) {
    permitted_regions.push_back(it.value());
  }
  json["regions"]["permitted"] = std::move(permitted_regions);
  if (!document.home_region.empty()) {
    json["regions"]["home"] = document.home_region.value();
  }
  for (const ModelName& it : document.models) {
    json["models"].push_back(it.value());
  }
  for (const CallRule& it : document.call_rules) {
    json["calls"].push_back({{"method", it.method},
                             {"path", it.path},
                             {"idempotent", it.idempotent}});
  }
  json["targets"] = {
      {"first_token_ms", document.targets.first_token.count()},
      {"between_tokens_ms", document.targets.between_tokens.count()},
      {"deadline_ms", document.targets.deadline.count()}};
  json["limits"] = {{"concurrent", document.limits.max_concurrent_calls},
                    {"body_bytes", document.limits.max_body_bytes}};
  json["priority"] = document.priority;
  return json.dump();
}

}  // namespace basilvalve::document
