#include "Core/Flow/catalog_follower.h"

#include <algorithm>

namespace basilvalve::flow {

void CatalogFollower::OnConfirmed(const CatalogPosition& position, Instant at) {
  if (position.era < confirmed_.era) {
    return;
  }
  confirmed_ = std::max(confirmed_, position);
  confirmed_at_ = std::max(confirmed_at_.value_or(at), at);
}

CatalogAction CatalogFollower::OnChanges(const RevisionRange& range,
                                         const CatalogPosition& own) const {
  if (range.end() <= own) {
    return CatalogAction::kIgnore;
  }
  bool connects = range.era == own.era && range.after <= own.revision;
  return connects ? CatalogAction::kApply : CatalogAction::kReadMissing;
}

bool CatalogFollower::NeedsRead(const CatalogPosition& own, Instant now) {
  if (!confirmed_at_ || now - *confirmed_at_ > max_age_) {
    return true;
  }
  if (own >= confirmed_) {
    behind_since_.reset();
    return false;
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  return now - *behind_since_ > max_lag_;
}

}  // namespace basilvalve::flow
