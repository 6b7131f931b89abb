#include "Core/Gateway/admin_api.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "Core/Common/hash.h"
#include "Core/Common/log.h"
#include "Core/Gateway/cluster_view.h"

namespace basilvalve::gateway {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int64_t kMicrosPerMilli = 1000;
constexpr std::array<const char*, 4> kStateNames = {"alive", "suspect", "dead",
                                                    "left"};
constexpr std::array<const char*, 3> kBreakerNames = {"closed", "open",
                                                      "half-open"};

void ReplyJson(http::Exchange* exchange, int status, const json& body) {
  exchange->Reply(status, {{"Content-Type", "application/json"}}, body.dump());
}

void ReplyText(http::Exchange* exchange, int status, std::string_view text) {
  exchange->Reply(status, {{"Content-Type", "text/plain"}}, text);
}

void ReplyFailure(http::Exchange* exchange, const Error& error) {
  const ResultCodeRow& row = RowOf(error.code);
  ReplyJson(exchange, row.http_status,
            {{"error",
              {{"code", static_cast<int>(error.code)},
               {"name", row.name},
               {"outcome", OutcomeName(error.outcome)},
               {"message", error.message}}}});
}

json RecordJson(const document::DocumentRecord& record) {
  return json::parse(document::FormatRecord(record));
}

json MemberJson(const membership::MemberInfo& info) {
  return {{"instance", info.id.value()},
          {"state", kStateNames[static_cast<size_t>(info.state)]},
          {"incarnation", info.incarnation.value()},
          {"caller", info.caller.Text()},
          {"load_percent", info.load_percent},
          {"draining", info.draining}};
}

}  // namespace

AdminApi::AdminApi(const NodeParts* parts, DocumentSync* document_sync,
                   const EntryAdvisor* advisor, Explainer* explainer,
                   std::function<void()> begin_drain)
    : parts_(parts),
      document_sync_(document_sync),
      advisor_(advisor),
      explainer_(explainer),
      begin_drain_(std::move(begin_drain)) {}

const std::vector<AdminApi::Route>& AdminApi::Routes() {
  static const std::vector<Route>* routes = new std::vector<Route>{
      {"GET", "/healthz", &AdminApi::GetHealth, false},
      {"GET", "/readyz", &AdminApi::GetReady, false},
      {"GET", "/metrics", &AdminApi::GetMetrics, false},
      {"GET", "/v1/status", &AdminApi::GetStatus, false},
      {"GET", "/v1/documents", &AdminApi::GetDocuments, false},
      {"GET", "/v1/documents/", &AdminApi::GetDocument, false},
      {"PUT", "/v1/documents/", &AdminApi::PutDocument, true},
      {"GET", "/v1/history/", &AdminApi::GetHistory, false},
      {"POST", "/v1/validate", &AdminApi::PostValidate, false},
      {"GET", "/v1/explain/", &AdminApi::GetExplain, false},
      {"GET", "/v1/entries", &AdminApi::GetEntries, false},
      {"POST", "/v1/drain", &AdminApi::PostDrain, true},
  };
  return *routes;
}

bool AdminApi::IsAuthorised(const http::Request& request) const {
  const std::string& key = parts_->settings->admin_key;
  if (key.empty()) {
    return true;
  }
  return ConstantTimeEqual(http::FindHeader(request.headers, "Authorization"),
                           "Bearer " + key);
}

void AdminApi::Handle(http::Exchange* exchange) {
  const http::Request& request = exchange->request();
  for (const Route& it : Routes()) {
    std::string_view path(it.path);
    bool is_prefix = path.back() == '/';
    bool matches = request.method == it.method &&
                   (is_prefix ? request.path.starts_with(path) &&
                                    request.path.size() > path.size()
                              : request.path == path);
    if (!matches) {
      continue;
    }
    if (it.requires_admin_key && !IsAuthorised(request)) {
      ReplyFailure(exchange, MakeError(ResultCode::kUnauthenticated,
                                       "admin key is missing or wrong"));
      return;
    }
    (this->*it.handle)(exchange, request.path.substr(std::min(
                                     path.size(), request.path.size())));
    return;
  }
  ReplyFailure(exchange,
               MakeError(ResultCode::kUnknownPath, "no such path or method"));
}

void AdminApi::GetHealth(http::Exchange* exchange,
                         const std::string& /*path_suffix*/) {
  ReplyText(exchange, kOk, "ok\n");
}

void AdminApi::GetReady(http::Exchange* exchange,
                        const std::string& /*path_suffix*/) {
  if (parts_->draining->load()) {
    ReplyText(exchange, kUnavailable, "draining\n");
  } else if (parts_->catalog->Digest().empty()) {
    ReplyText(exchange, kUnavailable, "no documents\n");
  } else {
    ReplyText(exchange, kOk, "ready\n");
  }
}

void AdminApi::GetMetrics(http::Exchange* exchange,
                          const std::string& /*path_suffix*/) {
  exchange->Reply(kOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                  parts_->metrics->Text());
}

