// In-memory key-value store with fault injection.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

#include "Core/Platform/key_value_store.h"

namespace basilvalve::fakes {

/// Fake of the platform's key-value store. Thread safe.
class MemoryStore : public platform::KeyValueStore {
 public:
  Result<std::optional<platform::StoreEntry>> Get(
      std::string_view key) override;
  Result<std::vector<platform::StoreEntry>> List(
      std::string_view prefix) override;
  Result<platform::SwapReply> CompareAndSwap(std::string_view key,
                                             std::string_view value,
                                             StoreIndex expected,
                                             Seconds time_to_live) override;
  Result<void> Remove(std::string_view key) override;
  Result<platform::WatchReply> Watch(std::string_view prefix, StoreIndex since,
                                     Millis wait) override;

  /// While the store is down, every call fails without effect and watches end.
  /// Thread safe.
  void SetDown(bool down);
  /// Lets the next `count` compare-and-swap calls take effect but fail, as if
  /// their replies were lost. Thread safe.
  void LoseWriteReplies(int count);
  /// Lets the next `count` calls of Get fail. Thread safe.
  void FailReads(int count);
  /// Copies the contents and the index, to be restored later. Thread safe.
  void SaveSnapshot();
  /// Restores the saved contents and index, so that the index goes backwards,
  /// and ends all watches. Thread safe.
  void RestoreSnapshot();
  /// Number of calls so far, failed ones included; a watch counts as one.
  /// Thread safe.
  uint64_t calls() const;

 private:
  Result<void> BeginCallLocked();
  bool ConsumeLostReplyLocked();

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  // Guarded by mutex_.
  std::map<std::string, platform::StoreEntry> entries_;
  std::map<std::string, platform::StoreEntry> saved_entries_;
  uint64_t index_ = 0;
  uint64_t saved_index_ = 0;
  uint64_t restore_count_ = 0;
  uint64_t calls_ = 0;
  int replies_to_lose_ = 0;
  int reads_to_fail_ = 0;
  bool down_ = false;
};

}  // namespace basilvalve::fakes
