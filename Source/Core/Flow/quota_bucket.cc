#include "Core/Flow/quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace basilvalve::flow {
namespace {

// Below this share of the burst, calls are admitted by probability.
constexpr double kGuardShare = 0.5;
// Admission at the guard level, as a multiple of the rate.
constexpr double kMaxAdmission = 2;
// Memory of usual demand, and of the surge against it.
constexpr double kDemandSeconds = 4;
constexpr double kSurgeSeconds = 0.35;
constexpr double kMinSurge = 0.5;
constexpr double kMaxSurge = 16;
// Calls as expected that are added to the recent ones, so that a few large
// calls do not count as a surge.
constexpr double kSurgePriorCalls = 3;
// A debt is limited, since use that is longer ago does not matter any more.
constexpr double kMaxDebtSeconds = 4;
constexpr double kMaxStep = 0.05;
constexpr double kMaxSteps = 100;
constexpr double kMeanSizeWeight = 1.0 / 16;
constexpr Millis kMinRetryAfter{300};

double InSeconds(Micros time) {
  return static_cast<double>(time.count()) / 1e6;
}

// Weight of the latest `seconds` in a mean over kDemandSeconds, or over all of
// the time since the start if that is shorter.
double MeanWeight(double seconds, double since_start) {
  return std::min(1.0, std::max(1 - std::exp(-seconds / kDemandSeconds),
                                seconds / std::max(since_start, 1e-3)));
}

}  // namespace

QuotaBucket::QuotaBucket(double rate, double burst, Instant now)
    : rate_(rate),
      burst_(burst),
      level_(burst / 2),
      started_at_(now),
      advanced_at_(now) {}

void QuotaBucket::SetLimit(double rate, double burst, Instant now) {
  Advance(now);
  if (burst < burst_) {
    level_ *= burst / burst_;
  }
  rate_ = rate;
  burst_ = burst;
}

double QuotaBucket::SurgePrior() const {
  return mean_units_ > 0 ? kSurgePriorCalls * mean_square_ / mean_units_ : 1;
}

double QuotaBucket::Surge() const {
  double prior = SurgePrior();
  return std::clamp((recent_offered_ + prior) / (recent_expected_ + prior),
                    kMinSurge, kMaxSurge);
}

double QuotaBucket::Share() const {
  double guard = kGuardShare * burst_;
  if (level_ >= guard) {
    return 1;
  }
  if (level_ <= 0) {
    return 0;
  }
  double admission = kMaxAdmission * rate_ * level_ / guard;
  // The second term counts where there was hardly any demand before.
  double demand = std::max(Surge() * (own_demand_ + peer_demand_),
                           (recent_offered_ - SurgePrior()) / kSurgeSeconds);
  return demand > admission ? admission / demand : 1;
}

void QuotaBucket::Step(double seconds) {
  double assumed = Share() * Surge() * seconds;
  integral_ += assumed;
  level_ += rate_ * seconds - assumed * peer_demand_;
  level_ = std::clamp(level_, -burst_ - kMaxDebtSeconds * rate_, burst_);
  recent_expected_ += own_demand_ * seconds;
  double weight =
      MeanWeight(seconds, InSeconds(advanced_at_ - started_at_) + seconds);
  own_demand_ *= 1 - weight;
  double decay = std::exp(-seconds / kSurgeSeconds);
  recent_offered_ *= decay;
  recent_expected_ *= decay;
}

void QuotaBucket::Advance(Instant now) {
  double seconds = InSeconds(now - advanced_at_);
  if (seconds <= 0) {
    return;
  }
  double steps = std::clamp(std::ceil(seconds / kMaxStep), 1.0, kMaxSteps);
  for (int i = 0; i < static_cast<int>(steps); ++i) {
    Step(seconds / steps);
  }
  advanced_at_ = now;
}

double QuotaBucket::AdmittedShare(Instant now) {
  Advance(now);
  return Share();
}

void QuotaBucket::OnOwnCall(double units, bool is_admitted, Instant now) {
  Advance(now);
  recent_offered_ += units;
  double since_start = std::max(1.0, InSeconds(now - started_at_));
  own_demand_ += units / std::min(kDemandSeconds, since_start);
  double weight = mean_units_ > 0 ? kMeanSizeWeight : 1;
  mean_units_ += (units - mean_units_) * weight;
  mean_square_ += (units * units - mean_square_) * weight;
  if (is_admitted) {
    level_ -= units;
  }
}

void QuotaBucket::Charge(double units, Instant now) {
  Advance(now);
  level_ -= units;
}

void QuotaBucket::Refund(double units, Instant now) {
  Advance(now);
  level_ = std::min(burst_, level_ + units);
}

void QuotaBucket::AddPeer(Peer* peer, Instant known_since, Instant reported_at,
                          Instant now) {
  Advance(now);
  *peer = {0, reported_at, integral_, known_since};
}

void QuotaBucket::OnReport(Peer* peer, double admitted, double offered,
                           Instant now) {
  Advance(now);
  double seconds = InSeconds(now - peer->reported_at);
  if (seconds > 0) {
    // The first difference of a peer tells nothing of a surge.
    if (peer->reported_at > peer->known_since) {
      recent_offered_ += offered;
      recent_expected_ += peer->demand * seconds;
    }
    double weight = MeanWeight(seconds, InSeconds(now - peer->known_since));
    double change = (offered / seconds - peer->demand) * weight;
    level_ += peer->demand * (integral_ - peer->integral_at_report) - admitted;
    level_ = std::min(level_, burst_);
    peer->demand += change;
    peer_demand_ += change;
  } else {
    level_ -= admitted;
  }
  peer->reported_at = now;
  peer->integral_at_report = integral_;
}

void QuotaBucket::RemovePeer(const Peer& peer, Instant now) {
  Advance(now);
  peer_demand_ = std::max(0.0, peer_demand_ - peer.demand);
}

double QuotaBucket::Level(Instant now) {
  Advance(now);
  return level_;
}

Micros QuotaBucket::RetryAfter(Instant now) {
  Advance(now);
  double seconds = rate_ > 0 ? (kGuardShare * burst_ / 2 - level_) / rate_ : 1;
  return std::max<Micros>(kMinRetryAfter,
                          Micros(static_cast<int64_t>(seconds * 1e6)));
}

}  // namespace basilvalve::flow
