#include "Core/Document/document_record.h"

#include <cstdio>
#include <limits>

#include "Core/Common/json_reader.h"

namespace basilvalve::document {
namespace {

constexpr std::string_view kHistoryPrefix = "basilvalve/history/";
// Zero-padded to a fixed width, so that the store sorts keys by version.
constexpr size_t kVersionDigits = 12;

}  // namespace

std::string FormatRecord(const DocumentRecord& record) {
  nlohmann::json json;
  json["version"] = record.version.value();
  json["change"] = record.change.value();
  json["parent"] = record.parent.value();
  json["document"] =
      nlohmann::json::parse(FormatServiceDocument(record.document));
  return json.dump();
}

Result<DocumentRecord> ParseRecord(std::string_view text) {
  Result<nlohmann::json> parsed = ParseJson(text, ResultCode::kDocumentInvalid);
  if (!parsed) {
    return tl::make_unexpected(parsed.error());
  }
  std::optional<Error> error;
  JsonReader reader(*parsed, "", ResultCode::kDocumentInvalid, &error);
  DocumentRecord record;
  int64_t version =
      reader.NumberOr("version", 0, 1, std::numeric_limits<int64_t>::max());
  record.version = DocumentVersion(static_cast<uint64_t>(version));
  record.change = ChangeId(reader.Text("change"));
  record.parent = ChangeId(reader.TextOr("parent", ""));
  if (!reader.Object("document")) {
    reader.Reject("document", "is required");
  }
  reader.Finish();
  if (error) {
    return tl::make_unexpected(*error);
  }
  Result<ServiceDocument> document =
      ParseServiceDocument((*parsed)["document"].dump());
  if (!document) {
    return tl::make_unexpected(document.error());
  }
  record.document = std::move(*document);
  return record;
}

std::string CurrentKey(const ServiceName& name) {
  return std::string(kCurrentPrefix) + name.value();
}

std::string HistoryPrefix(const ServiceName& name) {
  return std::string(kHistoryPrefix) + name.value() + "/";
}

std::string HistoryKey(const ServiceName& name, DocumentVersion version,
                       const ChangeId& change) {
  std::string digits = std::to_string(version.value());
  digits.insert(0, kVersionDigits - std::min(kVersionDigits, digits.size()),
                '0');
  return HistoryPrefix(name) + digits + "/" + change.value();
}

}  // namespace basilvalve::document
