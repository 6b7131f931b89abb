// When a call that has no response yet is sent to a second upstream.
#pragma once

#include <array>
#include <map>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::flow {

/// Learns the times to the first byte of each service, and derives from them
/// how long a call waits before it is hedged. Old times lose weight as new ones
/// arrive. Not thread safe.
class HedgeDelay {
 public:
  /// Records that the first attempt of a call got its first byte after `took`,
  /// or was given up then for a faster one. Both count: without the latter, the
  /// quantile would leave out the slowest attempts, and fall with each hedge
  /// that wins.
  void OnFirstByte(const ServiceName& service, Micros took);
  /// The 0.95 quantile of the service, at least 0.3 and at most 0.8 of the
  /// target; the latter while few times are known. Thread safe for concurrent
  /// readers.
  Micros DelayFor(const ServiceName& service, Millis target) const;

 private:
  // Upper bounds grow by a factor of 2^(1/4), from 1 ms to 55 s.
  static constexpr size_t kBuckets = 64;
  struct Histogram {
    std::array<double, kBuckets> counts{};
    double total = 0;
  };

  std::map<ServiceName, Histogram> by_service_;
};

}  // namespace basilvalve::flow
