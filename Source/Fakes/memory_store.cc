#include "Fakes/memory_store.h"

namespace basilvalve::fakes {

using platform::StoreEntry;
using platform::SwapReply;
using platform::WatchReply;

Result<void> MemoryStore::AdmitLocked() {
  ++calls_;
  if (down_) {
    return FailAs(ResultCode::kStoreUnavailable, Outcome::kNotRun,
                  "the store is down");
  }
  return {};
}

bool MemoryStore::LoseReplyLocked() {
  if (lost_replies_ == 0) {
    return false;
  }
  --lost_replies_;
  return true;
}

Result<std::optional<StoreEntry>> MemoryStore::Get(std::string_view key) {
  std::lock_guard lock(mutex_);
  Result<void> admitted = AdmitLocked();
  if (!admitted) {
    return tl::make_unexpected(admitted.error());
  }
  if (failed_reads_ > 0) {
    --failed_reads_;
    return FailAs(ResultCode::kStoreUnavailable, Outcome::kUnknown,
                  "a read failed");
  }
  auto it = entries_.find(std::string(key));
  return it == entries_.end() ? std::nullopt : std::make_optional(it->second);
}

Result<std::vector<StoreEntry>> MemoryStore::List(std::string_view prefix) {
  std::lock_guard lock(mutex_);
  Result<void> admitted = AdmitLocked();
  if (!admitted) {
    return tl::make_unexpected(admitted.error());
  }
  std::vector<StoreEntry> found;
  for (auto it = entries_.lower_bound(std::string(prefix));
       it != entries_.end() && it->first.starts_with(prefix); ++it) {
    found.push_back(it->second);
  }
  return found;
}

Result<SwapReply> MemoryStore::CompareAndSwap(std::string_view key,
                                              std::string_view value,
                                              StoreIndex expected,
                                              Seconds /*time_to_live*/) {
  std::lock_guard lock(mutex_);
  Result<void> admitted = AdmitLocked();
  if (!admitted) {
    return tl::make_unexpected(admitted.error());
  }
  auto it = entries_.find(std::string(key));
  StoreIndex current =
      it == entries_.end() ? platform::kAbsent : it->second.index;
  SwapReply reply{current == expected, current};
  if (reply.swapped) {
    reply.index = StoreIndex(++index_);
    entries_[std::string(key)] = {std::string(key), std::string(value),
                                  reply.index};
    changed_.notify_all();
  }
  if (LoseReplyLocked()) {
    return FailAs(ResultCode::kStoreUnavailable, Outcome::kUnknown,
                  "the reply was lost");
  }
  return reply;
}

Result<void> MemoryStore::Remove(std::string_view key) {
  std::lock_guard lock(mutex_);
  Result<void> admitted = AdmitLocked();
  if (!admitted) {
    return admitted;
  }
  entries_.erase(std::string(key));
  return {};
}

Result<WatchReply> MemoryStore::Watch(std::string_view prefix, StoreIndex since,
                                      Millis wait) {
  std::unique_lock lock(mutex_);
  Result<void> admitted = AdmitLocked();
  if (!admitted) {
    return tl::make_unexpected(admitted.error());
  }
  uint64_t generation = generation_;
  auto collect = [&] {
    std::vector<StoreEntry> found;
    for (auto it = entries_.lower_bound(std::string(prefix));
         it != entries_.end() && it->first.starts_with(prefix); ++it) {
      if (it->second.index > since) {
        found.push_back(it->second);
      }
    }
    return found;
  };
  changed_.wait_for(lock, wait, [&] {
    return down_ || generation != generation_ || index_ < since.value() ||
           !collect().empty();
  });
  if (down_) {
    return FailAs(ResultCode::kStoreUnavailable, Outcome::kNotRun,
                  "the store went down");
  }
  return WatchReply{StoreIndex(index_), collect()};
}

void MemoryStore::SetDown(bool down) {
  std::lock_guard lock(mutex_);
  down_ = down;
  changed_.notify_all();
}

void MemoryStore::LoseWriteReplies(int count) {
  std::lock_guard lock(mutex_);
  lost_replies_ = count;
}

void MemoryStore::FailReads(int count) {
  std::lock_guard lock(mutex_);
  failed_reads_ = count;
}

void MemoryStore::SaveSnapshot() {
  std::lock_guard lock(mutex_);
  saved_entries_ = entries_;
  saved_index_ = index_;
}

void MemoryStore::RestoreSnapshot() {
  std::lock_guard lock(mutex_);
  entries_ = saved_entries_;
  index_ = saved_index_;
  ++generation_;
  changed_.notify_all();
}

uint64_t MemoryStore::calls() const {
  std::lock_guard lock(mutex_);
  return calls_;
}

}  // namespace basilvalve::fakes
