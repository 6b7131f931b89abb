// Whether a desired state is recent enough to identify callers by it.
#pragma once

#include <optional>

#include "Core/Common/clock.h"

namespace basilvalve::flow {

/// Share of the time limit of a revocation for which a confirmation counts. The
/// rest covers what a confirmation may be too late by: the wait of a watch that
/// the store ended early, and a datagram that waited in the socket.
inline constexpr double kRevocationShare = 0.8;

/// Knows until when the desired state was certainly the newest one. Without a
/// time limit for revocations, every desired state is fresh. Pure: takes the
/// time as an argument. Not thread safe.
class StateFreshness {
 public:
  /// `revocation_limit`: time after which a key that the newest desired state
  /// lacks must not be accepted any more; nullopt: no limit.
  explicit StateFreshness(std::optional<Millis> revocation_limit);

  bool has_limit() const { return max_age_.has_value(); }
  /// Records that the desired state was the newest one at `known_at`, which
  /// may be earlier than what was recorded before.
  void OnConfirmed(Instant known_at);
  /// Whether the desired state may identify callers.
  bool IsFresh(Instant now) const;
  /// Time since the desired state was known to be the newest one; nullopt if
  /// it never was.
  std::optional<Micros> Age(Instant now) const;

 private:
  std::optional<Micros> max_age_;
  std::optional<Instant> known_at_;
};

}  // namespace basilvalve::flow
