#include "Core/Edge/call_log.h"

#include "Core/Common/log.h"

namespace basilvalve::edge {
namespace {

int64_t InMillis(Micros time) {
  return std::chrono::floor<Millis>(time).count();
}

}  // namespace

void LogNoRoom(const CallParams& terms, const CallContract& contract,
               const CallProgress& progress,
               const flow::DispatchDecision& verdict) {
  LogEvent(LogLevel::kInfo, "edge", "no_room")
      .With("request", terms.id.value())
      .With("service", contract.service.value())
      .With("tokens_in", terms.size.tokens_in)
      .With("first_byte_ms", InMillis(verdict.forecast.first_byte))
      .With("pace_percent",
            static_cast<int64_t>(verdict.forecast.time_per_token_ratio * 100))
      .With("finish_ms", InMillis(verdict.forecast.finish))
      .With("target_left_ms", InMillis(progress.to_target))
      .With("time_left_ms", InMillis(progress.to_limit))
      .With("retry_after_ms", verdict.retry_after.count());
}

void LogRepeat(const CallParams& terms, std::string_view why,
               const net::Endpoint& after, Millis left) {
  LogEvent(LogLevel::kInfo, "edge", "repeat")
      .With("request", terms.id.value())
      .With("why", why)
      .With("after", after.Text())
      .With("left_ms", left.count());
}

void LogCallEnd(const CallParams& terms, const CallContract& contract,
                const CallProgress& progress, const CallEnd& end) {
  LogEvent(LogLevel::kInfo, "edge", "call_ended")
      .With("request", terms.id.value())
      .With("route", contract.route->name)
      .With("state_version", static_cast<int64_t>(contract.state_version))
      .With("outcome", end.outcome)
      .With("status", end.status)
      .With("why", end.why)
      .With("sends", progress.sends)
      .With("last", end.last.Text())
      .With("took_ms", InMillis(end.took));
}

}  // namespace basilvalve::edge
