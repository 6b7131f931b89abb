// Limit on the connections that a process has open.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace basilvalve::net {

/// Counts open connections. Its slots share the ownership of it. Not thread
/// safe.
class ConnectionBudget {
 public:
  using Ptr = std::shared_ptr<ConnectionBudget>;

  explicit ConnectionBudget(size_t limit) : limit_(limit) {}
  /// Not thread safe.
  size_t limit() const { return limit_; }
  /// Not thread safe.
  size_t used() const { return used_; }
  /// Not thread safe.
  bool has_room() const { return used_ < limit_; }

 private:
  friend class ConnectionSlot;
  size_t limit_;
  size_t used_ = 0;
};

/// The place of one connection in a budget, given back on destruction. Not
/// thread safe.
class ConnectionSlot {
 public:
  /// A slot of no budget.
  ConnectionSlot() = default;
  /// Pre: the budget has room, or is nullptr.
  explicit ConnectionSlot(ConnectionBudget::Ptr budget)
      : budget_(std::move(budget)) {
    if (budget_ != nullptr) {
      ++budget_->used_;
    }
  }
  ~ConnectionSlot() { Release(); }
  ConnectionSlot(ConnectionSlot&& other) noexcept = default;
  ConnectionSlot& operator=(ConnectionSlot&& other) noexcept {
    std::swap(budget_, other.budget_);
    return *this;
  }

  /// Gives the place back. Not thread safe.
  void Release() {
    if (budget_ != nullptr) {
      --budget_->used_;
      budget_ = nullptr;
    }
  }

 private:
  ConnectionBudget::Ptr budget_;
};

}  // namespace basilvalve::net
