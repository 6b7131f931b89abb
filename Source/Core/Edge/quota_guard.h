// Applies the token quotas of workspaces to the calls of this instance.
#pragma once

#include <functional>
#include <optional>

#include "Core/Edge/call_dialect.h"
#include "Core/Edge/edge_metrics.h"
#include "Core/Flow/desired_state.h"
#include "Core/Flow/dispatcher_set.h"
#include "Core/Flow/fleet_view.h"
#include "Core/Flow/quota_limiter.h"

namespace basilvalve::edge {

struct CallContext;

/// Connects the limiter with desired state, fleet, heartbeats, metrics and log.
/// Without limits in the desired state it has no state and no cost. Not thread
/// safe.
class QuotaGuard {
 public:
  /// Sends a datagram to another instance of the region.
  using SendFn = std::function<void(const flow::InstanceRecord& to,
                                    const std::string& bytes)>;

  /// The pointers must outlive the guard. `silent_use_time`: how long an
  /// instance that is silent may go on to accept calls.
  QuotaGuard(const flow::FleetView* fleet,
             const flow::DispatcherSet* dispatchers, EdgeMetrics* metrics,
             Random* random, Millis silent_use_time, SendFn send);

  /// Takes the limits from a new desired state.
  void OnDesiredState(const flow::DesiredState& state, Instant now);
  /// Decides on a caller's call and charges it to its workspace. Returns when
  /// to try again if it is refused; else notes in the context what was charged.
  std::optional<Millis> Admit(const CallParams& params, CallContext* context,
                              Instant now);
  /// Takes back what was charged for a call that was not run.
  void OnNotRun(const CallContext& context, Instant now);
  /// Rows for a heartbeat of this instance.
  std::vector<flow::UseRow> Report(Instant now);
  /// Applies the rows of another instance's heartbeat.
  void OnHeartbeat(const flow::Heartbeat& heartbeat, Instant now);
  /// Applies the report of an instance that sends no heartbeats.
  void OnFollowerReport(const flow::QuotaReport& report, Instant now);
  /// Call it each half second.
  void Sweep(Instant now);

 private:
  std::vector<flow::QuotaMember> Members() const;
  /// Whether this instance's use is reported by another one.
  bool IsFollower() const {
    return dispatchers_->is_exclusive() && !dispatchers_->IsMember();
  }
  /// The dispatcher that passes on the use of a follower; nullptr if none.
  const flow::InstanceRecord* ReporterOf(const InstanceId& follower) const;
  void SendFollowerReport(Instant now);

  const flow::FleetView* fleet_;
  const flow::DispatcherSet* dispatchers_;
  EdgeMetrics* metrics_;
  Random* random_;
  Millis silent_use_time_;
  SendFn send_;
  // Absent without limits.
  std::optional<flow::QuotaLimiter> limiter_;
  Instant last_follower_report_at_;
  uint64_t follower_sequence_ = 0;
  InstanceId last_reporter_;
};

}  // namespace basilvalve::edge
