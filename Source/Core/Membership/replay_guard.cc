#include "Core/Membership/replay_guard.h"

#include <algorithm>

namespace basilvalve::membership {

void ReplayGuard::EvictLeastRecentlyUsed() {
  auto it = std::min_element(
      senders_.begin(), senders_.end(), [](const auto& a, const auto& b) {
        return a.second.last_access < b.second.last_access;
      });
  senders_.erase(it);
}

bool ReplayGuard::Accept(const InstanceId& sender, Incarnation incarnation,
                         Sequence sequence) {
  std::lock_guard lock(mutex_);
  auto it = senders_.find(sender);
  if (it == senders_.end() && senders_.size() >= kMaxSenders) {
    EvictLeastRecentlyUsed();
  }
  Sender& known = senders_[sender];
  known.last_access = ++access_count_;
  if (incarnation < known.incarnation) {
    return false;
  }
  if (incarnation > known.incarnation) {
    known.incarnation = incarnation;
    known.highest = 0;
    known.seen.reset();
  }
  uint64_t number = sequence.value();
  if (number > known.highest) {
    uint64_t step = number - known.highest;
    for (uint64_t i = 0; i < std::min<uint64_t>(step, kWindowSize); ++i) {
      known.seen.reset((known.highest + 1 + i) % kWindowSize);
    }
    known.highest = number;
    known.seen.set(number % kWindowSize);
    return true;
  }
  bool too_old = known.highest - number >= kWindowSize;
  if (too_old || known.seen.test(number % kWindowSize)) {
    return false;
  }
  known.seen.set(number % kWindowSize);
  return true;
}

size_t ReplayGuard::Size() const {
  std::lock_guard lock(mutex_);
  return senders_.size();
}

}  // namespace basilvalve::membership
