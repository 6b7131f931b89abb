// Cumulative counters that instances exchange in heartbeats, for limits that
// hold over all instances together.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::flow {

/// Identifies what a row counts: a hash of its name.
using UseKey = StrongNumber<struct UseKeyTag>;

/// The key of a workspace's row: 32 bits, so that rows stay small. Thread safe.
UseKey UseKeyOf(const WorkspaceId& workspace);

/// What an instance has admitted and been offered of one key since its row
/// appeared. Both only grow while the row is in every report; a row that was
/// left out of a report starts again at zero.
struct UseRow {
  UseKey key;
  uint64_t admitted = 0;
  uint64_t offered = 0;

  bool operator==(const UseRow&) const = default;
};

/// Own use in the form of cumulative rows. Not thread safe.
class UseCounters {
 public:
  /// Most rows of a report; bounds the size of a datagram.
  static constexpr size_t kMaxRows = 64;

  /// Counts `offered` units, of which `admitted` were admitted.
  void Add(UseKey key, uint64_t admitted, uint64_t offered, Instant now);
  /// Takes back admitted units. Offset against later ones, so that the rows
  /// never shrink.
  void Refund(UseKey key, uint64_t units);
  /// The rows of the next report: keys with use in the last 10 s, those with
  /// the most units offered recently first.
  std::vector<UseRow> Report(Instant now);

 private:
  struct Counter {
    UseRow row;
    uint64_t unsettled_refund = 0;
    /// Offered units, decayed; as of `last_used_at`.
    double recent = 0;
    Instant last_used_at;
  };

  static double RecentUse(const Counter& counter, Instant now);

  std::map<UseKey, Counter> counters_;
};

/// The use of another instance since its previous report.
struct UseIncrease {
  double admitted = 0;
  double offered = 0;
};

/// Reads the reports of one other instance. Not thread safe.
class UseReader {
 public:
  /// The increase by key since the last report. With `is_baseline`, the rows
  /// only serve as the start of later differences.
  std::map<UseKey, UseIncrease> Read(uint64_t incarnation,
                                     const std::vector<UseRow>& rows,
                                     bool is_baseline);

 private:
  uint64_t incarnation_ = 0;
  std::map<UseKey, UseRow> last_rows_;
};

}  // namespace basilvalve::flow
