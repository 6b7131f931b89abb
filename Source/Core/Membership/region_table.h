// What this instance knows of the other regions.
#pragma once

#include <map>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Membership/control_message.h"

namespace basilvalve::membership {

/// A region as last heard of.
struct RegionView {
  RegionSummary summary;
  Instant last_heard;
  /// When the region was heard again after it had been cut off; zero if it
  /// never was.
  Instant reconnected_at;
};

/// Keeps the newest summary of each region. Not thread safe.
class RegionTable {
 public:
  /// A region not heard of for `stale` counts as cut off.
  explicit RegionTable(Millis stale) : stale_(stale) {}

  /// Changes the silence after which a region counts as cut off.
  void SetStaleAfter(Millis stale) { stale_ = stale; }
  /// Takes a summary unless a newer one of the same speaker was taken.
  void UpdateSummary(const RegionSummary& summary, const InstanceId& speaker,
                     Instant now);
  /// Regions heard of recently enough.
  std::vector<RegionView> Reachable(Instant now) const;
  /// All regions ever heard of, cut off or not.
  std::vector<RegionView> All() const;

 private:
  struct Entry {
    RegionView view;
    std::map<InstanceId, uint64_t> sequences;
  };

  Millis stale_;
  std::map<RegionId, Entry> regions_;
};

}  // namespace basilvalve::membership
