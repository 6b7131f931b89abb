// A key-value service in memory, with faults.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

#include "Core/Platform/key_value_store.h"

namespace basilvalve::fakes {

/// Stands in for the platform's service. Thread safe.
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

  /// While down, every call fails without effect. Thread safe.
  void SetDown(bool down);
  /// The next `count` writes take effect but their replies are lost. Thread
  /// safe.
  void LoseWriteReplies(int count);
  /// The next `count` reads fail. Thread safe.
  void FailReads(int count);
  /// Takes a copy of the contents, to be restored later. Thread safe.
  void SaveSnapshot();
  /// Puts the saved copy back; the index goes back with it. Thread safe.
  void RestoreSnapshot();
  /// Calls served so far, a watch counting as one. Thread safe.
  uint64_t calls() const;

 private:
  Result<void> AdmitLocked();
  bool LoseReplyLocked();

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  // Guarded by mutex_.
  std::map<std::string, platform::StoreEntry> entries_;
  std::map<std::string, platform::StoreEntry> saved_entries_;
  uint64_t index_ = 0;
  uint64_t saved_index_ = 0;
  uint64_t generation_ = 0;
  uint64_t calls_ = 0;
  int lost_replies_ = 0;
  int failed_reads_ = 0;
  bool down_ = false;
};

}  // namespace basilvalve::fakes
