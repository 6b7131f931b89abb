#include "Core/Edge/call_planner.h"

#include <algorithm>

namespace basilvalve::edge {
namespace {

// Ranks are spread around 5, which is an engine's own for a call without one;
// 9 is the last that engines know.
constexpr int kFirstUrgency = 3;
constexpr int kUrgencyStep = 2;
constexpr int kLastUrgency = 9;
// Of a stream: under the pause that callers notice, over a long engine step.
constexpr Millis kStreamSilence{650};
// Of a plain call: this share of its target, and no less than a busy upstream
// takes.
constexpr double kPlainSilenceShare = 0.6;
constexpr Millis kLeastPlainSilence{50};
// Callers' limits differ by some; one with less left than this share of the
// long ones has waited before.
constexpr double kFirstTryShare = 0.72;

flow::DispatchInput InputOf(EdgeParts* parts, const CallContract& contract,
                            const CallParams& terms,
                            const CallProgress& progress) {
  const flow::Route& route = *contract.route;
  flow::DispatchInput input;
  input.is_model_call = terms.size.IsModelCall();
  input.tokens_to_prefill =
      terms.size.parts.empty() ? 0 : terms.size.parts.back().tokens;
  input.rank = route.priority;
  input.to_target = progress.to_target;
  input.to_limit = progress.to_limit;
  input.hop = parts->region_round_trip;
  input.retry_jitter = parts->random->UniformDouble();
  if (input.is_model_call) {
    const flow::RankProfile& kind = parts->registry->RankProfileOf(
        contract.service, route.priority, terms.size.tokens_out,
        contract.time_left);
    const flow::ServiceProfile& profile =
        parts->registry->ProfileOf(contract.service);
    input.refusal_rate = kind.refusal_rate;
    input.is_late = static_cast<double>(input.to_limit.count()) <
                    kFirstTryShare * kind.first_attempt_limit_us;
    input.output_tokens =
        profile.ExpectedOutput(route.priority, terms.size.hinted_out);
    input.max_time_per_token_us = profile.MaxTimePerTokenUs();
  }
  return input;
}

// Neighbours get as many calls as this instance and send them to the same
// upstreams.
double UntoldSends(EdgeParts* parts, const ServiceName& service, Instant now) {
  size_t upstreams = parts->registry->UpstreamsOf(service).size();
  if (upstreams == 0) {
    return 0;
  }
  double silence_s =
      static_cast<double>(parts->fleet->TotalHeartbeatAge(now).count()) / 1e6;
  return parts->registry->ProfileOf(service).sends_per_second * silence_s /
         static_cast<double>(upstreams);
}

}  // namespace

int UrgencyOf(const flow::Route& route) {
  return std::clamp(kFirstUrgency + kUrgencyStep * route.priority, 0,
                    kLastUrgency);
}

Millis SilenceBound(const flow::Route& route) {
  if (route.kind == flow::CallKind::kStream) {
    return kStreamSilence;
  }
  return std::max(
      kLeastPlainSilence,
      Millis(static_cast<int64_t>(kPlainSilenceShare *
                                  static_cast<double>(route.target.count()))));
}

CallPlan PlanCall(EdgeParts* parts, const CallContract& contract,
                  const CallParams& terms, const CallProgress& progress) {
  Instant now = parts->loop->Now();
  const flow::Route& route = *contract.route;
  flow::DispatchInput input = InputOf(parts, contract, terms, progress);
  CallPlan plan;
  if (contract.is_from_peer || route.Permits(parts->fleet->self().region)) {
    flow::PlacementRequest need{
        &route,          &contract.traits,    contract.service, &terms.size,
        &progress.tried, input.output_tokens, input.to_target,  input.to_limit};
    need.unreported_sends = UntoldSends(parts, contract.service, now);
    need.sampling_seed = parts->random->Next();
    plan.local = parts->placer->Choose(need, now);
    if (plan.local) {
      input.local = plan.local->forecast;
    }
  }
  if (!contract.is_from_peer) {
    for (flow::RegionCapacity& offer :
         parts->fleet->RemoteCapacities(contract.service, now)) {
      if (route.Permits(offer.region) &&
          !progress.tried_regions.contains(offer.region)) {
        input.remote_capacities.push_back(std::move(offer));
      }
    }
  }
  plan.verdict = flow::DecideDispatch(input);
  if (input.is_model_call && progress.sends == 0 && !contract.is_from_peer) {
    parts->registry->LearnRefusal(
        contract.service, route.priority,
        plan.verdict.kind == flow::DispatchKind::kRefuse);
  }
  // Work that another instance decided to place here is not refused for being
  // late: its sender knows no better place, and a refusal costs a round trip.
  if (plan.verdict.kind == flow::DispatchKind::kRefuse && plan.local &&
      (progress.sends > 0 || contract.is_from_peer)) {
    plan.verdict.kind = flow::DispatchKind::kLocal;
  }
  return plan;
}

}  // namespace basilvalve::edge
