// Limit on the bytes that all connections of a process buffer together.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace basilvalve::net {

/// What the bytes of a reservation belong to.
enum class MemoryUse {
  /// Requests of callers, which may take a share of the budget only.
  kCallerRequests,
  /// Everything else: responses, and data from upstreams and peer instances.
  kOther,
};

/// Counts the bytes of reservations and refuses those beyond the limit. Its
/// reservations share the ownership of it. Not thread safe.
class MemoryBudget {
 public:
  using Ptr = std::shared_ptr<MemoryBudget>;

  explicit MemoryBudget(size_t limit);

  /// Calls `fn` with the use and the missing bytes when a reservation does not
  /// fit, before it is refused. `fn` may free reservations. Not thread safe.
  void SetShortageHandler(std::function<void(MemoryUse, size_t missing)> fn) {
    on_shortage_ = std::move(fn);
  }
  /// Not thread safe.
  size_t limit() const { return limit_; }
  /// Bytes that a single request of a caller may take. Not thread safe.
  size_t largest_request() const { return caller_limit_for_large_; }
  /// Bytes reserved for all uses together. Not thread safe.
  size_t used() const { return used_; }
  /// Not thread safe.
  size_t used_by_callers() const { return used_by_callers_; }

 private:
  friend class MemoryReservation;

  bool Add(MemoryUse use, size_t held, size_t n) {
    bool is_for_caller = use == MemoryUse::kCallerRequests;
    if (used_ + n > limit_for_large_ ||
        (is_for_caller && used_by_callers_ + n > caller_limit_for_large_)) {
      return AddWhenLow(use, held, n);
    }
    used_ += n;
    used_by_callers_ += is_for_caller ? n : 0;
    return true;
  }
  void Remove(MemoryUse use, size_t n) {
    used_ -= n;
    used_by_callers_ -= use == MemoryUse::kCallerRequests ? n : 0;
  }
  bool AddWhenLow(MemoryUse use, size_t held, size_t n);
  /// Bytes that have to be freed for `n` more.
  size_t Missing(MemoryUse use, size_t held, size_t n) const;

  size_t limit_;
  size_t caller_limit_;
  // The rest is kept for small reservations, so that ordinary calls are served
  // while large ones use up the budget.
  size_t limit_for_large_;
  size_t caller_limit_for_large_;
  size_t used_ = 0;
  size_t used_by_callers_ = 0;
  std::function<void(MemoryUse, size_t)> on_shortage_;
  bool is_in_shortage_ = false;
};

/// Bytes taken from a budget, given back on destruction. Without a budget it
/// holds any size. Not thread safe.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  explicit MemoryReservation(MemoryBudget::Ptr budget,
                             MemoryUse use = MemoryUse::kOther)
      : budget_(std::move(budget)), use_(use) {}
  ~MemoryReservation() { Release(); }
  MemoryReservation(MemoryReservation&& other) noexcept
      : MemoryReservation(other.budget_, other.use_) {
    bytes_ = std::exchange(other.bytes_, 0);
  }
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    if (this != &other) {
      Release();
      budget_ = other.budget_;
      use_ = other.use_;
      bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
  }

  /// Changes the size to `bytes`. Returns false, with the size as it was, if
  /// the budget has no room; a smaller size always fits. Not thread safe.
  [[nodiscard]] bool TryResize(size_t bytes) {
    if (budget_ == nullptr || bytes == bytes_) {
      return true;
    }
    if (bytes < bytes_) {
      budget_->Remove(use_, bytes_ - bytes);
      bytes_ = bytes;
      return true;
    }
    size_t n = bytes - bytes_;
    if (!budget_->Add(use_, bytes_, n)) {
      return false;
    }
    // The shortage handler may have released this reservation meanwhile.
    bytes_ += n;
    return true;
  }
  /// Gives all bytes back. Not thread safe.
  void Release() {
    if (bytes_ > 0) {
      budget_->Remove(use_, std::exchange(bytes_, 0));
    }
  }
  /// Not thread safe.
  size_t bytes() const { return bytes_; }

 private:
  MemoryBudget::Ptr budget_;
  MemoryUse use_ = MemoryUse::kOther;
  size_t bytes_ = 0;
};

}  // namespace basilvalve::net
