#include "Core/Routing/router.h"

#include <algorithm>
#include <limits>

namespace basilvalve::routing {
namespace {

// Predicted time where no upstream is available; larger than any real
// prediction.
constexpr Micros kUnservable{std::numeric_limits<int64_t>::max() / 4};
constexpr Millis kMinRetryAfter{200};
constexpr Millis kMaxRetryAfter{10000};

Millis RetryAfter(Micros predicted, Micros allowed) {
  if (predicted >= kUnservable) {
    return kMaxRetryAfter;
  }
  auto excess = std::chrono::duration_cast<Millis>(predicted - allowed);
  return std::clamp(excess, kMinRetryAfter, kMaxRetryAfter);
}

std::string FormatMillis(Micros time) {
  return time >= kUnservable ? "none"
                             : std::to_string(time.count() / 1000) + "ms";
}

}  // namespace

std::string RouteDecision::Reason() const {
  return "local=" + FormatMillis(predicted_local) +
         " remote=" + FormatMillis(predicted_remote) + " cached_tokens=" +
         std::to_string(static_cast<int64_t>(cached_tokens));
}

Router::Router(const RoutingSettings& settings, uint64_t seed)
    : settings_(settings),
      random_(seed),
      chooser_(CreateChooser(settings.chooser)),
      forwarding_(settings.forwarding),
      link_(settings.link) {}

Micros Router::MaxPredictedTime(const RouteInput& input) const {
  return Micros(
      static_cast<int64_t>(static_cast<double>(input.remaining.count()) *
                           settings_.max_deadline_fraction));
}

std::optional<size_t> Router::ChooseRemote(const RouteInput& input,
                                           Micros local,
                                           RouteDecision* decision) {
  // The predicted time includes a round trip over the link and the transfer of
  // the request body.
  auto cost = [&](const RemoteOption& it) {
    return it.predicted_first_token + 2 * it.link_delay +
           link_.TransferTime(input.body_bytes);
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
  bool local_misses_deadline = local > MaxPredictedTime(input);
  bool allowed = forwarding_.Allows(
      option.region, local, decision->predicted_remote, input.target,
      local_misses_deadline, option.reconnected_at, input.now, &random_);
  if (!allowed || !link_.TryTake(option.region, input.body_bytes, input.now)) {
    return std::nullopt;
  }
  return best;
}

RouteDecision Router::Route(const RouteInput& input) {
  std::lock_guard lock(mutex_);
  RouteDecision decision;
  decision.predicted_remote = kUnservable;
  link_.SetInstances(std::max<size_t>(1, input.instances));
  PeerLoadModel peer_load{static_cast<double>(input.instances),
                          settings_.peer_load_share};
  ChoiceInput choice_input{input.local, input.prompt, peer_load,
                           input.prefix_hash};
  std::optional<Choice> choice = chooser_->Choose(choice_input, &random_);
  decision.predicted_local = choice ? choice->predicted : kUnservable;
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
  Micros allowed = MaxPredictedTime(input);
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
