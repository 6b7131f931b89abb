#include "Core/Net/memory_budget.h"

#include <algorithm>

namespace basilvalve::net {
namespace {

constexpr double kCallerShare = 0.6;
constexpr double kShareForLarge = 0.875;
// A reservation up to this size may use the part that is kept for small ones:
// a head of the largest size, a body of a few KB and their copies.
constexpr size_t kSmallBytes = size_t{64} * 1024;

size_t ShareOf(size_t bytes, double share) {
  return static_cast<size_t>(static_cast<double>(bytes) * share);
}

}  // namespace

MemoryBudget::MemoryBudget(size_t limit)
    : limit_(limit),
      caller_limit_(ShareOf(limit, kCallerShare)),
      limit_for_large_(ShareOf(limit, kShareForLarge)),
      caller_limit_for_large_(ShareOf(caller_limit_, kShareForLarge)) {}

size_t MemoryBudget::Missing(MemoryUse use, size_t held, size_t n) const {
  bool is_small = held + n <= kSmallBytes;
  auto beyond = [n](size_t used, size_t limit) {
    return used + n > limit ? used + n - limit : 0;
  };
  size_t missing = beyond(used_, is_small ? limit_ : limit_for_large_);
  if (use == MemoryUse::kCallerRequests) {
    missing = std::max(
        missing, beyond(used_by_callers_,
                        is_small ? caller_limit_ : caller_limit_for_large_));
  }
  return missing;
}

bool MemoryBudget::AddWhenLow(MemoryUse use, size_t held, size_t n) {
  size_t missing = Missing(use, held, n);
  if (missing > 0 && on_shortage_ && !is_in_shortage_) {
    // What the handler writes may need memory itself.
    is_in_shortage_ = true;
    on_shortage_(use, missing);
    is_in_shortage_ = false;
    missing = Missing(use, held, n);
  }
  if (missing > 0) {
    return false;
  }
  used_ += n;
  used_by_callers_ += use == MemoryUse::kCallerRequests ? n : 0;
  return true;
}

}  // namespace basilvalve::net
