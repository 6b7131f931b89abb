// W3C trace context: one span for each hop of a request.
#pragma once

#include <string>
#include <string_view>

#include "Core/Common/clock.h"
#include "Core/Common/random.h"

namespace basilvalve::observe {

/// Identifies a span within a trace. Shape: 32 and 16 hexadecimal digits.
struct TraceContext {
  std::string trace_id;
  std::string span_id;
  std::string parent_span_id;

  /// Text of the `traceparent` header. Thread safe.
  std::string ToHeader() const;
};

/// A span below the one in the header; a new trace if the header is absent or
/// wrong. Not thread safe for one `random`. Pre: `random` is not null.
TraceContext MakeChildContext(std::string_view traceparent, Random* random);

/// Logs one finished span. Thread safe.
void LogSpan(const TraceContext& trace, std::string_view name,
             std::string_view request_id, Micros duration,
             std::string_view result);

}  // namespace basilvalve::observe
