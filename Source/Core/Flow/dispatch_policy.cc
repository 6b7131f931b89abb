#include "Core/Flow/dispatch_policy.h"

#include <algorithm>

namespace basilvalve::flow {
namespace {

// Share of the response-time objective that the forecast for a preferred
// upstream or region may use. The margin covers calls from other instances that
// the forecast does not include.
constexpr double kPreferredTargetShare = 0.7;
// Calls whose forecast exceeds these shares of the objective or of the time to
// the deadline are refused, since they would only make other calls late.
constexpr double kMaxTargetShare = 1.0;
constexpr double kMaxLimitShare = 0.85;
constexpr double kPreferredLimitShare = 0.6;
// Shares of the longest tolerated time per token: above the first, other
// regions are considered; above the second, less urgent calls are refused;
// above the third, all calls.
constexpr double kPreferredTimePerTokenShare = 0.6;
constexpr double kMaxTimePerTokenShare = 0.8;
constexpr double kMaxUrgentTimePerTokenShare = 3;
// Late callers keep at least this share of the capacity that callers in time
// get, so that they are not starved.
constexpr double kMinLateAdmissionShare = 0.2;
// A prompt whose own prefill exceeds the objective may wait for other calls up
// to this share of the objective.
constexpr double kMaxLongPromptWaitShare = 0.25;
// The cost of another region has to be below this fraction of the local cost,
// so that calls do not oscillate between regions.
constexpr double kRemoteCostFactor = 0.8;
// Refused callers retry after this share of their objective, so that a response
// can still be in time; jitter adds up to the same again.
constexpr double kRetryTargetShare = 0.3;
// Share of the caller's remaining time before a retry when all calls of its
// rank are refused.
constexpr double kRetryLimitShare = 0.25;
constexpr Micros kLateRetryAfter{Millis(400)};

// The largest share that the forecast uses of the call's objective, its time to
// the deadline or the tolerated time per token; up to 1 the call is in time.
double ObjectiveUsage(const Forecast& forecast, const DispatchInput& input,
                      double target_share, double limit_share,
                      double time_per_token_share) {
  double target = std::max<double>(
      1000.0, target_share * static_cast<double>(input.time_to_target.count()));
  double limit = std::max<double>(
      1000.0,
      limit_share * static_cast<double>(input.time_to_deadline.count()));
  return std::max({static_cast<double>(forecast.first_byte.count()) / target,
                   static_cast<double>(forecast.finish.count()) / limit,
                   forecast.time_per_token_ratio / time_per_token_share});
}

// Cost for choosing between local and remote; up to 1 the call is in time with
// margin. The failure rate counts here but never causes a refusal: a call may
// succeed where half of them fail.
double DispatchCost(const Forecast& forecast, const DispatchInput& input) {
  return ObjectiveUsage(forecast, input, kPreferredTargetShare,
                        kPreferredLimitShare, kPreferredTimePerTokenShare) +
         kFailureWeight * forecast.failure_rate;
}

Forecast ForecastRemote(const RegionCapacity& remote,
                        const DispatchInput& input) {
  Forecast forecast;
  double prefill_ms =
      remote.capacity.prefill_tokens_per_ms > 0
          ? input.tokens_to_prefill / remote.capacity.prefill_tokens_per_ms
          : 0;
  forecast.own_prefill_time = Micros(static_cast<int64_t>(prefill_ms * 1000));
  forecast.first_byte = input.remote_round_trip + remote.capacity.wait +
                        forecast.own_prefill_time;
  forecast.finish =
      forecast.first_byte +
      Micros(static_cast<int64_t>(remote.capacity.time_per_token_us *
                                  input.output_tokens));
  forecast.time_per_token_us = remote.capacity.time_per_token_us;
  forecast.time_per_token_ratio =
      input.max_time_per_token_us > 0
          ? remote.capacity.time_per_token_us / input.max_time_per_token_us
          : 0;
  forecast.failure_rate = remote.capacity.failure_rate;
  forecast.is_reliable = remote.capacity.wait > Micros::zero();
  return forecast;
}

// Share of the capacity that the call may use. While many calls are refused,
// callers that can still be in time take precedence; late ones are served once
// load has dropped.
double AdmissionShare(const DispatchInput& input) {
  return input.is_late
             ? std::max(kMinLateAdmissionShare, 1 - input.refusal_rate)
             : 1;
}

// Whether the call is late only because of its own prompt length and barely
// delays others. It is admitted, since a late response is better than none.
bool IsAcceptableLongPrompt(const Forecast& forecast,
                            const DispatchInput& input) {
  auto target = static_cast<double>(input.time_to_target.count());
  auto wait = static_cast<double>(
      (forecast.first_byte - forecast.own_prefill_time).count());
  return static_cast<double>(forecast.own_prefill_time.count()) >
             kPreferredTargetShare * target &&
         wait <= kMaxLongPromptWaitShare * target &&
         static_cast<double>(forecast.finish.count()) <=
             kMaxLimitShare *
                 static_cast<double>(input.time_to_deadline.count()) &&
         forecast.time_per_token_ratio <= kPreferredTimePerTokenShare;
}

// Whether a plain call would be answered only after its caller has given up, by
// measured times. Its work would be wasted and delay others.
bool IsTooLateForPlainCall(const Forecast& forecast,
                           const DispatchInput& input) {
  return forecast.is_reliable && forecast.finish > input.time_to_deadline;
}

// When capacity is expected: after `excess`, the time by which the forecast
// exceeds the objective, at the earliest.
Millis RetryAfter(Micros excess, const DispatchInput& input) {
  Micros base = input.time_to_target > Micros::zero()
                    ? Micros(static_cast<int64_t>(
                          kRetryTargetShare *
                          static_cast<double>(input.time_to_target.count())))
                    : kLateRetryAfter;
  base = std::max(base, excess);
  // While many calls are refused, early retries would be refused again.
  base = std::max(
      base,
      Micros(static_cast<int64_t>(
          kRetryLimitShare * input.refusal_rate *
          static_cast<double>(
              std::max(input.time_to_deadline, Micros::zero()).count()))));
  return std::chrono::ceil<Millis>(
      base + Micros(static_cast<int64_t>(input.retry_jitter *
                                         static_cast<double>(base.count()))));
}

}  // namespace

DispatchDecision DecideDispatch(const DispatchInput& input) {
  std::optional<double> local;
  if (input.local) {
    local = DispatchCost(*input.local, input);
    if (*local <= 1) {
      return {DispatchKind::kLocal, {}, {}, *input.local};
    }
  }
  const RegionCapacity* best = nullptr;
  double remote_cost = 0;
  Forecast best_forecast;
  for (const RegionCapacity& remote : input.remote_capacities) {
    Forecast forecast = ForecastRemote(remote, input);
    double cost = DispatchCost(forecast, input);
    if (best == nullptr || cost < remote_cost) {
      best = &remote;
      remote_cost = cost;
      best_forecast = forecast;
    }
  }
  bool is_remote =
      best != nullptr && (!local || remote_cost < *local * kRemoteCostFactor);
  if (!is_remote && !local) {
    return {DispatchKind::kRefuse, {}, RetryAfter(input.pause_left, input), {}};
  }
  const Forecast& chosen = is_remote ? best_forecast : *input.local;
  double admission_share = AdmissionShare(input);
  if (input.is_model_call &&
      ObjectiveUsage(chosen, input, kMaxTargetShare * admission_share,
                     kMaxLimitShare,
                     (input.rank == 0 ? kMaxUrgentTimePerTokenShare
                                      : kMaxTimePerTokenShare) *
                         admission_share) > 1 &&
      !IsAcceptableLongPrompt(chosen, input)) {
    Micros excess =
        chosen.first_byte - std::max(input.time_to_target, Micros::zero());
    return {DispatchKind::kRefuse, {}, RetryAfter(excess, input), chosen};
  }
  if (!input.is_model_call && IsTooLateForPlainCall(chosen, input)) {
    return {DispatchKind::kRefuse,
            {},
            RetryAfter(chosen.finish - input.time_to_deadline, input),
            chosen};
  }
  if (is_remote) {
    return {DispatchKind::kRemote, best->region, {}, chosen};
  }
  return {DispatchKind::kLocal, {}, {}, chosen};
}

}  // namespace basilvalve::flow
