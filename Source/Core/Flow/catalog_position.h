// Positions in the history of the platform's catalog.
#pragma once

#include <compare>
#include <cstdint>

#include "Core/Common/strong_id.h"

namespace basilvalve::flow {

/// Counts the histories of the catalog: a catalog that is restored from an
/// older copy begins a new one. 0 if the store does not tell.
using CatalogEra = StrongNumber<struct CatalogEraTag>;

/// A revision counts only within its era, since revisions are given out again
/// after a restore. A position of a later era is later, whatever the revisions.
struct CatalogPosition {
  CatalogEra era;
  /// 0: nothing was read in this era.
  uint64_t revision = 0;

  auto operator<=>(const CatalogPosition&) const = default;
};

/// Changes of one era after the revision `after` and up to `last`.
struct RevisionRange {
  uint64_t after = 0;
  uint64_t last = 0;
  CatalogEra era;

  CatalogPosition end() const { return {era, last}; }
};

}  // namespace basilvalve::flow
