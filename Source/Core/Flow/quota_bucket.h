// The token bucket that one instance keeps for a limit over all instances.
#pragma once

#include "Core/Common/clock.h"
#include "Core/Flow/workspace.h"

namespace basilvalve::flow {

/// Estimates the level of the bucket that all instances share, and the share of
/// calls to admit so that all of them together keep to the limit. Own use is
/// charged immediately, that of others by their reports. Until a report
/// arrives, the others are taken to see their usual demand, multiplied by the
/// surge seen so far, and to admit the same share of it as this instance. Not
/// thread safe.
class QuotaBucket {
 public:
  /// Another instance's part in the estimate. Owned by the caller.
  struct Peer {
    /// Usual demand, units per second.
    double demand = 0;
    Instant reported_at;
    /// Value of the integral of assumed use at the last report.
    double integral_at_report = 0;
    /// Since when its demand is known; the mean covers no longer time.
    Instant known_since;
  };

  /// Starts at half of the burst.
  QuotaBucket(double rate, double burst, Instant now);

  /// Sets the limit. A lower burst lowers the level in proportion; a higher one
  /// has yet to be filled.
  void SetLimit(double rate, double burst, Instant now);
  /// Share of calls to admit now, in [0, 1].
  double AdmittedShare(Instant now);
  /// Charges an own call that was admitted, or counts one that was refused.
  void OnOwnCall(double units, bool is_admitted, Instant now);
  /// Charges use that is not an own call.
  void Charge(double units, Instant now);
  /// Takes back the charge of an own call.
  void Refund(double units, Instant now);
  /// Begins to count a peer that has had no demand from `known_since` to its
  /// last report.
  void AddPeer(Peer* peer, Instant known_since, Instant reported_at,
               Instant now);
  /// Replaces the assumed use of a peer by its reported one.
  void OnReport(Peer* peer, double admitted, double offered, Instant now);
  /// Ends the assumption that the peer uses anything.
  void RemovePeer(const Peer& peer, Instant now);
  /// Estimated level; negative if more than the burst was used.
  double Level(Instant now);
  /// Time until a call should be sent again.
  Micros RetryAfter(Instant now);

 private:
  void Advance(Instant now);
  void Step(double seconds);
  /// Units that are added to both recent ones, against noise.
  double SurgePrior() const;
  /// Recent demand relative to the usual one.
  double Surge() const;
  double Share() const;

  double rate_;
  double burst_;
  double level_;
  Instant started_at_;
  Instant advanced_at_;
  /// Usual demand at this instance and, in sum, at the others.
  double own_demand_ = 0;
  double peer_demand_ = 0;
  /// Integral over time of the share of usual demand that is assumed admitted.
  double integral_ = 0;
  /// Recently offered units, and those that were expected instead.
  double recent_offered_ = 0;
  double recent_expected_ = 0;
  /// Mean size of a call and of its square: the noise of the two.
  double mean_units_ = 0;
  double mean_square_ = 0;
};

}  // namespace basilvalve::flow
