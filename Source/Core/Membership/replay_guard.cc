#include "Core/Membership/replay_guard.h"

#include <algorithm>

namespace basilvalve::membership {

void ReplayGuard::DropOldest() {
  auto it = std::min_element(senders_.begin(), senders_.end(),
                             [](const auto& a, const auto& b) {
                               return a.second.last_used < b.second.last_used;
                             });
  senders_.erase(it);
}

bool ReplayGuard::Accept(const InstanceId& sender, Incarnation incarnation,
                         Sequence sequence) {
  std::lock_guard lock(mutex_);
  auto it = senders_.find(sender);
  if (it == senders_.end() && senders_.size() >= kMaxSenders) {
    DropOldest();
  }
  Sender& known = senders_[sender];
  known.last_used = ++uses_;
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
    for (uint64_t i = 0; i < std::min<uint64_t>(step, kWindow); ++i) {
      known.seen.reset((known.highest + 1 + i) % kWindow);
    }
    known.highest = number;
    known.seen.set(number % kWindow);
    return true;
  }
  bool too_old = known.highest - number >= kWindow;
  if (too_old || known.seen.test(number % kWindow)) {
    return false;
  }
  known.seen.set(number % kWindow);
  return true;
}

size_t ReplayGuard::Size() const {
  std::lock_guard lock(mutex_);
  return senders_.size();
}

}  // namespace basilvalve::membership
