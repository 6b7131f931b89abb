#include "Core/Flow/use_counters.h"

#include <algorithm>

#include "Core/Common/hash.h"

namespace basilvalve::flow {
namespace {

// A key without use for this long is left out of reports.
constexpr Seconds kRowRetention{10};

}  // namespace

UseKey UseKeyOf(const WorkspaceId& workspace) {
  return UseKey(Hash64(workspace.value()) >> 32);
}

void UseCounters::Add(UseKey key, uint64_t admitted, uint64_t offered,
                      Instant now) {
  Counter& counter = counters_[key];
  counter.row.key = key;
  uint64_t settled = std::min(admitted, counter.unsettled_refund);
  counter.unsettled_refund -= settled;
  counter.row.admitted += admitted - settled;
  counter.row.offered += offered;
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
  std::vector<UseRow> rows;
  for (const auto& [key, counter] : counters_) {
    rows.push_back(counter.row);
  }
  std::stable_sort(rows.begin(), rows.end(),
                   [](const UseRow& left, const UseRow& right) {
                     return left.offered > right.offered;
                   });
  while (rows.size() > kMaxRows) {
    // Receivers forget a row that is left out, so it has to start at zero.
    UseRow& row = counters_.at(rows.back().key).row;
    row.admitted = row.offered = 0;
    rows.pop_back();
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
