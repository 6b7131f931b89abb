#include "Core/Document/document_catalog.h"

#include <algorithm>

#include "Core/Common/hash.h"

namespace basilvalve::document {

DocumentCatalog::Shard& DocumentCatalog::ShardOf(const ServiceName& name) {
  return shards_[Hash64(name.value()) % kShards];
}

const DocumentCatalog::Shard& DocumentCatalog::ShardOf(
    const ServiceName& name) const {
  return shards_[Hash64(name.value()) % kShards];
}

ApplyResult DocumentCatalog::ApplyIfNewer(RecordPtr record) {
  Shard& shard = ShardOf(record->document.name);
  std::lock_guard lock(shard.mutex);
  Slot& slot = shard.slots[record->document.name];
  if (slot.record != nullptr && record->version < slot.record->version) {
    return ApplyResult::kOlder;
  }
  if (slot.record != nullptr && record->version == slot.record->version) {
    if (record->change == slot.record->change) {
      return ApplyResult::kSame;
    }
    conflicts_.fetch_add(1);
    return ApplyResult::kConflict;
  }
  slot = Slot{std::move(record), clock_->Now()};
  return ApplyResult::kApplied;
}

RecordPtr DocumentCatalog::Find(const ServiceName& name) const {
  const Shard& shard = ShardOf(name);
  std::lock_guard lock(shard.mutex);
  auto it = shard.slots.find(name);
  return it == shard.slots.end() ? nullptr : it->second.record;
}

Instant DocumentCatalog::ActiveSince(const ServiceName& name) const {
  const Shard& shard = ShardOf(name);
  std::lock_guard lock(shard.mutex);
  auto it = shard.slots.find(name);
  return it == shard.slots.end() ? Instant() : it->second.active_since;
}

std::vector<RecordPtr> DocumentCatalog::All() const {
  std::vector<RecordPtr> records;
  for (const Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex);
    for (const auto& [name, slot] : shard.slots) {
      records.push_back(slot.record);
    }
  }
  std::sort(records.begin(), records.end(),
            [](const RecordPtr& a, const RecordPtr& b) {
              return a->document.name < b->document.name;
            });
  return records;
}

std::vector<DigestEntry> DocumentCatalog::Digest() const {
  std::vector<DigestEntry> digest;
  for (const RecordPtr& it : All()) {
    digest.push_back({it->document.name, it->version, it->change});
  }
  return digest;
}

uint64_t DocumentCatalog::DigestHash() const {
  uint64_t hash = 0;
  for (const DigestEntry& it : Digest()) {
    std::string line = it.name.value() + "\n" +
                       std::to_string(it.version.value()) + "\n" +
                       it.change.value();
    hash = Hash64(line, hash);
  }
  return hash;
}

}  // namespace basilvalve::document
