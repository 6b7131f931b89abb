#include "Core/Flow/dispatch_policy.h"

#include <algorithm>

namespace basilvalve::flow {
namespace {

// A forecast is kept to with some room: it does not know of what neighbours
// send meanwhile.
constexpr double kPreferredTargetShare = 0.7;
// Beyond this share of the objective and the limit a call would only push
// others over theirs.
constexpr double kMaxTargetShare = 1.0;
constexpr double kMaxLimitShare = 0.85;
constexpr double kPreferredLimitShare = 0.6;
// Shares of the tolerated pace: where another region is looked for, where less
// urgent calls are refused, and where all are.
constexpr double kPreferredTimePerTokenShare = 0.6;
constexpr double kMaxTimePerTokenShare = 0.8;
constexpr double kMaxUrgentTimePerTokenShare = 3;
// A caller that is late anyway keeps at least this share of the room that one
// in time gets, so that nobody is shut out.
constexpr double kMinLateAdmissionShare = 0.2;
// A prompt that is too long for the objective even alone waits no longer than
// this share of it for others.
constexpr double kMaxLongPromptWaitShare = 0.25;
// Another region has to be better by this much, against forth and back.
constexpr double kRemoteCostFactor = 0.8;
// A refused caller is asked back while an answer can still be in time: after
// this share of its objective, and up to as much again by its draw.
constexpr double kRetryTargetShare = 0.3;
// With all calls of a kind refused, a caller is asked back after this share of
// the time that it has left.
constexpr double kRetryLimitShare = 0.25;
constexpr Micros kLateRetryAfter{Millis(400)};

// A forecast against what the call may take: below 1 it is in time.
double ObjectiveUsage(const Forecast& forecast, const DispatchInput& input,
                      double target_share, double limit_share,
                      double time_per_token_share) {
  double target = std::max<double>(
      1000.0, target_share * static_cast<double>(input.to_target.count()));
  double limit = std::max<double>(
      1000.0, limit_share * static_cast<double>(input.to_limit.count()));
  return std::max({static_cast<double>(forecast.first_byte.count()) / target,
                   static_cast<double>(forecast.finish.count()) / limit,
                   forecast.time_per_token_ratio / time_per_token_share});
}

// What a place is chosen by: in time with room to spare, and not failing. The
// failures are no ground to refuse: a call may succeed where half of them fail.
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
  forecast.first_byte =
      input.hop + remote.capacity.wait + forecast.own_prefill_time;
  forecast.finish =
      forecast.first_byte +
      Micros(static_cast<int64_t>(remote.capacity.time_per_token_us *
                                  input.output_tokens));
  forecast.time_per_token_ratio =
      input.max_time_per_token_us > 0
          ? remote.capacity.time_per_token_us / input.max_time_per_token_us
          : 0;
  forecast.failure_rate = remote.capacity.failure_rate;
  return forecast;
}

// While many are refused, what room is left goes to callers that can still be
// in time; one that is late is served when the crowd has gone.
double AdmissionShare(const DispatchInput& input) {
  return input.is_late
             ? std::max(kMinLateAdmissionShare, 1 - input.refusal_rate)
             : 1;
}

// Whether the call is late wherever it runs, because of its own length, and
// nobody else would be: a late answer is better than none.
bool IsAcceptableLongPrompt(const Forecast& forecast,
                            const DispatchInput& input) {
  auto target = static_cast<double>(input.to_target.count());
  auto wait = static_cast<double>(
      (forecast.first_byte - forecast.own_prefill_time).count());
  return static_cast<double>(forecast.own_prefill_time.count()) >
             kPreferredTargetShare * target &&
         wait <= kMaxLongPromptWaitShare * target &&
         static_cast<double>(forecast.finish.count()) <=
             kMaxLimitShare * static_cast<double>(input.to_limit.count()) &&
         forecast.time_per_token_ratio <= kPreferredTimePerTokenShare;
}

// When there will be room: once the work that is ahead too much has been done.
Millis RetryAfter(Micros excess, const DispatchInput& input) {
  Micros base = input.to_target > Micros::zero()
                    ? Micros(static_cast<int64_t>(
                          kRetryTargetShare *
                          static_cast<double>(input.to_target.count())))
                    : kLateRetryAfter;
  base = std::max(base, excess);
  // While many are refused there is no room soon: what comes back at once is
  // refused again.
  base = std::max(base,
                  Micros(static_cast<int64_t>(
                      kRetryLimitShare * input.refusal_rate *
                      static_cast<double>(
                          std::max(input.to_limit, Micros::zero()).count()))));
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
    return {DispatchKind::kRefuse, {}, RetryAfter({}, input), {}};
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
        chosen.first_byte - std::max(input.to_target, Micros::zero());
    return {DispatchKind::kRefuse, {}, RetryAfter(excess, input), chosen};
  }
  if (is_remote) {
    return {DispatchKind::kRemote, best->region, {}, chosen};
  }
  return {DispatchKind::kLocal, {}, {}, chosen};
}

}  // namespace basilvalve::flow
