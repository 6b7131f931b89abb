// Limits on what the connections of a process take.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

#include "Core/Net/machine_limits.h"
#include "Core/Net/memory_budget.h"

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

/// What the connections of a process may take together; no limit where a
/// pointer is nullptr.
struct ConnectionBudgets {
  MemoryBudget::Ptr memory;
  ConnectionBudget::Ptr connections;

  /// Budgets of this size. Thread safe.
  static ConnectionBudgets Create(const ResourceShare& share) {
    return {std::make_shared<MemoryBudget>(share.buffer_bytes),
            std::make_shared<ConnectionBudget>(share.connections)};
  }
};

}  // namespace basilvalve::net
