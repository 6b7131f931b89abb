// An upstream as seen at the moment of a choice.
#pragma once

#include <cstdint>

#include "Core/Common/clock.h"

namespace basilvalve::routing {

/// A copy of what is known of one upstream; plain numbers, so that hundreds can
/// be weighed for one request.
struct Candidate {
  /// Index that the upstream table gave to the upstream.
  uint32_t handle = 0;
  /// Sequences being decoded, from the last report.
  double running = 0;
  /// Requests waiting, from the last report.
  double queued = 0;
  /// Prompt tokens waiting for prefill, from the last report.
  double backlog_tokens = 0;
  /// Sequences that can be decoded at once.
  double slots = 1;
  /// Prompt tokens per second.
  double prefill_rate = 1;
  /// Mean time a request holds a slot.
  Micros mean_service_time{0};
  /// Age of the report.
  Micros age{0};
  /// Calls and uncached prompt tokens this instance sent since the report was
  /// taken.
  double own_calls = 0;
  double own_tokens = 0;
  /// Calls of this instance in flight, and uncached prompt tokens of those
  /// whose first token has not come.
  int64_t own_in_flight = 0;
  double own_pending_tokens = 0;
  /// Observed over predicted time to first token; 1 for an upstream that is as
  /// fast as its reports say.
  double slowness = 1;
  /// Prompt tokens of the request at hand that the upstream holds in its prefix
  /// cache.
  double cached_tokens = 0;
};

/// The part of a request that matters for a choice.
struct PromptShape {
  double tokens = 0;
};

}  // namespace basilvalve::routing
