// Snapshot of an upstream's load for one routing decision.
#pragma once

#include <cstdint>

#include "Core/Common/clock.h"

namespace basilvalve::routing {

/// The state of one upstream that a strategy compares. Holds only numbers, so
/// that hundreds of candidates can be copied and compared per request.
struct Candidate {
  /// Handle of the upstream in the UpstreamTable.
  uint32_t handle = 0;
  /// Sequences being decoded, from the last load report.
  double running = 0;
  /// Queued requests, from the last load report.
  double queued = 0;
  /// Prompt tokens waiting for prefill, from the last load report.
  double backlog_tokens = 0;
  /// Sequences the upstream can decode concurrently.
  double slots = 1;
  /// Prefill throughput, in prompt tokens per second.
  double prefill_rate = 1;
  /// Mean time a request occupies a decode slot.
  Micros mean_service_time{0};
  /// Age of the load report.
  Micros age{0};
  /// Calls and uncached prompt tokens this instance has sent since the load
  /// report was taken.
  double calls_since_report = 0;
  double tokens_since_report = 0;
  /// Calls of this instance in flight, and the uncached prompt tokens of those
  /// still waiting for their first token.
  int64_t own_in_flight = 0;
  double own_pending_tokens = 0;
  /// Moving average of observed over predicted time to first token; 1 for an
  /// upstream that is as fast as its load reports predict.
  double slowness = 1;
  /// Prompt tokens of the current request that are expected in the upstream's
  /// prefix cache.
  double cached_tokens = 0;
};

/// Prompt length of a request.
struct PromptSize {
  double tokens = 0;
};

}  // namespace basilvalve::routing
