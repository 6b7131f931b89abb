#include "Core/Edge/call_log.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

#include "Core/Common/log.h"

namespace basilvalve::edge {
namespace {

constexpr size_t kMaxLoggedParts = 64;

int64_t InMillis(Micros time) {
  return std::chrono::floor<Millis>(time).count();
}

std::string InHex(flow::PromptPartId part) {
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, part.value());
  return text.data();
}

}  // namespace

void LogCallRejected(const CallParams& params, const CallContext& context,
                     const CallProgress& progress,
                     const flow::DispatchDecision& decision) {
  LogEvent(LogLevel::kInfo, "edge", "no_capacity")
      .With("request", params.id.value())
      .With("service", context.service.value())
      .With("input_tokens", params.size.tokens_in)
      .With("predicted_first_byte_ms", InMillis(decision.forecast.first_byte))
      .With("predicted_time_per_token_us",
            static_cast<int64_t>(decision.forecast.time_per_token_us))
      // Percent of the longest time per token that calls of every rank
      // tolerate.
      .With("predicted_time_per_token_percent",
            static_cast<int64_t>(decision.forecast.time_per_token_ratio * 100))
      .With("predicted_finish_ms", InMillis(decision.forecast.finish))
      .With("time_to_latency_target_ms", InMillis(progress.time_to_target))
      .With("time_to_deadline_ms", InMillis(progress.time_to_deadline))
      .With("retry_after_ms", decision.retry_after.count());
}

void LogTrial(const CallParams& params, const CallContext& context,
              const flow::Forecast& forecast) {
  LogEvent(LogLevel::kInfo, "edge", "forecast_tried")
      .With("request", params.id.value())
      .With("service", context.service.value())
      .With("predicted_first_byte_ms", InMillis(forecast.first_byte))
      .With("predicted_time_per_token_us",
            static_cast<int64_t>(forecast.time_per_token_us))
      .With("predicted_finish_ms", InMillis(forecast.finish));
}

void LogRefusal(const CallParams& params, const net::Endpoint& from, int status,
                Micros age) {
  LogEvent(LogLevel::kInfo, "edge", "refusal_received")
      .With("request", params.id.value())
      .With("from", from.Text())
      .With("status", status)
      .With("age_us", age.count());
}

void LogForeignResponse(const CallParams& params, const net::Endpoint& from,
                        int status, const ResponseClaim& claim) {
  bool says_not_run =
      claim.not_executed || claim.peer_outcome == Outcome::kNotRun;
  LogEvent(LogLevel::kWarn, "edge", "mismatched_response")
      .With("request", params.id.value())
      .With("from", from.Text())
      .With("status", status)
      .With("names_call", NamedCallName(claim.named_call))
      .With("says_not_run", says_not_run ? "yes" : "no");
}

void LogStaleConnection(const CallParams& params, const net::Endpoint& to) {
  LogEvent(LogLevel::kInfo, "edge", "connection_stale")
      .With("request", params.id.value())
      .With("endpoint", to.Text());
}

void LogRetry(const CallParams& params, std::string_view reason,
              const net::Endpoint& failed_endpoint, Millis time_left) {
  LogEvent(LogLevel::kInfo, "edge", "call_retried")
      .With("request", params.id.value())
      .With("reason", reason)
      .With("failed_endpoint", failed_endpoint.Text())
      .With("time_to_deadline_ms", time_left.count());
}

void LogHedge(const CallParams& params, const ServiceName& service,
              const net::Endpoint& first, const net::Endpoint& second,
              Micros after) {
  LogEvent(LogLevel::kInfo, "edge", "hedged")
      .With("request", params.id.value())
      .With("service", service.value())
      .With("first_endpoint", first.Text())
      .With("second_endpoint", second.Text())
      .With("after_ms", InMillis(after));
}

void LogLostCall(const RequestId& request, const UpstreamId& upstream,
                 const std::vector<flow::PromptPartId>& parts) {
  std::string text;
  for (size_t i = 0; i < std::min(parts.size(), kMaxLoggedParts); ++i) {
    text.append(text.empty() ? "" : ",").append(InHex(parts[i]));
  }
  LogEvent(LogLevel::kWarn, "edge", "upstream_crashed")
      .With("request", request.value())
      .With("upstream", upstream.value())
      .With("shared_parts", static_cast<int64_t>(parts.size()))
      .With("parts", text);
}

void LogCallBlocked(const CallParams& params, const CallProgress& progress,
                    const flow::BlockedPart& blocked) {
  LogEvent(LogLevel::kInfo, "edge", "call_blocked")
      .With("request", params.id.value())
      .With("part", InHex(blocked.part))
      .With("sends", progress.sends)
      .With("blocked_for_ms", InMillis(blocked.time_left));
}

void LogProbe(const RequestId& request, flow::PromptPartId part) {
  LogEvent(LogLevel::kWarn, "edge", "part_probed")
      .With("request", request.value())
      .With("part", InHex(part));
}

void LogPartVerdict(const flow::PartVerdict& verdict) {
  LogEvent(LogLevel::kWarn, "edge",
           verdict.is_blocked ? "part_blocked" : "part_cleared")
      .With("part", InHex(verdict.part))
      .With("generation", static_cast<int64_t>(verdict.generation))
      .With("probes", static_cast<int64_t>(verdict.probes))
      .With("blocked_for_ms", InMillis(verdict.time_left));
}

void LogCallEnd(const CallParams& params, const CallContext& context,
                const CallProgress& progress, const CallSummary& summary) {
  LogEvent(LogLevel::kInfo, "edge", "call_ended")
      .With("request", params.id.value())
      .With("route", context.route->name)
      .With("workspace",
            context.workspace ? context.workspace->name.value() : "")
      .With("state_version", static_cast<int64_t>(context.state_version))
      .With("outcome", summary.outcome)
      .With("status", summary.status)
      .With("reason", summary.reason)
      .With("sends", progress.sends)
      .With("last_endpoint", summary.last_endpoint.Text())
      .With("took_ms", InMillis(summary.duration));
}

}  // namespace basilvalve::edge
