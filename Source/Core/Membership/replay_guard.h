// Rejects messages of an earlier incarnation and repeated sequence numbers.
#pragma once

#include <bitset>
#include <map>
#include <mutex>

#include "Core/Common/strong_id.h"

namespace basilvalve::membership {

/// Remembers, for each sender, its newest incarnation and its last sequence
/// numbers. Thread safe.
class ReplayGuard {
 public:
  /// Whether a message is new; a new one is remembered. Messages may arrive out
  /// of order within a window of kWindowSize numbers. Thread safe.
  bool Accept(const InstanceId& sender, Incarnation incarnation,
              Sequence sequence);
  /// Number of senders remembered. Thread safe.
  size_t Size() const;

  static constexpr size_t kWindowSize = 1024;
  /// Senders remembered at most; the one heard longest ago is dropped.
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
