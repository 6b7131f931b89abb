// Components shared by all calls of an instance.
#pragma once

#include <functional>

#include "Core/Common/random.h"
#include "Core/Edge/call_dialect.h"
#include "Core/Edge/connection_pool.h"
#include "Core/Edge/edge_metrics.h"
#include "Core/Edge/notice_recorder.h"
#include "Core/Edge/poison_guard.h"
#include "Core/Edge/quota_guard.h"
#include "Core/Flow/dispatch_policy.h"
#include "Core/Flow/dispatcher_set.h"
#include "Core/Flow/fleet_retry_budget.h"
#include "Core/Flow/pause_detector.h"
#include "Core/Flow/send_limiter.h"

namespace basilvalve::edge {

class HedgePlanner;

/// Non-owning pointers. The node owns the components, which outlive every call.
/// Not thread safe.
struct EdgeComponents {
  net::EventLoop* loop = nullptr;
  const CallDialect* dialect = nullptr;
  flow::UpstreamRegistry* registry = nullptr;
  flow::Placer* placer = nullptr;
  flow::FleetRetryBudget* retry_budget = nullptr;
  flow::SendLimiter* send_limiter = nullptr;
  flow::FleetView* fleet = nullptr;
  flow::DispatcherSet* dispatchers = nullptr;
  ConnectionPool* upstream_pool = nullptr;
  ConnectionPool* peer_pool = nullptr;
  NoticeRecorder* notices = nullptr;
  PoisonGuard* poison_guard = nullptr;
  HedgePlanner* hedges = nullptr;
  QuotaGuard* quota_guard = nullptr;
  EdgeMetrics* metrics = nullptr;
  Random* random = nullptr;
  flow::PauseDetector* pauses = nullptr;
  net::MemoryBudget::Ptr memory;
  /// Called after a peer instance was excluded.
  std::function<void()> on_peer_unreachable;
  /// Network round-trip time to another region.
  Micros region_round_trip{0};
};

}  // namespace basilvalve::edge
