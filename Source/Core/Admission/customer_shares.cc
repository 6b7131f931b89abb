#include "Core/Admission/customer_shares.h"

#include <algorithm>

namespace basilvalve::admission {
namespace {

constexpr int64_t kPercent = 100;

}  // namespace

Result<void> CustomerShares::Enter(const CustomerId& customer,
                                   int64_t own_limit) {
  std::lock_guard lock(mutex_);
  if (total_ >= settings_.capacity) {
    return Fail(ResultCode::kOverloaded, "the instance is full");
  }
  auto it = in_flight_.find(customer);
  int64_t held = it == in_flight_.end() ? 0 : it->second;
  if (own_limit > 0 && held >= own_limit) {
    return Fail(ResultCode::kCustomerLimit,
                "the document's concurrency limit is reached");
  }
  auto active = static_cast<int64_t>(in_flight_.size()) + (held == 0 ? 1 : 0);
  double used =
      static_cast<double>(total_) / static_cast<double>(settings_.capacity);
  // One place is kept for a customer that is not here yet, so that it can come
  // in.
  int64_t fair_share = std::max<int64_t>(1, settings_.capacity / (active + 1));
  if (used >= settings_.fair_above && held >= fair_share) {
    return Fail(ResultCode::kCustomerLimit,
                "the customer holds its fair share already");
  }
  ++in_flight_[customer];
  ++total_;
  return {};
}

void CustomerShares::Leave(const CustomerId& customer) {
  std::lock_guard lock(mutex_);
  auto it = in_flight_.find(customer);
  if (it == in_flight_.end()) {
    return;
  }
  --total_;
  if (--it->second == 0) {
    in_flight_.erase(it);
  }
}

int64_t CustomerShares::InFlight() const {
  std::lock_guard lock(mutex_);
  return total_;
}

uint8_t CustomerShares::LoadPercent() const {
  std::lock_guard lock(mutex_);
  return static_cast<uint8_t>(
      std::min(kPercent, total_ * kPercent / settings_.capacity));
}

}  // namespace basilvalve::admission
