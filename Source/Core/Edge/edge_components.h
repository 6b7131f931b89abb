// What the calls of one instance share.
#pragma once

#include "Core/Common/random.h"
#include "Core/Edge/call_dialect.h"
#include "Core/Edge/connection_pool.h"
#include "Core/Edge/edge_metrics.h"
#include "Core/Flow/cold_start_limiter.h"
#include "Core/Flow/dispatch_policy.h"
#include "Core/Flow/fleet_retry_budget.h"

namespace basilvalve::edge {

/// Owned by the node; lives longer than every call. Not thread safe.
struct EdgeParts {
  net::EventLoop* loop = nullptr;
  const CallDialect* dialect = nullptr;
  flow::UpstreamRegistry* registry = nullptr;
  flow::Placer* placer = nullptr;
  flow::FleetRetryBudget* allowance = nullptr;
  flow::ColdStartLimiter* cold_gate = nullptr;
  flow::FleetView* fleet = nullptr;
  ConnectionPool* upstream_pool = nullptr;
  ConnectionPool* peer_pool = nullptr;
  EdgeMetrics* metrics = nullptr;
  Random* random = nullptr;
  /// Time there and back to another region.
  Micros region_round_trip{0};
};

}  // namespace basilvalve::edge
