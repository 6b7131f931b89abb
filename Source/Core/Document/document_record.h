// One accepted version of a service document, as stored in the key-value store
// and in memory.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"
#include "Core/Document/service_document.h"

namespace basilvalve::document {

/// A version of a document together with the change that created it.
struct DocumentRecord {
  DocumentVersion version;
  /// Identifies the change; chosen by the operator who applies it, so that a
  /// retry is recognized as the same change.
  ChangeId change;
  /// The change on which this one is based; empty for the first.
  ChangeId parent;
  ServiceDocument document;
};

using RecordPtr = std::shared_ptr<const DocumentRecord>;

/// Serializes a record as JSON. Thread safe.
std::string FormatRecord(const DocumentRecord& record);
/// Parses the output of FormatRecord. Fails with kDocumentInvalid. Thread safe.
Result<DocumentRecord> ParseRecord(std::string_view text);

/// Store key of the current record of a service. Thread safe.
std::string CurrentKey(const ServiceName& name);
/// Store key of one past version. Thread safe.
std::string HistoryKey(const ServiceName& name, DocumentVersion version,
                       const ChangeId& change);
/// Common prefix of the store keys of all past versions of a service. Thread
/// safe.
std::string HistoryPrefix(const ServiceName& name);
/// Common prefix of the store keys of all current records.
inline constexpr std::string_view kCurrentPrefix = "basilvalve/documents/";

}  // namespace basilvalve::document
