#include "Core/Membership/region_table.h"

namespace basilvalve::membership {
namespace {

// Speakers change with the membership; the numbers of old ones are not kept for
// ever.
constexpr size_t kMaxSpeakers = 16;

}  // namespace

void RegionTable::UpdateSummary(const RegionSummary& summary,
                                const InstanceId& speaker, Instant now) {
  Entry& entry = regions_[summary.region];
  if (!entry.sequences.contains(speaker) &&
      entry.sequences.size() >= kMaxSpeakers) {
    entry.sequences.clear();
  }
  uint64_t& last = entry.sequences[speaker];
  if (summary.sequence <= last) {
    return;
  }
  last = summary.sequence;
  bool was_known = entry.view.last_heard != Instant();
  if (was_known && now - entry.view.last_heard > stale_) {
    entry.view.reconnected_at = now;
  }
  entry.view.summary = summary;
  entry.view.last_heard = now;
}

std::vector<RegionView> RegionTable::Reachable(Instant now) const {
  std::vector<RegionView> views;
  for (const auto& [region, entry] : regions_) {
    if (now - entry.view.last_heard <= stale_) {
      views.push_back(entry.view);
    }
  }
  return views;
}

std::vector<RegionView> RegionTable::All() const {
  std::vector<RegionView> views;
  for (const auto& [region, entry] : regions_) {
    views.push_back(entry.view);
  }
  return views;
}

}  // namespace basilvalve::membership
