// The active service documents of this instance. The version of a document
// never decreases.
#pragma once

#include <array>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Document/document_record.h"

namespace basilvalve::document {

/// Result of DocumentCatalog::ApplyIfNewer.
enum class ApplyResult {
  kApplied,
  /// The same change is already active.
  kSame,
  /// A higher version is active; the record was ignored.
  kOlder,
  /// A different change with the same version is active; the record was
  /// ignored.
  kConflict,
};

/// Name, version and change of one document, as exchanged between instances.
struct DigestEntry {
  ServiceName name;
  DocumentVersion version;
  ChangeId change;
};

/// Active documents, sharded by service name, with one lock per shard. Thread
/// safe.
class DocumentCatalog {
 public:
  explicit DocumentCatalog(const Clock* clock) : clock_(clock) {}

  /// Activates a record if its version is higher than the active one. Thread
  /// safe. Pre: record is not null.
  ApplyResult ApplyIfNewer(RecordPtr record);
  /// The active record, null if there is none. Thread safe.
  RecordPtr Find(const ServiceName& name) const;
  /// When the active record was activated; zero if there is none. Thread safe.
  Instant ActiveSince(const ServiceName& name) const;
  /// All active records, sorted by name. Thread safe.
  std::vector<RecordPtr> All() const;
  /// Digest of the active records, sorted by name. Thread safe.
  std::vector<DigestEntry> Digest() const;
  /// Hash of the digest; catalogs with the same documents have the same hash.
  /// Thread safe.
  uint64_t DigestHash() const;
  /// Number of records rejected with kConflict. Thread safe.
  uint64_t conflicts() const { return conflicts_.load(); }

 private:
  struct Slot {
    RecordPtr record;
    Instant active_since;
  };
  struct Shard {
    mutable std::mutex mutex;
    // Guarded by mutex.
    std::map<ServiceName, Slot> slots;
  };

  static constexpr size_t kShards = 16;

  Shard& ShardOf(const ServiceName& name);
  const Shard& ShardOf(const ServiceName& name) const;

  const Clock* clock_;
  std::array<Shard, kShards> shards_;
  std::atomic<uint64_t> conflicts_{0};
};

}  // namespace basilvalve::document
