// One accepted version of a document, as kept in the key-value service and in
// memory.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"
#include "Core/Document/service_document.h"

namespace basilvalve::document {

/// A version of a document with the change that made it.
struct DocumentRecord {
  DocumentVersion version;
  /// Chosen by the applying operator; tells a change from a repetition of it.
  ChangeId change;
  /// The change this one was edited from; empty for the first.
  ChangeId parent;
  ServiceDocument document;
};

using RecordPtr = std::shared_ptr<const DocumentRecord>;

/// Text form of a record. Thread safe.
std::string FormatRecord(const DocumentRecord& record);
/// Parses the text form. Fails with kDocumentInvalid. Thread safe.
Result<DocumentRecord> ParseRecord(std::string_view text);

/// Key under which the current record of a service is kept. Thread safe.
std::string CurrentKey(const ServiceName& name);
/// Key under which one past version is kept. Thread safe.
std::string HistoryKey(const ServiceName& name, DocumentVersion version,
                       const ChangeId& change);
/// Prefix of all past versions of a service. Thread safe.
std::string HistoryPrefix(const ServiceName& name);
/// Prefix of all current records.
inline constexpr std::string_view kCurrentPrefix = "basilvalve/documents/";

}  // namespace basilvalve::document