void AdminApi::GetStatus(http::Exchange* exchange,
                         const std::string& /*path_suffix*/) {
  Instant now = parts_->clock->Now();
  json members = json::array();
  for (const membership::MemberView& it : parts_->cluster->Members()) {
    members.push_back(MemberJson(it.info));
  }
  json regions = json::array();
  for (const membership::RegionView& it : parts_->cluster->AllRegions()) {
    regions.push_back(
        {{"region", it.summary.region.value()},
         {"heard_ms_ago", (now - it.last_heard).count() / kMicrosPerMilli},
         {"contacts", it.summary.contacts.size()}});
  }
  json upstreams = json::array();
  for (const routing::UpstreamStatus& it : parts_->upstreams->Status(now)) {
    upstreams.push_back(
        {{"upstream", it.id.value()},
         {"leaving", it.leaving},
         {"breaker", kBreakerNames[static_cast<size_t>(it.breaker)]},
         {"in_flight", it.in_flight},
         {"limit", it.limit},
         {"slowness", it.slowness},
         {"report_age_ms", it.report_age.count() / kMicrosPerMilli}});
  }
  json documents = json::array();
  for (const document::RecordPtr& it : parts_->catalog->All()) {
    Instant since = parts_->catalog->ActiveSince(it->document.name);
    documents.push_back(
        {{"service", it->document.name.value()},
         {"version", it->version.value()},
         {"in_force_ms", (now - since).count() / kMicrosPerMilli}});
  }
  ReplyJson(exchange, kOk,
            {{"instance", parts_->self.value()},
             {"region", parts_->region.value()},
             {"incarnation", parts_->incarnation.value()},
             {"draining", parts_->draining->load()},
             {"in_flight", parts_->workspace_shares->InFlight()},
             {"store_reachable", document_sync_->StoreReachable()},
             {"members", std::move(members)},
             {"regions", std::move(regions)},
             {"upstreams", std::move(upstreams)},
             {"documents", std::move(documents)}});
}

void AdminApi::GetDocuments(http::Exchange* exchange,
                            const std::string& /*path_suffix*/) {
  json list = json::array();
  for (const document::DigestEntry& it : parts_->catalog->Digest()) {
    list.push_back({{"service", it.name.value()},
                    {"version", it.version.value()},
                    {"change", it.change.value()}});
  }
  ReplyJson(exchange, kOk, {{"documents", std::move(list)}});
}

void AdminApi::GetDocument(http::Exchange* exchange,
                           const std::string& path_suffix) {
  document::RecordPtr record = parts_->catalog->Find(ServiceName(path_suffix));
  if (record == nullptr) {
    ReplyFailure(exchange, MakeError(ResultCode::kUnknownDocument,
                                     "no document \"" + path_suffix + "\""));
    return;
  }
  ReplyJson(exchange, kOk, RecordJson(*record));
}

void AdminApi::PutDocument(http::Exchange* exchange,
                           const std::string& path_suffix) {
  const http::Request& request = exchange->request();
  Result<document::ServiceDocument> document =
      document::ParseServiceDocument(request.body);
  if (!document) {
    ReplyFailure(exchange, document.error());
    return;
  }
  std::string base = http::QueryValue(request.query, "base");
  std::string change = http::QueryValue(request.query, "change");
  uint64_t version = 0;
  auto [end, ec] =
      std::from_chars(base.data(), base.data() + base.size(), version);
  bool valid = ec == std::errc() && end == base.data() + base.size() &&
               !change.empty() && document->name.value() == path_suffix;
  if (!valid) {
    ReplyFailure(
        exchange,
        MakeError(
            ResultCode::kMalformedRequest,
            "base and change are required, and the name must match the path"));
    return;
  }
  parts_->metrics->CountStoreCall("apply");
  Result<document::DocumentRecord> record = parts_->documents->Apply(
      {std::move(*document), DocumentVersion(version), ChangeId(change)});
  if (!record) {
    LogEvent(LogLevel::kWarn, "documents", "document_change_rejected")
        .With("service", path_suffix)
        .With("code", static_cast<int64_t>(record.error().code));
    ReplyFailure(exchange, record.error());
    return;
  }
  document_sync_->ApplyIfNewer(
      std::make_shared<document::DocumentRecord>(*record),
      /*from_store=*/true);
  ReplyJson(exchange, kOk, RecordJson(*record));
}

void AdminApi::GetHistory(http::Exchange* exchange,
                          const std::string& path_suffix) {
  Result<std::vector<document::DocumentRecord>> history =
      parts_->documents->History(ServiceName(path_suffix));
  if (!history) {
    ReplyFailure(exchange, history.error());
    return;
  }
  json list = json::array();
  for (const document::DocumentRecord& it : *history) {
    list.push_back(RecordJson(it));
  }
  ReplyJson(exchange, kOk, {{"versions", std::move(list)}});
}

void AdminApi::PostValidate(http::Exchange* exchange,
                            const std::string& /*path_suffix*/) {
  Result<document::ServiceDocument> document =
      document::ParseServiceDocument(exchange->request().body);
  if (!document) {
    ReplyFailure(exchange, document.error());
    return;
  }
  ReplyJson(exchange, kOk,
            {{"valid", true}, {"service", document->name.value()}});
}

void AdminApi::GetExplain(http::Exchange* exchange,
                          const std::string& path_suffix) {
  exchange->Reply(kOk, {{"Content-Type", "application/json"}},
                  explainer_->Explain(RequestId(path_suffix)));
}

void AdminApi::GetEntries(http::Exchange* exchange,
                          const std::string& /*path_suffix*/) {
  json list = json::array();
  for (const EntryAdvice& it : advisor_->RegionEntries()) {
    list.push_back({{"instance", it.instance.value()},
                    {"address", it.endpoint.Text()},
                    {"weight", it.weight}});
  }
  ReplyJson(exchange, kOk,
            {{"region", parts_->region.value()}, {"entries", std::move(list)}});
}

void AdminApi::PostDrain(http::Exchange* exchange,
                         const std::string& /*path_suffix*/) {
  begin_drain_();
  ReplyJson(exchange, kOk, {{"draining", true}});
}

}  // namespace basilvalve::gateway
