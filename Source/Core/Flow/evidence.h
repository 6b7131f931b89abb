// How well a learned mean is confirmed.
#pragma once

#include <cstdint>

#include "Core/Common/clock.h"

namespace basilvalve::flow {

/// Tells how much a learned mean counts. Calls that are refused because of a
/// mean measure nothing, so an old mean counts less and less, until a call is
/// let through on trial and measures anew. Takes the time as an argument. Not
/// thread safe.
class Evidence {
 public:
  /// Records a measurement and returns its weight in the mean, at least
  /// `min_weight`. `replaces_mean`: the mean is old and worse than the
  /// measurement; the next ones are averaged with it.
  double OnSample(bool replaces_mean, double min_weight, Instant now);
  /// Records that a call was let through although the mean, if true, speaks
  /// against it. Until it has measured, the mean counts in full.
  void OnTrial(Instant now) { trial_at_ = now; }
  /// Whether there was a measurement recently.
  bool IsRecent(Instant now) const;
  /// How much the mean counts now, in [0, 1]; 1 if it is recent. Without any
  /// measurement, its age counts from the first call of this function.
  double ConfidenceAt(Instant now);

 private:
  // More than the inverse of any weight.
  static constexpr uint32_t kManySamples = 1000;

  Instant measured_at_;
  Instant trial_at_;
  // Since the mean was replaced.
  uint32_t samples_ = kManySamples;
};

}  // namespace basilvalve::flow
