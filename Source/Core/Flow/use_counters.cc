#include "Core/Flow/use_counters.h"

#include <algorithm>
#include <cmath>

#include "Core/Common/hash.h"

namespace basilvalve::flow {
namespace {

// A key without use for this long is left out of reports.
constexpr Seconds kRowRetention{10};
// Time constant of the use by which rows are chosen if there are too many.
constexpr double kRecentSeconds = 4;

}  // namespace

UseKey UseKeyOf(const WorkspaceId& workspace) {
  return UseKey(Hash64(workspace.value()) >> 32);
}

double UseCounters::RecentUse(const Counter& counter, Instant now) {
  double seconds =
      static_cast<double>((now - counter.last_used_at).count()) / 1e6;
  return counter.recent * std::exp(-seconds / kRecentSeconds);
}

void UseCounters::Add(UseKey key, uint64_t admitted, uint64_t offered,
                      Instant now) {
  Counter& counter = counters_[key];
  counter.row.key = key;
  uint64_t settled = std::min(admitted, counter.unsettled_refund);
  counter.unsettled_refund -= settled;
  counter.row.admitted += admitted - settled;
  counter.row.offered += offered;
  counter.recent = RecentUse(counter, now) + static_cast<double>(offered);
  counter.last_used_at = now;
}

void UseCounters::Refund(UseKey key, uint64_t units) {
  auto it = counters_.find(key);
  if (it != counters_.end()) {
    it->second.unsettled_refund += units;
  }
}

std::vector<UseRow> UseCounters::Report(Instant now) {
  std::erase_if(counters_, [&](const auto& entry) {
    return now - entry.second.last_used_at > kRowRetention;
  });
  std::vector<Counter*> counters;
  for (auto& [key, counter] : counters_) {
    counters.push_back(&counter);
  }
  std::stable_sort(counters.begin(), counters.end(),
                   [&](const Counter* left, const Counter* right) {
                     return RecentUse(*left, now) > RecentUse(*right, now);
                   });
  std::vector<UseRow> rows;
  for (Counter* counter : counters) {
    if (rows.size() < kMaxRows) {
      rows.push_back(counter->row);
    } else {
      // Receivers forget a row that is left out, so it has to start at zero.
      counter->row.admitted = counter->row.offered = 0;
    }
  }
  return rows;
}

std::map<UseKey, UseIncrease> UseReader::Read(uint64_t incarnation,
                                              const std::vector<UseRow>& rows,
                                              bool is_baseline) {
  if (incarnation != incarnation_) {
    last_rows_.clear();
    incarnation_ = incarnation;
  }
  std::map<UseKey, UseIncrease> increases;
  std::map<UseKey, UseRow> read;
  for (const UseRow& row : rows) {
    UseRow last;
    if (auto it = last_rows_.find(row.key); it != last_rows_.end()) {
      last = it->second;
    }
    if (row.admitted < last.admitted || row.offered < last.offered) {
      // The row was left out of reports that did not arrive.
      last = UseRow();
    }
    read[row.key] = row;
    if (!is_baseline) {
      increases[row.key] = {static_cast<double>(row.admitted - last.admitted),
                            static_cast<double>(row.offered - last.offered)};
    }
  }
  last_rows_ = std::move(read);
  return increases;
}

}  // namespace basilvalve::flow
