#include "Core/Gateway/call_runner.h"

#include <algorithm>

#include "Core/Common/hash.h"
#include "Core/Gateway/cluster_view.h"
#include "Core/Routing/prefix_index.h"

namespace basilvalve::gateway {
namespace {

constexpr size_t kMaxPrefixBlocks = 64;
// A retry with less time before the deadline is unlikely to complete.
constexpr Millis kMinTimeForRetry{50};

std::vector<uint32_t> HandlesOf(
    const std::vector<routing::Candidate>& candidates) {
  std::vector<uint32_t> handles;
  handles.reserve(candidates.size());
  for (const routing::Candidate& it : candidates) {
    handles.push_back(it.handle);
  }
  return handles;
}

/// The region's reported time to first token for a model; nullopt if the region
/// has no upstream for it.
std::optional<Micros> PredictedFirstToken(
    const membership::RegionSummary& summary, const ModelName& model) {
  for (const membership::ModelSummary& it : summary.models) {
    if (it.model == model && it.upstreams > 0) {
      return Millis(it.first_token_ms);
    }
  }
  return std::nullopt;
}

bool Contains(const std::vector<RegionId>& regions, const RegionId& region) {
  return std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

std::vector<routing::RemoteOption> CallRunner::RemoteOptions(
    const Call& call, const AttemptHistory& attempts) {
  std::vector<routing::RemoteOption> options;
  if (call.origin == CallOrigin::kOtherRegion) {
    return options;
  }
  document::RecordPtr latest_record = parts_->catalog->Find(call.service);
  for (const membership::RegionView& it : parts_->cluster->ReachableRegions()) {
    const RegionId& region = it.summary.region;
    bool forbidden =
        !call.record->document.Permits(region) ||
        (latest_record != nullptr && !latest_record->document.Permits(region));
    // An inconsistent membership view may list this region as a remote one,
    // which is no alternative to running the call here.
    bool excluded = forbidden || region == parts_->region ||
                    it.summary.contacts.empty() ||
                    Contains(attempts.tried_regions, region) ||
                    Contains(call.regions, region);
    if (excluded) {
      continue;
    }
    std::optional<Micros> first_token;
    if (call.is_model) {
      first_token = PredictedFirstToken(it.summary, call.model);
    } else if (std::find(it.summary.services.begin(), it.summary.services.end(),
                         call.service) != it.summary.services.end()) {
      first_token = Micros(0);
    }
    if (first_token) {
      options.push_back({region, *first_token,
                         Millis(parts_->settings->link_delay_ms),
                         it.reconnected_at});
    }
  }
  return options;
}

routing::RouteDecision CallRunner::RouteServiceCall(
    const Call& call, routing::RouteInput* input) {
  routing::RouteDecision decision;
  if (!input->local.empty()) {
    auto least_loaded =
        std::min_element(input->local.begin(), input->local.end(),
                         [](const auto& a, const auto& b) {
                           return a.own_in_flight < b.own_in_flight;
                         });
    decision.kind = routing::RouteKind::kLocal;
    decision.index = static_cast<size_t>(least_loaded - input->local.begin());
    return decision;
  }
  if (input->remote.empty()) {
    return decision;
  }
  // The home region is preferred because it holds the service's data.
  auto home_region = std::find_if(
      input->remote.begin(), input->remote.end(), [&](const auto& it) {
        return it.region == call.record->document.home_region;
      });
  decision.kind = routing::RouteKind::kRemote;
  decision.index =
      home_region == input->remote.end()
          ? 0
          : static_cast<size_t>(home_region - input->remote.begin());
  return decision;
}

routing::RouteDecision CallRunner::RouteCall(const Call& call,
                                             const AttemptHistory& attempts,
                                             routing::RouteInput* input) {
  Instant now = parts_->clock->Now();
  input->now = now;
  input->remote = RemoteOptions(call, attempts);
  if (!call.is_model) {
    input->local = parts_->upstreams->ServiceCandidates(
        call.service, attempts.tried_upstreams, now);
    return RouteServiceCall(call, input);
  }
  input->local = parts_->upstreams->ModelCandidates(
      call.model, attempts.tried_upstreams, now);
  std::vector<uint64_t> blocks =
      routing::HashPrefixBlocks(call.prompt, kMaxPrefixBlocks);
  std::vector<double> cached;
  parts_->prefix_index->Match(blocks, HandlesOf(input->local), &cached);
  for (size_t i = 0; i < input->local.size(); ++i) {
    input->local[i].cached_tokens = cached[i];
  }
  input->prompt.tokens =
      static_cast<double>(call.prompt.size()) / routing::kBytesPerToken;
  input->prefix_hash = blocks.empty() ? Hash64(call.prompt) : blocks.front();
  input->body_bytes = static_cast<double>(call.body.size());
  input->target = call.record->document.targets.first_token;
  input->remaining = call.Remaining(now);
  input->instances = parts_->cluster->Live().size();
  input->may_forward = call.origin != CallOrigin::kOtherRegion;
  routing::RouteDecision decision = parts_->router->Route(*input);
  if (decision.kind == routing::RouteKind::kLocal) {
    parts_->prefix_index->Insert(blocks, input->local[decision.index].handle);
    parts_->metrics->CountPromptTokens(
        static_cast<uint64_t>(input->prompt.tokens),
        static_cast<uint64_t>(decision.cached_tokens));
  }
  return decision;
}

CallResult CallRunner::RunAttempt(const Call& call, AttemptHistory* attempts,
                                  CallResponseSink* sink) {
  routing::RouteInput input;
  routing::RouteDecision decision = RouteCall(call, *attempts, &input);
  uint32_t attempt = ++attempts->started;
  if (decision.kind == routing::RouteKind::kRefuse) {
    parts_->journal->AddStep(call.id, "route", "refuse", decision.Reason());
    CallResult result = ResultFromError(
        MakeError(decision.refusal, "no upstream can serve the call in time"));
    result.retry_after = decision.retry_after;
    return result;
  }
  if (decision.kind == routing::RouteKind::kRemote) {
    const RegionId& region = input.remote[decision.index].region;
    attempts->tried_regions.push_back(region);
    std::optional<membership::MemberInfo> contact =
        parts_->cluster->PickContact(region, Hash64(call.id.value()));
    if (!contact) {
      return ResultFromError(
          MakeError(ResultCode::kNoUpstream,
                    "no instance of the chosen region is reachable"));
    }
    parts_->journal->AddStep(call.id, "route", "forward " + contact->id.value(),
                             decision.Reason());
    parts_->metrics->CountForwarded();
    return peers_->Run(call, *contact, peer::Purpose::kRun, attempt, sink);
  }
  // A document with stricter residency rules may have become active since the
  // filters ran.
  document::RecordPtr latest_record = parts_->catalog->Find(call.service);
  if (latest_record != nullptr &&
      !latest_record->document.Permits(parts_->region)) {
    parts_->journal->AddStep(call.id, "route", "refuse", "newer document");
    return ResultFromError(
        MakeError(ResultCode::kResidencyForbidden,
                  "a newer document does not permit this region"));
  }
  const routing::Candidate& chosen = input.local[decision.index];
  attempts->tried_upstreams.push_back(chosen.handle);
  parts_->journal->AddStep(call.id, "route",
                           "local " + std::to_string(chosen.handle),
                           decision.Reason());
  LocalRoute route{chosen.handle, decision.predicted_local,
                   std::max(0.0, input.prompt.tokens - chosen.cached_tokens)};
  return upstreams_->Run(call, route, attempt, sink);
}

bool CallRunner::TryAcquireRetry(const Call& call,
                                 const AttemptHistory& attempts,
                                 const CallResult& result,
                                 CallResponseSink* sink) {
  if (result.response_started || result.outcome == Outcome::kDone ||
      sink->ReceiverDisconnected()) {
    return false;
  }
  // A call that may have reached an upstream is retried only if it is
  // idempotent, and only by the instance that received it from the caller:
  // retries at two layers would multiply the attempts.
  bool known_not_run = result.outcome == Outcome::kNotRun;
  bool may_repeat = call.idempotent && call.origin == CallOrigin::kCaller;
  if (!known_not_run && !may_repeat) {
    return false;
  }
  // Other codes, such as a refusal by the service document, would recur on a
  // retry.
  bool retryable_code = result.code == ResultCode::kUpstreamFailed ||
                        result.code == ResultCode::kNoUpstream ||
                        result.code == ResultCode::kPeerLost ||
                        result.code == ResultCode::kPeerRefused ||
                        result.code == ResultCode::kOverloaded ||
                        result.code == ResultCode::kDraining ||
                        result.code == ResultCode::kNoDocument;
  bool time_left = call.Remaining(parts_->clock->Now()) > kMinTimeForRetry;
  bool attempts_left =
      attempts.started < static_cast<uint32_t>(parts_->settings->max_attempts);
  return retryable_code && time_left && attempts_left &&
         parts_->retry_budget->TryTake(call.service, parts_->clock->Now());
}

CallResult CallRunner::RunWithRetries(const Call& call,
                                      CallResponseSink* sink) {
  AttemptHistory attempts;
  parts_->retry_budget->OnFirstAttempt(call.service, parts_->clock->Now());
  while (true) {
    CallResult result = RunAttempt(call, &attempts, sink);
    attempts.any_outcome_unknown =
        attempts.any_outcome_unknown || result.outcome == Outcome::kUnknown;
    if (!TryAcquireRetry(call, attempts, result, sink)) {
      if (result.outcome == Outcome::kNotRun && attempts.any_outcome_unknown) {
        // An earlier attempt may have run the call even though the last one did
        // not.
        result.outcome = Outcome::kUnknown;
      }
      return result;
    }
    parts_->metrics->CountRetry();
    parts_->journal->AddStep(call.id, "retry", "again", result.message);
  }
}

CallResult CallRunner::Run(const Call& call, CallResponseSink* sink) {
  const document::ServiceDocument& document = call.record->document;
  Result<void> admitted = parts_->workspace_shares->Admit(
      document.workspace, document.limits.max_concurrent_calls);
  parts_->journal->AddStep(call.id, "admit", admitted ? "pass" : "refuse",
                           admitted ? "" : admitted.error().message);
  if (!admitted) {
    return ResultFromError(admitted.error());
  }
  CallResult result = RunWithRetries(call, sink);
  parts_->workspace_shares->Release(document.workspace);
  return result;
}

}  // namespace basilvalve::gateway
