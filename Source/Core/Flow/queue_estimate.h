// Expected number of plain calls at an upstream, from its reports.
#pragma once

#include <optional>

#include "Core/Common/clock.h"

namespace basilvalve::flow {

/// Plain calls take some milliseconds, so that the loads in other instances'
/// heartbeats are over when they arrive. The upstream's own report is newer,
/// but its queue goes on while other calls arrive; the estimate therefore
/// approaches the mean of the reports instead of zero. Not thread safe.
class QueueEstimate {
 public:
  /// Records a report of the calls that run or wait there.
  void OnReport(double calls, Instant now);
  /// The expected number of calls; nullopt without a recent report.
  std::optional<double> At(Instant now) const;

 private:
  double mean_ = 0;
  double latest_ = 0;
  std::optional<Instant> at_;
};

}  // namespace basilvalve::flow
