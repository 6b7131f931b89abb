// Learned time that an upstream works on one plain call.
#pragma once

#include <cstdint>

#include "Core/Common/clock.h"

namespace basilvalve::flow {

/// Moving average of measured service times. A high value that is not
/// confirmed returns to the usual one, since an upstream that looks slow gets
/// no calls that could show otherwise. Not thread safe.
class ServiceTime {
 public:
  /// `weight`: share of one measurement in the average, in (0, 1].
  explicit ServiceTime(double weight) : weight_(weight) {}

  /// Records a measured time without queueing, in microseconds. `usual_us` as
  /// for At.
  void Learn(double us, double usual_us, Instant now);
  /// The expected time in microseconds; `usual_us` is what is expected without
  /// measurements.
  double At(double usual_us, Instant now) const;
  /// Whether there are enough measurements to refuse calls because of them.
  bool is_reliable() const;

 private:
  double weight_;
  double us_ = 0;
  uint32_t samples_ = 0;
  Instant at_;
};

}  // namespace basilvalve::flow
