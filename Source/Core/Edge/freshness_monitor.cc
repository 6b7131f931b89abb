#include "Core/Edge/freshness_monitor.h"

#include <algorithm>

#include "Core/Common/log.h"

namespace basilvalve::edge {
namespace {

// A confirmation that waited in the socket is too late by the length of the
// pause. Together with the delay on the way, shorter pauses fit into the share
// of the limit that flow::kRevocationShare leaves. 700 ms of a limit of 5 s.
constexpr double kUndetectedPauseShare = 0.14;

Micros MinPause(std::optional<Millis> revocation_limit) {
  Micros share(static_cast<int64_t>(
      kUndetectedPauseShare *
      static_cast<double>(
          Micros(revocation_limit.value_or(Millis(0))).count())));
  return std::max<Micros>(share, 2 * flow::PauseDetector::kTickInterval);
}

}  // namespace

FreshnessMonitor::FreshnessMonitor(net::EventLoop* loop, EdgeMetrics* metrics,
                                   std::optional<Millis> revocation_limit)
    : loop_(loop),
      metrics_(metrics),
      freshness_(revocation_limit),
      pauses_(MinPause(revocation_limit)),
      timer_(loop) {
  if (freshness_.has_limit()) {
    metrics_->SetStateFresh(false);
    Tick();
  }
}

void FreshnessMonitor::Tick() {
  pauses_.OnTick(loop_->Now());
  IsFresh();
  timer_.Set(flow::PauseDetector::kTickInterval, [this] { Tick(); });
}

void FreshnessMonitor::OnConfirmed(Instant known_at) {
  if (freshness_.has_limit()) {
    freshness_.OnConfirmed(std::min(known_at, loop_->Now()));
    IsFresh();
  }
}

void FreshnessMonitor::OnDatagram() {
  if (freshness_.has_limit()) {
    pauses_.OnReceived(loop_->Now());
  }
}

bool FreshnessMonitor::MayDatagramsBeOld() const {
  return freshness_.has_limit() && pauses_.IsResuming(loop_->Now());
}

bool FreshnessMonitor::IsFresh() {
  if (!freshness_.has_limit()) {
    return true;
  }
  Instant now = loop_->Now();
  bool is_fresh = freshness_.IsFresh(now);
  if (is_fresh == was_fresh_) {
    return is_fresh;
  }
  was_fresh_ = is_fresh;
  LogEvent(is_fresh ? LogLevel::kInfo : LogLevel::kWarn, "edge",
           is_fresh ? "desired_state_fresh" : "desired_state_stale")
      .With("age_ms",
            std::chrono::ceil<Millis>(freshness_.Age(now).value_or(Micros(0)))
                .count());
  metrics_->SetStateFresh(is_fresh);
  metrics_->CountFreshnessChange(is_fresh ? "fresh" : "stale");
  return is_fresh;
}

}  // namespace basilvalve::edge
