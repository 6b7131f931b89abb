#include "Core/Edge/hedge_planner.h"

#include <string_view>

namespace basilvalve::edge {
namespace {

// Running calls per slot. Above it, a second attempt would wait in a queue and
// delay others.
constexpr double kMaxLoad = 0.7;
// A service that refused a call less than this ago is overloaded.
constexpr Seconds kRefusalMemory{2};

}  // namespace

bool HedgePlanner::IsEligible(const CallContext& context,
                              const CallParams& params) const {
  return is_enabled_ && !context.is_from_peer &&
         context.route->kind == flow::CallKind::kIdempotent &&
         !params.size.IsModelCall();
}

void HedgePlanner::OnFirstSend(const ServiceName& service) {
  budget_.OnRequest(service, components_->loop->Now());
}

Micros HedgePlanner::DelayOf(const CallContext& context) const {
  return delay_.DelayFor(context.service, context.route->target);
}

void HedgePlanner::OnFirstByte(const ServiceName& service, Micros took) {
  delay_.OnFirstByte(service, took);
}

void HedgePlanner::OnRefusal(const ServiceName& service) {
  if (is_enabled_) {
    last_refusals_[service] = components_->loop->Now();
  }
}

bool HedgePlanner::IsLoaded(const ServiceName& service, Instant now) const {
  double running = 0;
  double slots = 0;
  for (const auto& upstream : components_->registry->UpstreamsOf(service)) {
    if (components_->registry->CanSendTo(*upstream, now)) {
      running += components_->registry->LoadOf(*upstream, now).running;
      slots += upstream->record.slots;
    }
  }
  return running >= kMaxLoad * slots;
}

bool HedgePlanner::HasRefused(const ServiceName& service, Instant now) const {
  auto it = last_refusals_.find(service);
  return it != last_refusals_.end() && now - it->second < kRefusalMemory;
}

std::optional<flow::Placement> HedgePlanner::PlaceInTime(
    const CallContext& context, const CallParams& params, CallProgress progress,
    const UpstreamId& first) const {
  progress.tried_upstreams.insert(first);
  CallPlan plan = PlanCall(components_, context, params, progress);
  if (plan.decision.kind != flow::DispatchKind::kLocal ||
      plan.local->forecast.first_byte > progress.time_to_target) {
    return std::nullopt;
  }
  return plan.local;
}

std::optional<flow::Placement> HedgePlanner::Choose(
    const CallContext& context, const CallParams& params,
    const CallProgress& progress, const UpstreamId& first, bool is_permitted) {
  Instant now = components_->loop->Now();
  const ServiceName& service = context.service;
  std::optional<flow::Placement> placement;
  std::string_view refusal;
  if (!is_permitted) {
    refusal = "attempts";
  } else if (IsLoaded(service, now)) {
    refusal = "load";
  } else if (HasRefused(service, now)) {
    refusal = "recent_refusal";
  } else if (placement = PlaceInTime(context, params, progress, first);
             !placement) {
    refusal = "no_upstream";
  } else if (!budget_.HasRoom(service, now)) {
    refusal = "budget";
  } else if (!components_->retry_budget->TryConsume(
                 service, components_->fleet->LiveCount(now), now)) {
    refusal = "retry_budget";
  }
  if (!refusal.empty()) {
    components_->metrics->CountHedgeRefused(refusal);
    return std::nullopt;
  }
  budget_.OnHedge(service, now);
  return placement;
}

}  // namespace basilvalve::edge
