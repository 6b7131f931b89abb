#include "Core/Flow/dispatch_policy.h"

#include <algorithm>

namespace basilvalve::flow {
namespace {

// A forecast is kept to with some room: it does not know of what neighbours
// send meanwhile.
constexpr double kTargetShare = 0.7;
// Beyond this share of the objective and the limit a call would only push
// others over theirs.
constexpr double kRefuseTargetShare = 1.0;
constexpr double kLimitShare = 0.85;
constexpr double kComfortLimitShare = 0.6;
// Shares of the tolerated pace: where another region is looked for, where less
// urgent calls are refused, and where all are.
constexpr double kComfortPaceShare = 0.6;
constexpr double kPaceShare = 0.8;
constexpr double kUrgentPaceShare = 3;
// A caller that is late anyway keeps at least this share of the room that one
// in time gets, so that nobody is shut out.
constexpr double kLeastLateRoom = 0.2;
// A prompt that is too long for the objective even alone waits no longer than
// this share of it for others.
constexpr double kLongPromptWaitShare = 0.25;
// Another region has to be better by this much, against forth and back.
constexpr double kAwayMargin = 0.8;
// A refused caller is asked back while an answer can still be in time: after
// this share of its objective, and up to as much again by its draw.
constexpr double kRetryTargetShare = 0.3;
// With all calls of a kind refused, a caller is asked back after this share of
// the time that it has left.
constexpr double kRetryLimitShare = 0.25;
constexpr Micros kLateRetryAfter{Millis(400)};

// A forecast against what the call may take: below 1 it is in time.
double StrainOf(const Forecast& forecast, const DispatchInput& input,
                double target_share, double limit_share, double pace_share) {
  double target = std::max<double>(
      1000.0, target_share * static_cast<double>(input.to_target.count()));
  double limit = std::max<double>(
      1000.0, limit_share * static_cast<double>(input.to_limit.count()));
  return std::max({static_cast<double>(forecast.first_byte.count()) / target,
                   static_cast<double>(forecast.finish.count()) / limit,
                   forecast.time_per_token_ratio / pace_share});
}

// What a place is chosen by: in time with room to spare, and not failing. The
// failures are no ground to refuse: a call may succeed where half of them fail.
double Reluctance(const Forecast& forecast, const DispatchInput& input) {
  return StrainOf(forecast, input, kTargetShare, kComfortLimitShare,
                  kComfortPaceShare) +
         kFailureWeight * forecast.failure_rate;
}

Forecast ForecastAway(const RegionCapacity& offer, const DispatchInput& input) {
  Forecast forecast;
  double reading_ms =
      offer.room.prefill_tokens_per_ms > 0
          ? input.tokens_to_prefill / offer.room.prefill_tokens_per_ms
          : 0;
  forecast.own_prefill_time = Micros(static_cast<int64_t>(reading_ms * 1000));
  forecast.first_byte = input.hop + offer.room.wait + forecast.own_prefill_time;
  forecast.finish = forecast.first_byte +
                    Micros(static_cast<int64_t>(offer.room.time_per_token_us *
                                                input.output_tokens));
  forecast.time_per_token_ratio =
      input.max_time_per_token_us > 0
          ? offer.room.time_per_token_us / input.max_time_per_token_us
          : 0;
  forecast.failure_rate = offer.room.failure_rate;
  return forecast;
}

// While many are refused, what room is left goes to callers that can still be
// in time; one that is late is served when the crowd has gone.
double RoomShare(const DispatchInput& input) {
  return input.is_late ? std::max(kLeastLateRoom, 1 - input.refusal_rate) : 1;
}

// Whether the call is late wherever it runs, because of its own length, and
// nobody else would be: a late answer is better than none.
bool IsLongButWelcome(const Forecast& forecast, const DispatchInput& input) {
  auto target = static_cast<double>(input.to_target.count());
  auto wait = static_cast<double>(
      (forecast.first_byte - forecast.own_prefill_time).count());
  return static_cast<double>(forecast.own_prefill_time.count()) >
             kTargetShare * target &&
         wait <= kLongPromptWaitShare * target &&
         static_cast<double>(forecast.finish.count()) <=
             kLimitShare * static_cast<double>(input.to_limit.count()) &&
         forecast.time_per_token_ratio <= kComfortPaceShare;
}

// When there will be room: once the work that is ahead too much has been done.
Millis RetryAfter(Micros over, const DispatchInput& input) {
  Micros base = input.to_target > Micros::zero()
                    ? Micros(static_cast<int64_t>(
                          kRetryTargetShare *
                          static_cast<double>(input.to_target.count())))
                    : kLateRetryAfter;
  base = std::max(base, over);
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
    local = Reluctance(*input.local, input);
    if (*local <= 1) {
      return {DispatchKind::kLocal, {}, {}, *input.local};
    }
  }
  const RegionCapacity* best = nullptr;
  double away = 0;
  Forecast best_forecast;
  for (const RegionCapacity& offer : input.remote_capacities) {
    Forecast forecast = ForecastAway(offer, input);
    double reluctance = Reluctance(forecast, input);
    if (best == nullptr || reluctance < away) {
      best = &offer;
      away = reluctance;
      best_forecast = forecast;
    }
  }
  bool is_away = best != nullptr && (!local || away < *local * kAwayMargin);
  if (!is_away && !local) {
    return {DispatchKind::kRefuse, {}, RetryAfter({}, input), {}};
  }
  const Forecast& chosen = is_away ? best_forecast : *input.local;
  double room = RoomShare(input);
  if (input.is_model_call &&
      StrainOf(chosen, input, kRefuseTargetShare * room, kLimitShare,
               (input.rank == 0 ? kUrgentPaceShare : kPaceShare) * room) > 1 &&
      !IsLongButWelcome(chosen, input)) {
    Micros over = chosen.first_byte - std::max(input.to_target, Micros::zero());
    return {DispatchKind::kRefuse, {}, RetryAfter(over, input), chosen};
  }
  if (is_away) {
    return {DispatchKind::kRemote, best->region, {}, chosen};
  }
  return {DispatchKind::kLocal, {}, {}, chosen};
}

}  // namespace basilvalve::flow
