// Service documents in the key-value service, changed by compare-and-swap.
#pragma once

#include <vector>

#include "Core/Document/document_catalog.h"
#include "Core/Document/document_record.h"
#include "Core/Platform/key_value_store.h"

namespace basilvalve::platform {

/// A document change submitted by an operator.
struct DocumentChange {
  document::ServiceDocument document;
  /// Version that the edit is based on; 0 for a new document.
  DocumentVersion base_version;
  ChangeId change;
};

/// Reads and writes documents in the key-value service. A change is accepted
/// when its compare-and-swap takes effect; if the reply is lost, the outcome is
/// determined by looking for the change id in the history. Thread safe.
class DocumentStore {
 public:
  /// Pre: both outlive the store.
  DocumentStore(KeyValueStore* store, const document::DocumentCatalog* catalog)
      : store_(store), catalog_(catalog) {}

  /// Applies a change. Idempotent by change id: repeating an accepted change
  /// returns its record. Fails with kVersionConflict (the message lists the
  /// differences from the current document), kUnknownDocument, or
  /// kStoreUnavailable with outcome kNotRun if the change was not accepted, or
  /// kUnknown if that cannot be determined. Thread safe; blocks on the service.
  Result<document::DocumentRecord> Apply(const DocumentChange& change);
  /// The current version and its ancestors, at most 20 versions, newest first.
  /// Thread safe; blocks.
  Result<std::vector<document::DocumentRecord>> History(
      const ServiceName& name);
  /// Writes a record held by this instance over an older version in the
  /// service, which occurs after the service was restored from a backup. Thread
  /// safe; blocks.
  Result<void> Repair(const document::DocumentRecord& record);

 private:
  struct CurrentEntry {
    std::optional<document::DocumentRecord> record;
    StoreIndex index;
  };

  Result<CurrentEntry> ReadCurrent(const ServiceName& name);
  Result<void> WriteHistory(const document::DocumentRecord& record);
  Result<document::DocumentRecord> Commit(
      const document::DocumentRecord& record, StoreIndex expected);
  std::optional<document::DocumentRecord> FindAccepted(const ServiceName& name,
                                                       const ChangeId& change);
  void PruneHistory(const document::DocumentRecord& newest);
  Result<document::DocumentRecord> ResolveLostReply(
      const document::DocumentRecord& record, const Error& cause);

  KeyValueStore* store_;
  const document::DocumentCatalog* catalog_;
};

}  // namespace basilvalve::platform
