#include "Core/Observe/trace_context.h"

#include "Core/Common/log.h"

namespace basilvalve::observe {
namespace {

constexpr size_t kTraceIdBytes = 32;
constexpr size_t kSpanIdBytes = 16;
constexpr size_t kTraceIdOffset = 3;
constexpr size_t kSpanIdOffset = kTraceIdOffset + kTraceIdBytes + 1;
constexpr size_t kHeaderBytes = kSpanIdOffset + kSpanIdBytes + 3;

bool IsHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

bool IsValid(std::string_view header) {
  if (header.size() != kHeaderBytes || !header.starts_with("00-")) {
    return false;
  }
  std::string_view trace = header.substr(kTraceIdOffset, kTraceIdBytes);
  std::string_view span = header.substr(kSpanIdOffset, kSpanIdBytes);
  return IsHex(trace) && IsHex(span) && !IsZero(trace) && !IsZero(span) &&
         header[kSpanIdOffset - 1] == '-' &&
         header[kSpanIdOffset + kSpanIdBytes] == '-';
}

}  // namespace

std::string TraceContext::ToHeader() const {
  return "00-" + trace_id + "-" + span_id + "-01";
}

TraceContext MakeChildContext(std::string_view traceparent, Random* random) {
  TraceContext context;
  context.span_id = random->HexId().substr(0, kSpanIdBytes);
  if (!IsValid(traceparent)) {
    context.trace_id = random->HexId();
    return context;
  }
  context.trace_id =
      std::string(traceparent.substr(kTraceIdOffset, kTraceIdBytes));
  context.parent_span_id =
      std::string(traceparent.substr(kSpanIdOffset, kSpanIdBytes));
  return context;
}

void LogSpan(const TraceContext& trace, std::string_view name,
             std::string_view request_id, Micros duration,
             std::string_view result) {
  LogEvent(LogLevel::kInfo, "trace", "span")
      .With("name", name)
      .With("trace_id", trace.trace_id)
      .With("span_id", trace.span_id)
      .With("parent_span_id", trace.parent_span_id)
      .With("request_id", request_id)
      .With("duration_us", duration.count())
      .With("result", result);
}

}  // namespace basilvalve::observe
