#include "Core/Flow/state_freshness.h"

#include <algorithm>

namespace basilvalve::flow {

StateFreshness::StateFreshness(std::optional<Millis> revocation_limit) {
  if (revocation_limit) {
    max_age_ = Micros(static_cast<int64_t>(
        kRevocationShare *
        static_cast<double>(Micros(*revocation_limit).count())));
  }
}

void StateFreshness::OnConfirmed(Instant known_at) {
  known_at_ = std::max(known_at_.value_or(known_at), known_at);
}

bool StateFreshness::IsFresh(Instant now) const {
  return !max_age_ || (known_at_ && now - *known_at_ < *max_age_);
}

std::optional<Micros> StateFreshness::Age(Instant now) const {
  return known_at_ ? std::optional(now - *known_at_) : std::nullopt;
}

}  // namespace basilvalve::flow
