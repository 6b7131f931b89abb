// Last known state of the other regions.
#pragma once

#include <map>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Membership/control_message.h"

namespace basilvalve::membership {

/// Latest summary of a region.
struct RegionView {
  RegionSummary summary;
  Instant last_heard;
  /// When summaries of the region resumed after it had become stale; zero if it
  /// never became stale.
  Instant reconnected_at;
};

/// Stores the newest summary of each region. Not thread safe.
class RegionTable {
 public:
  /// A region without a new summary for `stale_after` counts as unreachable.
  explicit RegionTable(Millis stale_after) : stale_after_(stale_after) {}

  /// Sets the time without a new summary after which a region counts as
  /// unreachable.
  void SetStaleAfter(Millis stale_after) { stale_after_ = stale_after; }
  /// Stores a summary unless one with the same or a higher sequence number was
  /// received from the same sender.
  void UpdateSummary(const RegionSummary& summary, const InstanceId& sender,
                     Instant now);
  /// Regions whose latest summary is not stale.
  std::vector<RegionView> Reachable(Instant now) const;
  /// All regions that ever sent a summary, including unreachable ones.
  std::vector<RegionView> All() const;

 private:
  struct Entry {
    RegionView view;
    std::map<InstanceId, uint64_t> sequences;
  };

  Millis stale_after_;
  std::map<RegionId, Entry> regions_;
};

}  // namespace basilvalve::membership
