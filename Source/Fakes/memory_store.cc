#include "Fakes/memory_store.h"

namespace basilvalve::fakes {

using platform::StoreEntry;
using platform::SwapReply;
using platform::WatchReply;

Result<void> MemoryStore::BeginCallLocked() {
  ++calls_;
  if (down_) {
    return FailAs(ResultCode::kStoreUnavailable, Outcome::kNotRun,
                  "the store is down");
  }
  return {};
}

bool MemoryStore::ConsumeLostReplyLocked() {
  if (replies_to_lose_ == 0) {
    return false;
  }
  --replies_to_lose_;
  return true;
}

Result<std::optional<StoreEntry>> MemoryStore::Get(std::string_view key) {
  std::lock_guard lock(mutex_);
  Result<void> begun = BeginCallLocked();
  if (!begun) {
    return tl::make_unexpected(begun.error());
  }
  if (reads_to_fail_ > 0) {
    --reads_to_fail_;
    return FailAs(ResultCode::kStoreUnavailable, Outcome::kUnknown,
                  "the store read failed");
  }
  auto it = entries_.find(std::string(key));
  return it == entries_.end() ? std::nullopt : std::make_optional(it->second);
}

Result<std::vector<StoreEntry>> MemoryStore::List(std::string_view prefix) {
  std::lock_guard lock(mutex_);
  Result<void> begun = BeginCallLocked();
  if (!begun) {
    return tl::make_unexpected(begun.error());
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
  Result<void> begun = BeginCallLocked();
  if (!begun) {
    return tl::make_unexpected(begun.error());
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
  if (ConsumeLostReplyLocked()) {
    return FailAs(ResultCode::kStoreUnavailable, Outcome::kUnknown,
                  "the store reply was lost");
  }
  return reply;
}

Result<void> MemoryStore::Remove(std::string_view key) {
  std::lock_guard lock(mutex_);
  Result<void> begun = BeginCallLocked();
  if (!begun) {
    return begun;
  }
  entries_.erase(std::string(key));
  return {};
}

Result<WatchReply> MemoryStore::Watch(std::string_view prefix, StoreIndex since,
                                      Millis wait) {
  std::unique_lock lock(mutex_);
  Result<void> begun = BeginCallLocked();
  if (!begun) {
    return tl::make_unexpected(begun.error());
  }
  uint64_t restores_before = restore_count_;
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
    return down_ || restores_before != restore_count_ ||
           index_ < since.value() || !collect().empty();
  });
  if (down_) {
    return FailAs(ResultCode::kStoreUnavailable, Outcome::kNotRun,
                  "the store went down during the watch");
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
  replies_to_lose_ = count;
}

void MemoryStore::FailReads(int count) {
  std::lock_guard lock(mutex_);
  reads_to_fail_ = count;
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
  ++restore_count_;
  changed_.notify_all();
}

uint64_t MemoryStore::calls() const {
  std::lock_guard lock(mutex_);
  return calls_;
}

}  // namespace basilvalve::fakes
