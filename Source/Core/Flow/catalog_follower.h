// Follows the platform's catalog through the instances that read it.
#pragma once

#include <optional>

#include "Core/Common/clock.h"
#include "Core/Flow/catalog_position.h"

namespace basilvalve::flow {

/// What an instance does with a range of changes that a reader passed on.
enum class CatalogAction {
  /// All of it is known.
  kIgnore,
  kApply,
  /// Earlier changes are missing, or all of a later era.
  kReadMissing,
};

/// Decides when an instance that relies on a reader of the catalog has to read
/// it itself: when changes are missing, or when no reader has confirmed for too
/// long that there are none. Holds the age of the data, not the data. Not
/// thread safe.
class CatalogFollower {
 public:
  /// `max_age`: how old the latest confirmation may become. `max_lag`: how long
  /// a known revision may be missing, since datagrams may overtake each other.
  CatalogFollower(Micros max_age, Micros max_lag)
      : max_age_(max_age), max_lag_(max_lag) {}

  /// Records that a reader, or this instance, found no changes after `position`
  /// at `at`. Ignored if an era later than the position's is known.
  void OnConfirmed(const CatalogPosition& position, Instant at);
  /// What to do with a range of changes. `own` is the position that this
  /// instance has applied.
  CatalogAction OnChanges(const RevisionRange& range,
                          const CatalogPosition& own) const;
  /// Whether this instance has to read for itself now.
  bool NeedsRead(const CatalogPosition& own, Instant now);
  /// The latest era that was confirmed.
  CatalogEra era() const { return confirmed_.era; }

 private:
  Micros max_age_;
  Micros max_lag_;
  CatalogPosition confirmed_;
  std::optional<Instant> confirmed_at_;
  std::optional<Instant> behind_since_;
};

}  // namespace basilvalve::flow
