#include "Core/Membership/region_table.h"

namespace basilvalve::membership {
namespace {

// The sender of a region's summaries changes with its membership, so the
// sequence numbers of former senders are discarded at this limit.
constexpr size_t kMaxTrackedSenders = 16;

}  // namespace

void RegionTable::UpdateSummary(const RegionSummary& summary,
                                const InstanceId& sender, Instant now) {
  Entry& entry = regions_[summary.region];
  if (!entry.sequences.contains(sender) &&
      entry.sequences.size() >= kMaxTrackedSenders) {
    entry.sequences.clear();
  }
  uint64_t& last = entry.sequences[sender];
  if (summary.sequence <= last) {
    return;
  }
  last = summary.sequence;
  bool was_known = entry.view.last_heard != Instant();
  if (was_known && now - entry.view.last_heard > stale_after_) {
    entry.view.reconnected_at = now;
  }
  entry.view.summary = summary;
  entry.view.last_heard = now;
}

std::vector<RegionView> RegionTable::Reachable(Instant now) const {
  std::vector<RegionView> views;
  for (const auto& [region, entry] : regions_) {
    if (now - entry.view.last_heard <= stale_after_) {
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
