#include "Core/Edge/catalog_codec.h"

#include <array>
#include <cstring>

namespace basilvalve::edge {
namespace {

// Distinguishes these datagrams from heartbeats, which are MessagePack arrays.
constexpr std::string_view kMagic = "BVC2";

void AppendNumber(uint64_t value, std::string* out) {
  std::array<char, sizeof(value)> bytes{};
  std::memcpy(bytes.data(), &value, sizeof(value));
  out->append(bytes.data(), bytes.size());
}

uint64_t ReadNumber(std::string_view bytes) {
  uint64_t value = 0;
  std::memcpy(&value, bytes.data(), sizeof(value));
  return value;
}

}  // namespace

bool IsCatalogDatagram(std::string_view bytes) {
  return bytes.starts_with(kMagic);
}

std::string EncodeCatalogChanges(const CatalogChanges& changes) {
  std::string out(kMagic);
  AppendNumber(changes.range.after, &out);
  AppendNumber(changes.range.last, &out);
  AppendNumber(changes.range.era.value(), &out);
  return out.append(changes.changes);
}

std::optional<CatalogChanges> DecodeCatalogChanges(std::string_view bytes) {
  constexpr size_t kHeaderBytes = kMagic.size() + 3 * sizeof(uint64_t);
  if (!IsCatalogDatagram(bytes) || bytes.size() < kHeaderBytes) {
    return std::nullopt;
  }
  CatalogChanges changes;
  changes.range.after = ReadNumber(bytes.substr(kMagic.size()));
  changes.range.last =
      ReadNumber(bytes.substr(kMagic.size() + sizeof(uint64_t)));
  changes.range.era = flow::CatalogEra(
      ReadNumber(bytes.substr(kMagic.size() + 2 * sizeof(uint64_t))));
  if (changes.range.last < changes.range.after) {
    return std::nullopt;
  }
  changes.changes = bytes.substr(kHeaderBytes);
  return changes;
}

}  // namespace basilvalve::edge
