// W3C Trace Context propagation. Each hop of a request has one span.
#pragma once

#include <string>
#include <string_view>

#include "Core/Common/clock.h"
#include "Core/Common/random.h"

namespace basilvalve::observe {

/// Identifies a span within a trace. `trace_id` has 32 lower-case hexadecimal
/// digits, the span ids have 16. `parent_span_id` is empty for a root span.
struct TraceContext {
  std::string trace_id;
  std::string span_id;
  std::string parent_span_id;

  /// Value of the `traceparent` header, with the sampled flag set. Thread safe.
  std::string ToHeader() const;
};

/// Creates a child span of the one in the header, or the root span of a new
/// trace if the header is empty or invalid. Thread safe unless callers share
/// `random`. Pre: `random` is not null.
TraceContext MakeChildContext(std::string_view traceparent, Random* random);

/// Logs a finished span. Thread safe.
void LogSpan(const TraceContext& trace, std::string_view name,
             std::string_view request_id, Micros duration,
             std::string_view result);

}  // namespace basilvalve::observe
