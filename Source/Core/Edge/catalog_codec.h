// Codec of the datagrams in which readers of the platform's catalog pass its
// changes on to their region.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Core/Flow/catalog_follower.h"

namespace basilvalve::edge {

/// Consecutive changes of the catalog, in the platform adapter's encoding.
struct CatalogChanges {
  flow::RevisionRange range;
  std::string changes;
};

/// Whether the datagram is one of catalog changes. Thread safe.
bool IsCatalogDatagram(std::string_view bytes);
/// Thread safe.
std::string EncodeCatalogChanges(const CatalogChanges& changes);
/// nullopt if the datagram is malformed. Thread safe.
std::optional<CatalogChanges> DecodeCatalogChanges(std::string_view bytes);

}  // namespace basilvalve::edge
