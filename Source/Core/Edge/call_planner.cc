#include "Core/Edge/call_planner.h"

#include <algorithm>

#include "Core/Edge/call_log.h"

namespace basilvalve::edge {
namespace {

// Urgencies are centred on 5, the engines' default for a call without one. 9 is
// the lowest urgency that engines accept.
constexpr int kTopRankUrgency = 3;
constexpr int kUrgencyStep = 2;
constexpr int kLowestUrgency = 9;
// Of calls with a workspace, three workspace priorities with three route
// priorities each fill the urgencies 0 to 8; all lower ones share the last.
constexpr int kWorkspaceUrgencies = 3;
// For streams: shorter than an interval between events that callers notice,
// longer than a long engine step.
constexpr Millis kStreamSilenceTimeout{650};
// A sound upstream may pause for a second. A stream that has started is late by
// then, so that an early resumption gains nothing for its caller.
constexpr Millis kStartedStreamSilenceTimeout{2000};
// For plain calls: this share of the response-time objective, but no less than
// a busy upstream needs.
constexpr double kPlainSilenceTargetShare = 0.6;
constexpr Millis kMinPlainSilenceTimeout{50};
// Callers' timeouts vary. A call that has less time left than this share of the
// timeout of first attempts is probably a caller's retry.
constexpr double kFirstAttemptTimeoutShare = 0.72;

flow::DispatchInput BuildDispatchInput(EdgeComponents* components,
                                       const CallContext& context,
                                       const CallParams& params,
                                       const CallProgress& progress) {
  const flow::Route& route = *context.route;
  flow::DispatchInput input;
  input.is_model_call = params.size.IsModelCall();
  input.tokens_to_prefill =
      params.size.parts.empty() ? 0 : params.size.parts.back().tokens;
  input.rank = RankOf(context);
  input.time_to_target = progress.time_to_target;
  input.time_to_deadline = progress.time_to_deadline;
  input.remote_round_trip = components->region_round_trip;
  input.retry_jitter = components->random->UniformDouble();
  if (input.is_model_call) {
    const flow::RankProfile& rank_profile = components->registry->RankProfileOf(
        context.service, route.priority, params.size.tokens_out,
        context.time_left);
    const flow::ServiceProfile& profile =
        components->registry->ProfileOf(context.service);
    input.refusal_rate = rank_profile.refusal_rate;
    input.is_late =
        static_cast<double>(input.time_to_deadline.count()) <
        kFirstAttemptTimeoutShare * rank_profile.first_attempt_limit_us;
    input.output_tokens = profile.ExpectedOutput(
        route.priority, params.size.estimated_tokens_out);
    input.max_time_per_token_us = profile.MaxTimePerTokenUs();
  }
  return input;
}

// Estimates the calls per upstream that neighbours have sent since their last
// heartbeat, assuming that they receive as many calls as this instance and use
// the same upstreams.
double EstimateUnreportedSends(EdgeComponents* components,
                               const ServiceName& service, Instant now) {
  size_t upstreams = components->registry->UpstreamsOf(service).size();
  if (upstreams == 0) {
    return 0;
  }
  double staleness_s =
      static_cast<double>(components->fleet->TotalHeartbeatAge(now).count()) /
      1e6;
  return components->registry->ProfileOf(service).sends_per_second *
         staleness_s / static_cast<double>(upstreams);
}

// Time until an upstream of the service takes calls again, if all of them
// asked this instance for a pause; else zero.
Micros PauseLeft(EdgeComponents* components, const ServiceName& service) {
  Instant now = components->loop->Now();
  return components->registry->PausedUntil(service, now).value_or(now) - now;
}

// Whether a call that would be refused for its forecast is sent after all, to
// find out whether the forecast still holds.
bool IsTrialDue(EdgeComponents* components, const ServiceName& service,
                flow::DispatchInput input, Instant now) {
  input.local = flow::DiscountForecast(
      *input.local, components->registry->ConfidenceIn(service, now));
  input.remote_capacities.clear();
  return flow::DecideDispatch(input).kind == flow::DispatchKind::kLocal;
}

}  // namespace

Millis PauseRetryAfter(EdgeComponents* components, const ServiceName& service) {
  Micros left = PauseLeft(components, service);
  double jitter = components->random->UniformDouble();
  return std::chrono::ceil<Millis>(
      left +
      Micros(static_cast<int64_t>(jitter * static_cast<double>(left.count()))));
}

int UrgencyOf(const CallContext& context) {
  int route = context.route->priority;
  if (context.workspace == nullptr) {
    return std::clamp(kTopRankUrgency + kUrgencyStep * route, 0,
                      kLowestUrgency);
  }
  int workspace =
      std::clamp(context.workspace->priority, 0, kWorkspaceUrgencies);
  return std::min(kLowestUrgency,
                  kWorkspaceUrgencies * workspace +
                      std::clamp(route, 0, kWorkspaceUrgencies - 1));
}

int RankOf(const CallContext& context) { return context.route->priority; }

Millis SilenceTimeout(const flow::Route& route, bool has_started) {
  if (route.kind == flow::CallKind::kStream) {
    return has_started ? kStartedStreamSilenceTimeout : kStreamSilenceTimeout;
  }
  return std::max(
      kMinPlainSilenceTimeout,
      Millis(static_cast<int64_t>(kPlainSilenceTargetShare *
                                  static_cast<double>(route.target.count()))));
}

CallPlan PlanCall(EdgeComponents* components, const CallContext& context,
                  const CallParams& params, const CallProgress& progress) {
  Instant now = components->loop->Now();
  const flow::Route& route = *context.route;
  auto blocked = components->poison_guard->FindBlocked(params);
  if (blocked && !blocked->is_probe_due) {
    CallPlan refused;
    refused.blocked = blocked;
    return refused;
  }
  flow::DispatchInput input =
      BuildDispatchInput(components, context, params, progress);
  CallPlan plan;
  if (context.is_from_peer ||
      context.Permits(components->fleet->self().region)) {
    flow::PlacementRequest request;
    request.route = &route;
    request.traits = &context.traits;
    request.service = context.service;
    request.size = &params.size;
    request.tried_upstreams = &progress.tried_upstreams;
    request.output_tokens = input.output_tokens;
    request.time_to_target = input.time_to_target;
    request.time_to_deadline = input.time_to_deadline;
    // The owner of an upstream sends all of its calls itself.
    request.unreported_sends =
        context.is_last_hop
            ? 0
            : EstimateUnreportedSends(components, context.service, now);
    request.sampling_seed = components->random->Next();
    request.dispatchers = components->dispatchers;
    request.tried_dispatchers = &progress.tried_dispatchers;
    request.is_last_hop = context.is_last_hop;
    request.suggested_upstream = context.suggested_upstream;
    plan.local = components->placer->Choose(request, now);
    if (plan.local) {
      input.local = plan.local->forecast;
    } else {
      input.pause_left = PauseLeft(components, context.service);
    }
  }
  if (!context.is_from_peer) {
    for (flow::RegionCapacity& capacity :
         components->fleet->RemoteCapacities(context.service, now)) {
      if (context.Permits(capacity.region) &&
          !progress.tried_regions.contains(capacity.region)) {
        input.remote_capacities.push_back(std::move(capacity));
      }
    }
  }
  plan.decision = flow::DecideDispatch(input);
  if (input.is_model_call && plan.local && plan.decision.IsTooLate() &&
      IsTrialDue(components, context.service, input, now)) {
    LogTrial(params, context, plan.local->forecast);
    components->metrics->CountTrial();
    components->registry->OnTrial(context.service, now);
    plan.decision.kind = flow::DispatchKind::kLocal;
  }
  if (input.is_model_call && progress.sends == 0 && !context.is_from_peer) {
    components->registry->LearnRefusal(
        context.service, route.priority,
        plan.decision.kind == flow::DispatchKind::kRefuse);
  }
  // A call forwarded by another instance, or one already sent before, is not
  // rejected because it would finish late: the sender has no better
  // alternative, and a rejection costs a round trip.
  // Only an instance of the same region does have one.
  if (plan.decision.kind == flow::DispatchKind::kRefuse && plan.local &&
      (progress.sends > 0 || context.is_from_peer) && !context.is_last_hop) {
    plan.decision.kind = flow::DispatchKind::kLocal;
  }
  if (!input.is_model_call && plan.decision.IsTooLate()) {
    components->metrics->CountLateRefusal();
  }
  if (blocked && plan.decision.kind == flow::DispatchKind::kRemote) {
    plan.decision.kind = flow::DispatchKind::kRefuse;
  }
  plan.blocked = blocked;
  return plan;
}

}  // namespace basilvalve::edge
