#include "Core/Edge/exchange.h"

#include <algorithm>

#include "Core/Common/log.h"
#include "Core/Edge/attempt_steps.h"
#include "Core/Edge/call_log.h"
#include "Core/Edge/hedge_planner.h"
#include "Core/Edge/message_serializer.h"
#include "Core/Edge/response_classifier.h"

namespace basilvalve::edge {
namespace {

// Several upstreams may be down at once, and a failed connect only costs time.
constexpr int kMaxFailedConnects = 4;
// Leaves time for a rejection by the peer instance to arrive before this call's
// own deadline.
constexpr Millis kForwardingMargin{60};
constexpr Millis kRegionForwardingMargin{5};
// Retry-After for calls that were not executed for a reason other than load;
// they can be retried soon.
constexpr Millis kNotRunRetryAfter{200};
// Longest Retry-After of calls with a blocked prompt part.
constexpr Millis kMaxBlockedRetryAfter{60'000};
// A timer this late shows that this process did not run, and so could not
// have received anything.
constexpr Millis kLateTimer{200};
// Less than a round trip within the region: a retry could not finish.
constexpr Millis kMinRetryTime{20};
// Instances of the region that are asked one after the other before the call is
// refused; each of them knows the load of its upstreams.
constexpr size_t kMaxTriedDispatchers = 2;
// Events after which an upstream has got past the start of its response.
constexpr uint64_t kStartEvents = 2;
constexpr AttemptNumber kFirstAttempt(0);

// Response bodies are buffered up to this size if the response states its
// length, else up to the second one, since such a body may never end.
constexpr size_t kMaxSizedBodyBytes = size_t{16} * 1024 * 1024;
constexpr size_t kMaxUnsizedBodyBytes = size_t{1024} * 1024;

// A larger body is written without a copy, a smaller one together with its
// head.
constexpr size_t kMinOwnedBytes = size_t{64} * 1024;

size_t MaxBufferedBytes(const net::MessageHead& head) {
  return head.content_length ? kMaxSizedBodyBytes : kMaxUnsizedBodyBytes;
}

}  // namespace

Exchange::Exchange(EdgeComponents* components,
                   net::ServerConnection::Ptr caller,
                   net::ServerRequest request, CallParams params,
                   CallContext context, EndedFn on_ended)
    : components_(components),
      caller_(std::move(caller)),
      request_(std::move(request)),
      request_memory_(caller_->TakeRequestMemory()),
      params_(std::move(params)),
      context_(std::move(context)),
      on_ended_(std::move(on_ended)),
      deadline_timer_(components->loop),
      silence_timer_(components->loop),
      response_deadline_(request_.arrived +
                         std::min(context_.time_left, context_.route->timeout)),
      caller_deadline_(request_.arrived + context_.time_left),
      target_deadline_(request_.arrived + context_.target_left),
      hedge_timer_(components->loop),
      hedge_({components, &params_, &progress_, &runs_,
              [this] { OnHedgeWon(); }}) {}

void Exchange::Start() {
  caller_->SetDisconnectHandler([weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnCallerDisconnected();
    }
  });
  ArmDeadlineTimer();
  if (!context_.is_from_peer) {
    components_->retry_budget->OnRequest(context_.service,
                                         components_->loop->Now());
  }
  Dispatch();
}

CallPlan Exchange::Plan() {
  progress_.time_to_deadline = TimeLeft();
  // The first event of a resumed stream has been sent; only its end counts.
  progress_.time_to_target = context_.is_resumed
                                 ? progress_.time_to_deadline
                                 : target_deadline_ - components_->loop->Now();
  return PlanCall(components_, context_, params_, progress_);
}

bool Exchange::IsUnwanted() {
  // A caller may have closed its side only and wait; an instance never does.
  bool may_still_wait = !context_.is_from_peer &&
                        context_.route->kind == flow::CallKind::kNonIdempotent;
  return !may_still_wait && caller_->HasPeerClosed();
}

void Exchange::Dispatch() {
  if (TimeLeft() <= Millis::zero()) {
    OnDeadline();
    return;
  }
  if (IsUnwanted()) {
    OnCallerDisconnected();
    return;
  }
  Execute(Plan());
}

void Exchange::Execute(const CallPlan& plan) {
  const flow::DispatchDecision& decision = plan.decision;
  if (plan.blocked) {
    if (decision.kind != flow::DispatchKind::kLocal ||
        IsForwardedTo(*plan.local)) {
      RefuseBlocked(*plan.blocked);
      return;
    }
    components_->poison_guard->OnProbe(params_, plan.blocked->part);
  }
  switch (decision.kind) {
    case flow::DispatchKind::kLocal:
      if (IsForwardedTo(*plan.local)) {
        SendToOwner(
            *components_->dispatchers->OwnerOf(plan.local->upstream->record),
            *plan.local);
      } else {
        SendToUpstream(*plan.local);
      }
      return;
    case flow::DispatchKind::kRemote:
      SendToRegion(decision.region);
      return;
    case flow::DispatchKind::kRefuse:
      break;
  }
  LogCallRejected(params_, context_, progress_, decision);
  components_->hedges->OnRefusal(context_.service);
  if (runs_.MayHaveRun()) {
    SendFailure(502, {}, "no_upstream_left");
    return;
  }
  SendFailure(503, decision.retry_after, "no_capacity");
}

void Exchange::RefuseBlocked(const flow::BlockedPart& blocked) {
  LogCallBlocked(params_, progress_, blocked);
  components_->metrics->CountBlockedCall();
  if (runs_.MayHaveRun()) {
    SendFailure(502, {}, "part_blocked");
    return;
  }
  SendFailure(503,
              std::clamp(std::chrono::ceil<Millis>(blocked.time_left),
                         kNotRunRetryAfter, kMaxBlockedRetryAfter),
              "part_blocked");
}

void Exchange::SendToUpstream(const flow::Placement& placement) {
  attempt_ = Attempt::ToUpstream(components_, placement, context_.service,
                                 params_.size, context_.traits);
  components_->metrics->CountSend("here");
  PrepareHedge();
  BeginAttempt(components_->upstream_pool->Take(
                   attempt_.endpoint, !IsRetryable(), KeyOf(params_.id)),
               RequestFor(placement));
}

std::string Exchange::RequestFor(const flow::Placement& placement) {
  SendParams params;
  if (placement.prompt_source) {
    params.prompt_source = net::Endpoint{placement.prompt_source->record.host,
                                         placement.prompt_source->record.port};
  }
  params.expected_upstream = placement.upstream->record.id;
  params.time_left = TimeLeft();
  params.urgency = UrgencyOf(context_);
  params.hides_identity = context_.hides_identity;
  if (context_.workspace) {
    params.workspace = context_.workspace->name;
  }
  params.resume_after = ResumeAfter();
  return SerializeRequest(request_, *components_->dialect, params, {});
}

void Exchange::PrepareHedge() {
  if (progress_.sends > 0 ||
      !components_->hedges->IsEligible(context_, params_)) {
    return;
  }
  components_->hedges->OnFirstSend(context_.service);
  Micros delay = components_->hedges->DelayOf(context_);
  Instant due = components_->loop->Now() + delay;
  hedge_timer_.Set(delay, [weak = weak_from_this(), due] {
    if (auto self = weak.lock()) {
      self->OnHedgeDue(due);
    }
  });
}

void Exchange::OnHedgeDue(Instant due) {
  Instant now = components_->loop->Now();
  bool is_waiting = !is_finished_ && attempt_.is_active && attempt_.upstream &&
                    attempt_.head.status == 0;
  bool is_own_stall = now - due > kLateTimer;
  if (!is_waiting || is_own_stall || IsUnwanted()) {
    return;
  }
  progress_.time_to_deadline = TimeLeft();
  progress_.time_to_target = target_deadline_ - now;
  auto placement = components_->hedges->Choose(
      context_, params_, progress_, attempt_.upstream->record.id, MayRetry());
  if (!placement) {
    return;
  }
  Attempt hedge = Attempt::ToUpstream(components_, *placement, context_.service,
                                      params_.size, context_.traits);
  LogHedge(params_, context_.service, attempt_.endpoint, hedge.endpoint,
           now - attempt_.sent_at);
  components_->metrics->CountSend("here");
  components_->metrics->CountHedge("sent");
  hedge_.Send(std::move(hedge), RequestFor(*placement));
}

void Exchange::OnHedgeWon() {
  components_->metrics->CountHedge("won");
  if (attempt_.number == kFirstAttempt && !attempt_.has_first_byte &&
      IsUpstreamTime(attempt_.sent_at)) {
    components_->hedges->OnFirstByte(
        context_.service, components_->loop->Now() - attempt_.sent_at);
  }
  CancelAttempt();
  AdoptHedge();
  OnFirstByte();
}

bool Exchange::AdoptHedge() {
  if (!hedge_.is_active()) {
    return false;
  }
  progress_.tried_upstreams.insert(attempt_.upstream->record.id);
  attempt_ = hedge_.HandOver(this);
  attempt_.body_memory = net::MemoryReservation(components_->memory);
  ArmSilenceTimer(SilenceLimit());
  return true;
}

bool Exchange::IsForwardedTo(const flow::Placement& placement) const {
  return params_.size.IsModelCall() && !context_.is_last_hop &&
         components_->dispatchers->is_exclusive() &&
         !components_->dispatchers->Owns(placement.upstream->record);
}

void Exchange::SendToOwner(const flow::InstanceRecord& owner,
                           const flow::Placement& placement) {
  HopParams hop;
  hop.is_last_hop = true;
  hop.can_sender_retry =
      IsRetryable() && runs_.possible_runs() + 1 < context_.route->max_attempts;
  hop.suggested_upstream = placement.upstream->record.id;
  placement.upstream->forwarded_load.Add(
      {1, placement.prefill_tokens,
       params_.size.tokens_in + params_.size.tokens_out});
  components_->registry->OnSend(context_.service, components_->loop->Now());
  components_->metrics->CountSend("owner");
  SendToPeer(owner, std::move(hop), kRegionForwardingMargin);
}

void Exchange::SendToRegion(const RegionId& region) {
  std::vector<flow::InstanceRecord> live =
      components_->fleet->LiveInstances(region, components_->loop->Now());
  std::erase_if(live, [](const auto& record) { return record.is_draining; });
  if (live.empty()) {
    progress_.tried_regions.insert(region);
    Dispatch();
    return;
  }
  components_->fleet->OnForwarded(
      region, context_.service,
      params_.size.parts.empty() ? 0 : params_.size.parts.back().tokens,
      components_->registry->PlainSlotTimeOf(context_.service,
                                             components_->loop->Now()));
  components_->metrics->CountSend("away");
  SendToPeer(live[components_->random->Below(live.size())], HopParams(),
             kForwardingMargin);
}

void Exchange::SendToPeer(const flow::InstanceRecord& peer, HopParams hop,
                          Millis margin) {
  Instant now = components_->loop->Now();
  auto endpoint = net::Endpoint::Parse(peer.peer_address);
  if (!endpoint) {
    progress_.tried_dispatchers.insert(peer.id);
    LogEvent(LogLevel::kWarn, "edge", "peer_address_invalid")
        .With("peer", peer.id.value())
        .With("error", endpoint.error().message);
    components_->fleet->OnUnreachable(peer.id, now);
    // Assigns the roles anew, so that `peer` may no longer exist afterwards.
    components_->on_peer_unreachable();
    Dispatch();
    return;
  }
  attempt_ = Attempt::ToPeer(peer, *endpoint);
  attempt_.suggested_upstream = hop.suggested_upstream;
  const flow::Route& route = *context_.route;
  hop.is_resumed = stream_started_ || context_.is_resumed;
  hop.service = context_.service;
  hop.kind = route.kind;
  hop.is_resumable = route.is_resumable;
  hop.priority = route.priority;
  if (context_.workspace) {
    hop.workspace = context_.workspace->name;
    hop.workspace_priority = context_.workspace->priority;
  }
  // Once a stream has started, no rejection can follow, so that the margin
  // would only cut its end.
  hop.time_left =
      std::max(Millis(1), IsStream() ? TimeLeft() : TimeLeft() - margin);
  hop.response_time_left =
      std::chrono::floor<Millis>(response_deadline_ - now) - margin;
  hop.target_left = std::chrono::floor<Millis>(target_deadline_ - now);
  hop.event_interval_target = route.event_interval_target;
  SendParams params;
  params.time_left = hop.time_left;
  params.hides_identity = context_.hides_identity;
  params.resume_after = ResumeAfter();
  std::string bytes = SerializeRequest(request_, *components_->dialect, params,
                                       FormatHopHeader(hop));
  if (peer.region != components_->fleet->self().region) {
    components_->metrics->CountCrossRegionBytes(bytes.size());
  }
  BeginAttempt(components_->peer_pool->Take(attempt_.endpoint, !IsRetryable(),
                                            KeyOf(params_.id)),
               std::move(bytes));
}

void Exchange::BeginAttempt(std::shared_ptr<net::ClientConnection> connection,
                            std::string bytes) {
  // However the last attempt ended, this one starts at an event boundary.
  splitter_.DropPartial();
  attempt_.events_before = splitter_.events();
  attempt_.body_memory = net::MemoryReservation(components_->memory);
  ++progress_.sends;
  attempt_.number = runs_.OnAttempt();
  SendAttempt(components_, &attempt_, std::move(connection), std::move(bytes),
              KeyOf(params_.id), this);
  ArmSilenceTimer(SilenceLimit());
}

bool Exchange::OnHead(const net::MessageHead& head) {
  if (!ReadHead(components_, params_, &attempt_, head)) {
    return false;
  }
  if (!attempt_.peer_outcome && !attempt_.not_run_proof && !IsStream() &&
      !attempt_.has_first_byte) {
    OnFirstByte();
  }
  if (head.content_length > kMaxSizedBodyBytes && !IsStreamForwarded()) {
    AbandonResponse("response_too_large");
    return true;
  }
  if (IsWinningHead(attempt_)) {
    hedge_.Cancel();
  }
  return true;
}

std::string Exchange::HopLines() const {
  if (!context_.is_from_peer || !attempt_.is_leaving) {
    return "";
  }
  return std::string(kHopLeavingHeader) + ": " +
         FormatHopLeaving(
             {attempt_.upstream->record.id, attempt_.notice->started_at_ms()}) +
         "\r\n";
}

bool Exchange::IsUnsentTo(const flow::Upstream& upstream) const {
  return (attempt_.is_active && attempt_.upstream.get() == &upstream &&
          !attempt_.connection->has_sent()) ||
         hedge_.IsUnsentTo(upstream);
}

void Exchange::WithdrawUnsent(const flow::Upstream& upstream) {
  if (is_finished_ || !IsUnsentTo(upstream)) {
    return;
  }
  auto self = shared_from_this();
  components_->metrics->CountWithdrawn();
  --progress_.sends;
  if (hedge_.IsUnsentTo(upstream)) {
    hedge_.Cancel();
    return;
  }
  CancelAttempt();
  if (!AdoptHedge()) {
    Dispatch();
  }
}

bool Exchange::IsWaitingWith(flow::PromptPartId part) const {
  if (is_finished_ || !attempt_.is_active || !attempt_.upstream ||
      attempt_.has_first_byte) {
    return false;
  }
  std::vector<flow::PromptPartId> parts = flow::SharedPartsOf(params_.size);
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

void Exchange::WithdrawBlocked(flow::PromptPartId part) {
  if (!IsWaitingWith(part)) {
    return;
  }
  auto self = shared_from_this();
  CancelAttempt();
  RefuseBlocked({part, Micros(0), /*is_probe_due=*/false});
}

bool Exchange::IsUpstreamTime(Instant since) const {
  components_->pauses->OnReceived(components_->loop->Now());
  return attempt_.listening_since <= since &&
         !components_->pauses->MayContainPause(since);
}

void Exchange::OnFirstByte() {
  Instant now = components_->loop->Now();
  attempt_.has_first_byte = true;
  components_->metrics->ObserveFirstByte(now - request_.arrived);
  if (!attempt_.upstream) {
    return;
  }
  if (IsUpstreamTime(attempt_.sent_at)) {
    LearnFirstByte(now);
  }
  attempt_.OnPrefillDone();
  attempt_.upstream->breaker.OnSuccess();
}

void Exchange::LearnFirstByte(Instant now) {
  if (attempt_.number == kFirstAttempt &&
      components_->hedges->IsEligible(context_, params_)) {
    components_->hedges->OnFirstByte(context_.service, now - attempt_.sent_at);
  }
  // Learn the prefill speed only if no other prompts were queued ahead:
  // otherwise it is unknown how much of them was processed before this call
  // arrived.
  if (params_.size.IsModelCall() &&
      attempt_.forecast.queued_prefill_tokens == 0) {
    components_->registry->LearnPrefillSpeed(
        context_.service, attempt_.forecast.own_prefill_tokens,
        now - attempt_.sent_at, now, attempt_.upstream->slowness.At(now));
  }
  attempt_.LearnServiceTime(components_->registry, params_.size, now);
}

void Exchange::OnPastStart() {
  if (attempt_.upstream && !std::exchange(attempt_.is_past_start, true)) {
    components_->poison_guard->OnSurvival(params_);
  }
}

bool Exchange::MayHaveCrashed() const {
  return attempt_.upstream && !attempt_.is_past_start &&
         params_.size.IsModelCall();
}

void Exchange::OnBody(std::string_view bytes) {
  if (attempt_.upstream) {
    attempt_.upstream->last_received_at = components_->loop->Now();
  } else if (attempt_.region != components_->fleet->self().region) {
    components_->metrics->CountCrossRegionBytes(bytes.size());
  }
  if (IsStreamForwarded()) {
    ForwardStream(bytes);
    return;
  }
  attempt_.last_event_at = components_->loop->Now();
  attempt_.body_bytes += bytes.size();
  if (attempt_.body_bytes > MaxBufferedBytes(attempt_.head)) {
    AbandonResponse("response_too_large");
    return;
  }
  if (!attempt_.IsUsable()) {
    return;
  }
  if (!attempt_.body_memory.TryResize(attempt_.body_bytes)) {
    AbandonResponse("memory_low");
    return;
  }
  if (attempt_.body.empty() && attempt_.head.content_length) {
    // A string that grows is copied into one of twice the size.
    attempt_.body.reserve(*attempt_.head.content_length);
  }
  attempt_.body.append(bytes);
}

void Exchange::AbandonResponse(std::string_view reason) {
  LogEvent(LogLevel::kWarn, "edge", "response_abandoned")
      .With("request", params_.id.value())
      .With("from", attempt_.endpoint.Text())
      .With("reason", reason);
  auto self = shared_from_this();
  attempt_.connection->Close();
  OnError(net::ClientError::kMalformedResponse);
}

void Exchange::ForwardStream(std::string_view bytes) {
  uint64_t before = splitter_.events();
  std::string events = splitter_.Feed(bytes);
  if (splitter_.is_oversized()) {
    AbandonResponse("event_too_large");
    return;
  }
  if (events.empty()) {
    return;
  }
  Instant now = components_->loop->Now();
  if (!attempt_.has_first_byte) {
    OnFirstByte();
  } else if (attempt_.upstream && IsUpstreamTime(attempt_.last_event_at)) {
    double tokens = static_cast<double>(splitter_.events() - before) *
                    std::max(1U, context_.traits.tokens_per_event);
    double time_per_token_us =
        static_cast<double>((now - attempt_.last_event_at).count()) / tokens;
    components_->registry->LearnTimePerToken(*attempt_.upstream,
                                             time_per_token_us, now);
  }
  attempt_.last_event_at = now;
  if (splitter_.events() - attempt_.events_before >= kStartEvents) {
    OnPastStart();
  }
  if (!stream_started_) {
    StartStream(attempt_.head);
  }
  WriteChunk(events);
  if (!caller_->is_write_buffer_full()) {
    return;
  }
  attempt_.connection->Pause();
  caller_->SetWritableHandler([weak = weak_from_this()] {
    auto self = weak.lock();
    if (self && self->attempt_.connection) {
      self->attempt_.listening_since = self->components_->loop->Now();
      self->attempt_.connection->Resume();
    }
  });
}

void Exchange::WriteChunk(std::string_view bytes) {
  if (context_.is_from_peer) {
    // A connection between instances that breaks while a link is cut may lose
    // bytes and deliver later ones.
    caller_->Write(net::EncodeChunkAt(bytes, stream_bytes_));
  } else {
    caller_->Write(bytes.empty() ? std::string(net::kLastChunk)
                                 : net::EncodeChunk(bytes));
  }
  stream_bytes_ += bytes.size();
}

void Exchange::StartStream(const net::MessageHead& head) {
  stream_started_ = true;
  stream_keeps_alive_ = KeepsAlive();
  caller_->Write(SerializeChunkedHead(head, *components_->dialect, HopLines(),
                                      stream_keeps_alive_));
}

void Exchange::OnDone() {
  auto self = shared_from_this();
  attempt_.ReleaseLoad();
  attempt_.is_active = false;
  silence_timer_.Cancel();
  ConnectionPool* pool =
      attempt_.upstream ? components_->upstream_pool : components_->peer_pool;
  pool->Put(attempt_.endpoint, std::exchange(attempt_.connection, nullptr));
  if (is_finished_) {
    on_ended_(this);
    return;
  }
  if (attempt_.peer_outcome) {
    OnPeerFailed();
  }
  Classification classification = ClassifyResponse(
      {attempt_.head.status, attempt_.peer_outcome,
       attempt_.not_run_proof.has_value(), attempt_.is_unverified, IsStream(),
       stream_started_, splitter_.has_partial()});
  bool ends_with_connection =
      !attempt_.head.content_length && !attempt_.head.chunked;
  if (classification.verdict != ResponseVerdict::kNotRun) {
    bool is_success =
        classification.verdict == ResponseVerdict::kForward ||
        classification.verdict == ResponseVerdict::kStreamComplete;
    attempt_.RecordResult(/*has_failed=*/!is_success, components_->loop->Now());
    // A response that ends with its connection may have been cut by a crash.
    if (is_success && !ends_with_connection &&
        attempt_.head.status / 100 == 2) {
      OnPastStart();
    } else if (is_success && ends_with_connection && MayHaveCrashed()) {
      PoisonGuard* guard = components_->poison_guard;
      guard->OnConnectionLost(attempt_.upstream, params_,
                              [guard, params = params_](bool has_crashed) {
                                if (!has_crashed) {
                                  guard->OnSurvival(params);
                                }
                              });
    }
  }
  switch (classification.verdict) {
    case ResponseVerdict::kNotRun:
      if (attempt_.upstream) {
        attempt_.upstream->breaker.OnNeutral();
      }
      OnNotRun(*attempt_.not_run_proof, classification.reason);
      return;
    case ResponseVerdict::kMayHaveRun:
      if (ends_with_connection && MayHaveCrashed()) {
        OnMayHaveCrashed(classification.reason);
        return;
      }
      OnMayHaveRun(classification.reason);
      return;
    case ResponseVerdict::kUpstreamError:
      OnUpstreamError();
      return;
    case ResponseVerdict::kStreamComplete:
      CompleteStream();
      return;
    case ResponseVerdict::kForward:
      ForwardResponse();
      return;
  }
}

void Exchange::OnUpstreamError() {
  if (attempt_.upstream && !attempt_.has_first_byte) {
    attempt_.upstream->breaker.OnFailure(components_->loop->Now());
  }
  if (AdoptHedge() || (IsRetryable() && TryRetry("upstream_error"))) {
    return;
  }
  // The upstream did not say that it has not executed the call.
  if (PromisesNotRun(attempt_.head.status)) {
    OnMayHaveRun("unexplained_refusal");
    return;
  }
  ForwardResponse();
}

void Exchange::CompleteStream() {
  if (!stream_started_) {
    StartStream(attempt_.head);
  }
  components_->registry->LearnOutput(
      context_.service, context_.route->priority,
      static_cast<double>(splitter_.events()) *
          std::max(1U, context_.traits.tokens_per_event));
  WriteChunk("");
  caller_->EndResponse(stream_keeps_alive_);
  Finish("done", attempt_.head.status, "streamed");
}

void Exchange::ForwardResponse() {
  bool keep = KeepsAlive();
  std::string body;
  if (request_.head.method != "HEAD") {
    body = std::move(attempt_.body);
  }
  // From here on, the caller's connection holds the bytes.
  attempt_.body_memory.Release();
  std::string head = SerializeSizedHead(attempt_.head, *components_->dialect,
                                        HopLines(), body.size(), keep);
  if (body.size() < kMinOwnedBytes) {
    caller_->Write(head.append(body));
  } else {
    caller_->Write(head);
    caller_->WriteOwned(std::move(body));
  }
  caller_->EndResponse(keep);
  Finish("done", attempt_.head.status, "answered");
}

void Exchange::OnError(net::ClientError client_error) {
  auto self = shared_from_this();
  silence_timer_.Cancel();
  auto [unsent, is_stale] = FailAttempt(components_, params_, &attempt_);
  bool may_have_crashed = !unsent &&
                          client_error == net::ClientError::kConnectionClosed &&
                          MayHaveCrashed();
  if (is_finished_) {
    if (may_have_crashed) {
      components_->poison_guard->OnConnectionLost(attempt_.upstream, params_,
                                                  {});
    }
    on_ended_(this);
    return;
  }
  if (unsent) {
    runs_.OnNotRun(attempt_.number, *unsent);
    if (AdoptHedge()) {
      return;
    }
    if (is_stale) {
      Dispatch();
      return;
    }
    ++failed_connects_;
    if (attempt_.upstream) {
      progress_.tried_upstreams.insert(attempt_.upstream->record.id);
    } else {
      OnPeerFailed();
    }
    if (failed_connects_ <= kMaxFailedConnects) {
      Dispatch();
      return;
    }
    SendFailure(runs_.MayHaveRun() ? 502 : 503, kNotRunRetryAfter,
                "no_connection");
    return;
  }
  if (attempt_.upstream) {
    progress_.tried_upstreams.insert(attempt_.upstream->record.id);
  } else {
    OnPeerFailed();
  }
  if (may_have_crashed) {
    OnMayHaveCrashed("connection_lost");
    return;
  }
  OnMayHaveRun(client_error == net::ClientError::kMalformedResponse
                   ? "answer_garbled"
                   : "connection_lost");
}

void Exchange::OnMayHaveCrashed(std::string_view reason) {
  bool is_suspected = IsRetryable() && MayRetry() &&
                      components_->poison_guard->IsSuspected(params_);
  if (!is_suspected) {
    components_->poison_guard->OnConnectionLost(attempt_.upstream, params_, {});
    OnMayHaveRun(reason);
    return;
  }
  components_->poison_guard->OnConnectionLost(
      attempt_.upstream, params_,
      [weak = weak_from_this(), reason = std::string(reason)](bool crashed) {
        auto self = weak.lock();
        if (!self || self->is_finished_) {
          return;
        }
        if (crashed) {
          self->SendFailure(502, {}, "upstream_crashed");
          return;
        }
        self->OnMayHaveRun(reason);
      });
}

bool Exchange::MayRetry() const {
  return runs_.possible_runs() < context_.route->max_attempts &&
         TimeLeft() > kMinRetryTime;
}

bool Exchange::ConsumeRetry(std::string_view reason) {
  Instant now = components_->loop->Now();
  if (!components_->retry_budget->TryConsume(
          context_.service, components_->fleet->LiveCount(now), now)) {
    return false;
  }
  components_->metrics->CountRetry(reason);
  LogRetry(params_, reason, attempt_.endpoint, TimeLeft());
  return true;
}

bool Exchange::TryRetry(std::string_view reason) {
  if (!MayRetry() || !ConsumeRetry(reason)) {
    return false;
  }
  Dispatch();
  return true;
}

void Exchange::OnPeerFailed() {
  if (attempt_.region != components_->fleet->self().region) {
    progress_.tried_regions.insert(attempt_.region);
    return;
  }
  progress_.tried_dispatchers.insert(attempt_.peer);
  if (!attempt_.is_unsent_by_peer) {
    progress_.tried_upstreams.insert(attempt_.suggested_upstream);
  }
}

void Exchange::OnNotRun(NotRunProof proof, std::string_view reason) {
  runs_.OnNotRun(attempt_.number, proof);
  if (attempt_.upstream) {
    progress_.tried_upstreams.insert(attempt_.upstream->record.id);
  }
  if (AdoptHedge()) {
    return;
  }
  bool is_unsent = attempt_.is_unsent_by_peer &&
                   progress_.tried_dispatchers.size() < kMaxTriedDispatchers;
  if (is_unsent) {
    // No upstream was sent the call, so this is not a retry.
    Dispatch();
    return;
  }
  if (!attempt_.is_unsent_by_peer && TryRetry(reason)) {
    return;
  }
  SendFailure(runs_.MayHaveRun() ? 502 : 503,
              std::max({kNotRunRetryAfter, attempt_.peer_retry_after,
                        PauseRetryAfter(components_, context_.service)}),
              reason);
}

void Exchange::OnMayHaveRun(std::string_view reason) {
  if (AdoptHedge() || (IsRetryable() && TryRetry(reason))) {
    return;
  }
  SendFailure(502, {}, reason);
}

void Exchange::SendFailure(int status, Millis retry_after,
                           std::string_view reason) {
  if (stream_started_) {
    caller_->Abort();
    Finish("broken", status, reason);
    return;
  }
  std::optional<HopFailure> failure;
  if (context_.is_from_peer) {
    failure = {params_.id, status == 503 ? Outcome::kNotRun : Outcome::kUnknown,
               progress_.sends == 0};
  }
  bool keep = KeepsAlive();
  caller_->Write(
      SerializeFailure(status, retry_after, failure, HopLines(), keep));
  caller_->EndResponse(keep);
  Finish(status == 503 ? "not-run" : "unknown", status, reason);
}

void Exchange::ArmDeadlineTimer() {
  deadline_timer_.Set(response_deadline_ - components_->loop->Now(),
                      [weak = weak_from_this()] {
                        if (auto self = weak.lock()) {
                          self->OnDeadline();
                        }
                      });
}

void Exchange::OnDeadline() {
  if (is_finished_) {
    return;
  }
  Instant now = components_->loop->Now();
  if (stream_started_ && caller_deadline_ > now) {
    // The route's timeout limits the wait for a response. Once a stream has
    // started, only the caller's deadline applies.
    response_deadline_ = caller_deadline_;
    ArmDeadlineTimer();
    return;
  }
  if (attempt_.is_active && attempt_.upstream && !attempt_.has_first_byte &&
      IsUpstreamTime(attempt_.sent_at)) {
    attempt_.upstream->breaker.OnFailure(now);
  }
  GiveUp("time_limit");
}

void Exchange::GiveUp(std::string_view reason) {
  CancelAttempt();
  hedge_.Cancel();
  bool may_have_run = runs_.MayHaveRun();
  SendFailure(may_have_run ? 504 : 503,
              may_have_run ? Millis(0) : kNotRunRetryAfter, reason);
}

void Exchange::EndForShutdown() {
  if (!is_finished_) {
    GiveUp("instance_stops");
  } else if (attempt_.is_active) {
    CancelAttempt();
    on_ended_(this);
  }
}

void Exchange::ArmSilenceTimer(Micros delay) {
  if (!IsRetryable()) {
    return;
  }
  silence_due_ = components_->loop->Now() + delay;
  silence_timer_.Set(delay, [weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnSilenceTimeout();
    }
  });
}

Instant Exchange::LastActivity() const {
  Instant received =
      IsStream() ? attempt_.upstream->last_received_at : attempt_.last_event_at;
  return std::max(received, attempt_.listening_since);
}

bool Exchange::MaySenderResume() {
  Instant now = components_->loop->Now();
  if (!components_->retry_budget->HasRoom(
          context_.service, components_->fleet->LiveCount(now), now)) {
    return false;
  }
  progress_.time_to_deadline = progress_.time_to_target = TimeLeft();
  CallContext sender = context_;
  sender.is_last_hop = false;
  return PlanCall(components_, sender, params_, progress_).decision.kind !=
         flow::DispatchKind::kRefuse;
}

void Exchange::OnSilenceTimeout() {
  if (is_finished_ || !attempt_.is_active || !attempt_.upstream) {
    return;
  }
  Instant now = components_->loop->Now();
  bool is_own_stall = now - silence_due_ > kLateTimer;
  Micros silence = now - LastActivity();
  bool is_silent = silence >= SilenceLimit();
  ArmSilenceTimer(is_silent ? SilenceLimit() : SilenceLimit() - silence);
  if (!is_silent || is_own_stall || attempt_.connection->is_paused()) {
    return;
  }
  if (!std::exchange(attempt_.is_silence_recorded, true)) {
    attempt_.upstream->breaker.OnFailure(now);
    attempt_.RecordResult(/*has_failed=*/true, now);
  }
  progress_.tried_upstreams.insert(attempt_.upstream->record.id);
  if (hedge_.is_active()) {
    return;
  }
  if (context_.can_sender_retry) {
    if (!MaySenderResume()) {
      return;
    }
    CancelAttempt();
    SendFailure(runs_.MayHaveRun() ? 502 : 503, {}, "upstream_silent");
    return;
  }
  // A silent upstream may still answer, so it is given up only for another
  // one that the call is sure to be sent to.
  if (!MayRetry()) {
    return;
  }
  CallPlan plan = Plan();
  if (plan.decision.kind == flow::DispatchKind::kRefuse ||
      !ConsumeRetry("upstream_silent")) {
    return;
  }
  CancelAttempt();
  Execute(plan);
}

void Exchange::OnCallerDisconnected() {
  if (is_finished_) {
    return;
  }
  // A non-idempotent call that was sent runs to completion: its effect is
  // wanted, and cancelling it would leave the outcome unknown.
  if (context_.route->kind != flow::CallKind::kNonIdempotent ||
      (attempt_.is_active && !attempt_.connection->has_sent())) {
    CancelAttempt();
  }
  Finish("caller-gone", 0, "caller_gone");
  if (!attempt_.is_active) {
    return;
  }
  deadline_timer_.Set(response_deadline_ - components_->loop->Now(),
                      [weak = weak_from_this()] {
                        if (auto self = weak.lock()) {
                          self->CancelAttempt();
                          self->on_ended_(self.get());
                        }
                      });
}

void Exchange::CancelAttempt() {
  silence_timer_.Cancel();
  if (!attempt_.is_active) {
    return;
  }
  if (auto unsent = edge::CancelAttempt(components_, &attempt_)) {
    runs_.OnNotRun(attempt_.number, *unsent);
  }
}

void Exchange::Finish(std::string_view outcome, int status,
                      std::string_view reason) {
  is_finished_ = true;
  deadline_timer_.Cancel();
  silence_timer_.Cancel();
  hedge_timer_.Cancel();
  hedge_.Cancel();
  Instant now = components_->loop->Now();
  if (outcome == "not-run") {
    components_->quota_guard->OnNotRun(context_, now);
  }
  components_->metrics->CountCall(outcome, status);
  components_->metrics->ObserveTotal(now - request_.arrived);
  LogCallEnd(
      params_, context_, progress_,
      {outcome, status, reason, attempt_.endpoint, now - request_.arrived});
  if (!attempt_.is_active) {
    on_ended_(this);
  }
}

}  // namespace basilvalve::edge
