// Watches how recent the desired state of an instance is.
#pragma once

#include "Core/Edge/edge_metrics.h"
#include "Core/Flow/pause_detector.h"
#include "Core/Flow/state_freshness.h"
#include "Core/Net/event_loop.h"

namespace basilvalve::edge {

/// Tells whether keys may be checked against the desired state, and logs and
/// counts when that changes. Does nothing without a time limit for revocations.
/// Not thread safe.
class FreshnessMonitor {
 public:
  /// `loop` and `metrics` must outlive the monitor.
  FreshnessMonitor(net::EventLoop* loop, EdgeMetrics* metrics,
                   std::optional<Millis> revocation_limit);

  /// The desired state was the newest one at `known_at`. A time in the future
  /// counts as now.
  void OnConfirmed(Instant known_at);
  /// To be called for each datagram before it is handled.
  void OnDatagram();
  /// Whether datagrams may have waited in the socket while the process was
  /// frozen. Always false without a time limit.
  bool MayDatagramsBeOld() const;
  bool IsFresh();

 private:
  void Tick();

  net::EventLoop* loop_;
  EdgeMetrics* metrics_;
  flow::StateFreshness freshness_;
  flow::PauseDetector pauses_;
  net::Timer timer_;
  bool was_fresh_ = false;
};

}  // namespace basilvalve::edge
