// The documents in force on this instance. A version never goes down.
#pragma once

#include <array>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Document/document_record.h"

namespace basilvalve::document {

/// What became of an offered record.
enum class OfferResult {
  kApplied,
  /// The same change is in force already.
  kSame,
  /// A higher version is in force; the offer was ignored.
  kOlder,
  /// Another change of the same version is in force; the offer was ignored.
  kConflict,
};

/// Name and version of one document, as exchanged between instances.
struct DigestEntry {
  ServiceName name;
  DocumentVersion version;
  ChangeId change;
};

/// Shards by service name, each under its own lock. Thread safe.
class DocumentCatalog {
 public:
  explicit DocumentCatalog(const Clock* clock) : clock_(clock) {}

  /// Puts a record in force if its version is higher. Thread safe. Pre: record
  /// not null.
  OfferResult Offer(RecordPtr record);
  /// The record in force, null if there is none. Thread safe.
  RecordPtr Find(const ServiceName& name) const;
  /// Since when the record in force is so; zero if there is none. Thread safe.
  Instant ActiveSince(const ServiceName& name) const;
  /// All records in force, sorted by name. Thread safe.
  std::vector<RecordPtr> All() const;
  /// Names and versions in force, sorted by name. Thread safe.
  std::vector<DigestEntry> Digest() const;
  /// Hash of the digest: equal catalogs have equal hashes. Thread safe.
  uint64_t DigestHash() const;
  /// Number of offers ignored because another change had the same version.
  /// Thread safe.
  uint64_t conflicts() const { return conflicts_.load(); }

 private:
  struct Slot {
    RecordPtr record;
    Instant since;
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
