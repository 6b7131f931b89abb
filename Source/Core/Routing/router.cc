#include "Core/Routing/router.h"

#include <algorithm>
#include <limits>

namespace basilvalve::routing {
namespace {

// Stands for "cannot be served here", larger than any prediction.
constexpr Micros kNever{std::numeric_limits<int64_t>::max() / 4};
constexpr Millis kMinRetryAfter{200};
constexpr Millis kMaxRetryAfter{10000};

Millis RetryAfter(Micros predicted, Micros allowed) {
  if (predicted >= kNever) {
    return kMaxRetryAfter;
  }
  auto excess = std::chrono::duration_cast<Millis>(predicted - allowed);
  return std::clamp(excess, kMinRetryAfter, kMaxRetryAfter);
}

std::string Milliseconds(Micros time) {
  return time >= kNever ? "none" : std::to_string(time.count() / 1000) + "ms";
}

}  // namespace

std::string RouteDecision::Reason() const {
  return "local=" + Milliseconds(predicted_local) +
         " remote=" + Milliseconds(predicted_remote) + " cached_tokens=" +
         std::to_string(static_cast<int64_t>(cached_tokens));
}

Router::Router(const RoutingSettings& settings, uint64_t seed)
    : settings_(settings),
      random_(seed),
      chooser_(CreateChooser(settings.chooser)),
      away_(settings.away),
      link_(settings.link) {}

Micros Router::AllowedTime(const RouteInput& input) const {
  return Micros(static_cast<int64_t>(
      static_cast<double>(input.remaining.count()) * settings_.deadline_part));
}

std::optional<size_t> Router::ChooseRemote(const RouteInput& input,
                                           Micros local,
                                           RouteDecision* decision) {
  // A caller waits for the link twice, and the body has to cross it.
  auto cost = [&](const RemoteOption& it) {
    return it.first_token + 2 * it.delay + link_.TransferTime(input.body_bytes);
  };
  std::optional<size_t> best;
  for (size_t i = 0; i < input.remote.size(); ++i) {
    if (!best || cost(input.remote[i]) < cost(input.remote[*best])) {
      best = i;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  const RemoteOption& option = input.remote[*best];
  decision->predicted_remote = cost(option);
  bool hopeless = local > AllowedTime(input);
  bool allowed = away_.Allows(option.region, local, decision->predicted_remote,
                              input.target, hopeless, option.returned,
                              input.now, &random_);
  if (!allowed || !link_.TryTake(option.region, input.body_bytes, input.now)) {
    return std::nullopt;
  }
  return best;
}

RouteDecision Router::Route(const RouteInput& input) {
  std::lock_guard lock(mutex_);
  RouteDecision decision;
  decision.predicted_remote = kNever;
  link_.SetInstances(std::max<size_t>(1, input.instances));
  CrowdModel crowd{static_cast<double>(input.instances), settings_.crowd_share};
  ChoiceInput choice_input{input.local, input.prompt, crowd, input.prefix_hash};
  std::optional<Choice> choice = chooser_->Choose(choice_input, &random_);
  decision.predicted_local = choice ? choice->predicted : kNever;
  if (input.may_forward && !input.remote.empty()) {
    std::optional<size_t> remote =
        ChooseRemote(input, decision.predicted_local, &decision);
    if (remote) {
      decision.kind = RouteKind::kRemote;
      decision.index = *remote;
      return decision;
    }
  }
  if (!choice) {
    decision.refusal = ResultCode::kNoUpstream;
    decision.retry_after = kMinRetryAfter;
    return decision;
  }
  Micros allowed = AllowedTime(input);
  if (choice->predicted > allowed) {
    decision.refusal = ResultCode::kDeadlineTooShort;
    decision.retry_after = RetryAfter(choice->predicted, allowed);
    return decision;
  }
  decision.kind = RouteKind::kLocal;
  decision.index = choice->index;
  decision.cached_tokens = input.local[choice->index].cached_tokens;
  return decision;
}

}  // namespace basilvalve::routing
