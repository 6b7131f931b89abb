// Keeps calls with a prompt part that crashes upstreams away from them.
#pragma once

#include <functional>
#include <optional>

#include "Core/Edge/call_dialect.h"
#include "Core/Edge/crash_detector.h"
#include "Core/Edge/edge_metrics.h"
#include "Core/Flow/fleet_view.h"

namespace basilvalve::edge {

/// Connects the detection of crashes, the evidence against prompt parts and the
/// exchange of both with other instances. Not thread safe.
class PoisonGuard {
 public:
  /// Receives a part that is blocked from now on.
  using BlockedFn = std::function<void(flow::PromptPartId part)>;

  /// The pointers must outlive the guard.
  PoisonGuard(net::EventLoop* loop, ConnectionPool* upstream_pool,
              const flow::UpstreamRegistry* registry,
              const flow::FleetView* fleet, EdgeMetrics* metrics,
              BlockedFn on_blocked);

  /// The blocked part of a call, if it has one. A probe is due only at the
  /// instance of the fleet that is elected for the part.
  std::optional<flow::BlockedPart> FindBlocked(const CallParams& params);
  /// Records that a call is sent as the probe of its blocked part.
  void OnProbe(const CallParams& params, flow::PromptPartId part);
  /// Whether another attempt of the call might crash one more upstream, if the
  /// last one has crashed under it.
  bool IsSuspected(const CallParams& params) const;
  /// Records that a call got past its first events.
  void OnSurvival(const CallParams& params);
  /// A call's connection to an upstream broke before that. `done`, if set, is
  /// called from the loop, with whether the upstream crashed.
  void OnConnectionLost(const flow::UpstreamRegistry::Ptr& upstream,
                        const CallParams& params, CrashDetector::DoneFn done);
  /// Number of prompt parts that are blocked.
  size_t blocked_parts() const { return tracker_.blocked_parts(); }
  /// What the next heartbeat tells the other instances.
  flow::PoisonReport MakeReport();
  /// Applies what another instance's heartbeat tells.
  void OnReport(const flow::PoisonReport& report);

 private:
  void OnCrash(const flow::Upstream& upstream,
               const std::vector<LostCall>& calls, Instant at);
  /// Logs the parts that were blocked or cleared since the last call, and
  /// passes on the blocked ones.
  void PublishChanges();
  /// Whether this instance is the one that sends probes of the part.
  bool IsElected(flow::PromptPartId part) const;

  net::EventLoop* loop_;
  const flow::FleetView* fleet_;
  EdgeMetrics* metrics_;
  BlockedFn on_blocked_;
  flow::PoisonTracker tracker_;
  CrashDetector detector_;
  uint64_t crashes_ = 0;
};

}  // namespace basilvalve::edge
