// Rejects messages of earlier incarnations and replayed sequence numbers.
#pragma once

#include <bitset>
#include <map>
#include <mutex>

#include "Core/Common/strong_id.h"

namespace basilvalve::membership {

/// Tracks the newest incarnation and the recent sequence numbers of each
/// sender. Thread safe.
class ReplayGuard {
 public:
  /// Whether the message is new; if so, it is recorded. Messages may arrive out
  /// of order within a window of kWindowSize sequence numbers. Thread safe.
  bool Accept(const InstanceId& sender, Incarnation incarnation,
              Sequence sequence);
  /// Number of tracked senders. Thread safe.
  size_t Size() const;

  static constexpr size_t kWindowSize = 1024;
  /// Largest number of tracked senders; at this limit the least recently heard
  /// sender is evicted.
  static constexpr size_t kMaxSenders = 4096;

 private:
  struct Sender {
    Incarnation incarnation;
    uint64_t highest = 0;
    std::bitset<kWindowSize> seen;
    uint64_t last_access = 0;
  };

  void EvictLeastRecentlyUsed();

  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<InstanceId, Sender> senders_;
  uint64_t access_count_ = 0;
};

}  // namespace basilvalve::membership
