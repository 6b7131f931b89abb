// Accepts changes of documents: compare-and-swap with a change id.
#pragma once

#include <vector>

#include "Core/Document/document_catalog.h"
#include "Core/Document/document_record.h"
#include "Core/Platform/key_value_store.h"

namespace basilvalve::platform {

/// A change an operator wants accepted.
struct DocumentChange {
  document::ServiceDocument document;
  /// The version it was edited from; 0 for a new document.
  DocumentVersion base;
  ChangeId change;
};

/// Reads and writes documents in the key-value service. A change is accepted
/// when its compare-and-swap took effect; a lost reply is settled by reading
/// the change id back. Thread safe.
class DocumentStore {
 public:
  /// Pre: both outlive the store.
  DocumentStore(KeyValueStore* store, const document::DocumentCatalog* catalog)
      : store_(store), catalog_(catalog) {}

  /// Makes a change. Fails with kVersionConflict (the message lists what
  /// another operator changed), kStoreUnavailable with outcome kNotRun if the
  /// change surely is not accepted, or with kUnknown if that could not be found
  /// out. The same change id given again returns the accepted record. Thread
  /// safe; blocks on the service.
  Result<document::DocumentRecord> Apply(const DocumentChange& change);
  /// Past versions that led to the current one, newest first. Thread safe;
  /// blocks.
  Result<std::vector<document::DocumentRecord>> History(
      const ServiceName& name);
  /// Writes a record that is in force here over a lower one in the service, as
  /// after a restore from an older copy. Thread safe; blocks.
  Result<void> Repair(const document::DocumentRecord& record);

 private:
  struct Current {
    std::optional<document::DocumentRecord> record;
    StoreIndex index;
  };

  Result<Current> ReadCurrent(const ServiceName& name);
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
