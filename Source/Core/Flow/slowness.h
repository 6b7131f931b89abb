// How much longer work takes on an upstream's machine than usual.
#pragma once

#include <optional>

#include "Core/Common/clock.h"

namespace basilvalve::flow {

/// Follows the slowness that an upstream reports with its responses, which
/// changes many times a second. A report counts in full for a short time, then
/// the value approaches the mean of all reports. Not thread safe.
class Slowness {
 public:
  /// Bounds of the values that are used.
  static constexpr double kMin = 0.1;
  static constexpr double kMax = 20;

  /// Records a report: 1 is the usual speed, 2 takes twice as long. Values
  /// beyond the bounds count as the bounds.
  void OnReport(double slowness, Instant now);
  /// The expected slowness at the time, within the bounds; 1 if there was no
  /// report, or none for a long time.
  double At(Instant now) const;
  /// Whether the upstream reported its slowness at all.
  bool is_reported() const { return mean_.has_value(); }

 private:
  std::optional<double> mean_;
  double latest_ = 1;
  Instant at_;
};

}  // namespace basilvalve::flow
