#include "Core/Edge/exchange.h"

#include <algorithm>

#include "Core/Common/log.h"
#include "Core/Edge/call_log.h"
#include "Core/Edge/message_serializer.h"
#include "Core/Edge/response_classifier.h"

namespace basilvalve::edge {
namespace {

// Several upstreams may be gone at once; a failed connect costs only time.
constexpr int kMostFailedConnects = 4;
// Time for a passed-on call's refusal to come back before its own limit.
constexpr Millis kHopSlack{60};
// What did not run for a reason other than load may come back this soon.
constexpr Millis kUnrunRetryAfter{200};
// With less time left than a round trip in the region takes, no repeat helps.
constexpr Millis kLeastRepeatTime{20};

}  // namespace

Exchange::Exchange(EdgeParts* parts, net::ServerConnection::Ptr caller,
                   net::ServerRequest request, CallParams terms,
                   CallContract contract, EndedFn on_ended)
    : parts_(parts),
      caller_(std::move(caller)),
      request_(std::move(request)),
      terms_(std::move(terms)),
      contract_(std::move(contract)),
      on_ended_(std::move(on_ended)),
      limit_timer_(parts->loop),
      silence_timer_(parts->loop),
      limit_at_(request_.arrived +
                std::min(contract_.time_left, contract_.route->timeout)),
      patience_at_(request_.arrived + contract_.time_left),
      target_at_(request_.arrived + contract_.target_left) {}

void Exchange::Start() {
  caller_->SetGone([weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  ArmLimit();
  if (!contract_.is_from_peer) {
    parts_->allowance->OnRequest(contract_.service, parts_->loop->Now());
  }
  Place();
}

CallPlan Exchange::Plan() {
  progress_.to_target = target_at_ - parts_->loop->Now();
  progress_.to_limit = TimeLeft();
  return PlanCall(parts_, contract_, terms_, progress_);
}

void Exchange::Place() {
  if (TimeLeft() <= Millis::zero()) {
    OnLimit();
    return;
  }
  CallPlan plan = Plan();
  const flow::DispatchDecision& verdict = plan.verdict;
  switch (verdict.kind) {
    case flow::DispatchKind::kLocal:
      SendHere(*plan.local);
      return;
    case flow::DispatchKind::kRemote:
      SendAway(verdict.region);
      return;
    case flow::DispatchKind::kRefuse:
      break;
  }
  LogNoRoom(terms_, contract_, progress_, verdict);
  if (runs_ > 0) {
    AnswerFailure(502, {}, "no_upstream_left");
    return;
  }
  AnswerFailure(503, verdict.retry_after, "no_room");
}

void Exchange::SendHere(const flow::Placement& placement) {
  attempt_ = Attempt::Here(parts_, placement, contract_.service, terms_.size,
                           contract_.traits);
  SendParams terms;
  if (placement.prompt_source) {
    terms.prompt_source = net::Endpoint{placement.prompt_source->record.host,
                                        placement.prompt_source->record.port};
  }
  terms.expected_upstream = placement.upstream->record.id;
  terms.time_left = TimeLeft();
  terms.urgency = UrgencyOf(*contract_.route);
  terms.resume_after = ResumeAfter();
  parts_->metrics->CountSend("here");
  BeginAttempt(parts_->upstream_pool->Take(attempt_.endpoint, !IsRepeatable()),
               RequestText(request_, *parts_->dialect, terms, {}));
}

void Exchange::SendAway(const RegionId& region) {
  Instant now = parts_->loop->Now();
  std::vector<flow::InstanceRecord> live =
      parts_->fleet->LiveInstances(region, now);
  std::erase_if(live, [](const auto& record) { return record.is_draining; });
  if (live.empty()) {
    progress_.tried_regions.insert(region);
    Place();
    return;
  }
  const flow::InstanceRecord& peer = live[parts_->random->Below(live.size())];
  auto endpoint = net::Endpoint::Parse(peer.peer);
  if (!endpoint) {
    parts_->fleet->OnUnreachable(peer.id);
    LogEvent(LogLevel::kWarn, "edge", "peer_unusable")
        .With("peer", peer.id.value())
        .With("why", endpoint.error().message);
    Place();
    return;
  }
  attempt_ = Attempt::Away(peer, *endpoint);
  parts_->fleet->OnForwarded(
      region, contract_.service,
      terms_.size.parts.empty() ? 0 : terms_.size.parts.back().tokens);
  const flow::Route& route = *contract_.route;
  HopTerms hop;
  hop.service = contract_.service;
  hop.kind = route.kind;
  hop.is_resumable = route.is_resumable;
  hop.priority = route.priority;
  hop.time_left = std::max(Millis(1), TimeLeft() - kHopSlack);
  hop.answer_left = std::chrono::floor<Millis>(limit_at_ - now) - kHopSlack;
  hop.target_left = std::chrono::floor<Millis>(target_at_ - now);
  hop.pause_target = route.pause_target;
  SendParams terms;
  terms.time_left = hop.time_left;
  terms.resume_after = ResumeAfter();
  parts_->metrics->CountSend("away");
  std::string bytes =
      RequestText(request_, *parts_->dialect, terms, FormatHopHeader(hop));
  parts_->metrics->CountRegionBytes(bytes.size());
  BeginAttempt(parts_->peer_pool->Take(attempt_.endpoint, !IsRepeatable()),
               std::move(bytes));
}

void Exchange::BeginAttempt(std::shared_ptr<net::ClientConnection> connection,
                            std::string bytes) {
  attempt_.is_active = true;
  attempt_.sent_at = parts_->loop->Now();
  attempt_.event_at = attempt_.sent_at;
  attempt_.connection = std::move(connection);
  // Whatever ended the last attempt, this one begins after a whole event.
  splitter_.DropPartial();
  ++progress_.sends;
  ++runs_;
  attempt_.connection->Send(std::move(bytes), this);
  ArmSilence();
}

bool Exchange::OnHead(const net::MessageHead& head) {
  Instant now = parts_->loop->Now();
  ResponseInfo answer = parts_->dialect->ParseResponseHead(head, terms_.id);
  if (const std::string* outcome = head.Find(kHopOutcomeHeader);
      outcome != nullptr && !attempt_.upstream) {
    attempt_.peer_outcome = ParseOutcome(*outcome);
    attempt_.head = head;
    return true;
  }
  if (!answer.matches_request && !answer.not_executed) {
    LogEvent(LogLevel::kWarn, "edge", "foreign_answer")
        .With("request", terms_.id.value())
        .With("from", attempt_.endpoint.Text())
        .With("status", head.status);
    return false;
  }
  attempt_.head = head;
  attempt_.event_at = now;
  if (attempt_.upstream) {
    attempt_.upstream->last_received_at = now;
    if (answer.load) {
      attempt_.upstream->reported = answer.load;
      attempt_.upstream->reported->at = now;
    }
  }
  if (answer.not_executed) {
    attempt_.is_refusal = true;
    if (answer.is_misdirected && attempt_.upstream) {
      attempt_.upstream->is_misdirected = true;
    }
    return true;
  }
  attempt_.is_unproven = !answer.is_verified;
  if (!IsStream() && !attempt_.has_first) {
    OnFirstEvent();
  }
  return true;
}

void Exchange::OnFirstEvent() {
  Instant now = parts_->loop->Now();
  attempt_.has_first = true;
  parts_->metrics->ObserveFirstByte(now - request_.arrived);
  if (!attempt_.upstream) {
    return;
  }
  // With others' prompts ahead it is not known how much of them was read
  // before the call came.
  if (terms_.size.IsModelCall() &&
      attempt_.forecast.queued_prefill_tokens == 0) {
    parts_->registry->LearnPrefillSpeed(contract_.service,
                                        attempt_.forecast.own_prefill_tokens,
                                        now - attempt_.sent_at);
  }
  attempt_.OnPromptRead();
  attempt_.upstream->breaker.OnSuccess();
}

void Exchange::OnBody(std::string_view bytes) {
  if (attempt_.upstream) {
    attempt_.upstream->last_received_at = parts_->loop->Now();
  } else {
    parts_->metrics->CountRegionBytes(bytes.size());
  }
  bool is_passed = IsStream() && attempt_.head.status == 200 &&
                   !attempt_.is_refusal && !attempt_.is_unproven &&
                   !attempt_.peer_outcome;
  if (is_passed) {
    PassStream(bytes);
    return;
  }
  attempt_.body.append(bytes);
}

void Exchange::PassStream(std::string_view bytes) {
  uint64_t before = splitter_.events();
  std::string events = splitter_.Feed(bytes);
  if (events.empty()) {
    return;
  }
  Instant now = parts_->loop->Now();
  if (!attempt_.has_first) {
    OnFirstEvent();
  } else if (attempt_.upstream) {
    double tokens = static_cast<double>(splitter_.events() - before) *
                    std::max(1U, contract_.traits.tokens_per_event);
    double pace =
        static_cast<double>((now - attempt_.event_at).count()) / tokens;
    parts_->registry->LearnTimePerToken(*attempt_.upstream, pace, now);
  }
  attempt_.event_at = now;
  if (!stream_begun_) {
    BeginStream(attempt_.head);
  }
  caller_->Write(net::ChunkText(events));
  if (!caller_->is_clogged()) {
    return;
  }
  attempt_.connection->Pause();
  caller_->SetDrained([weak = weak_from_this()] {
    auto self = weak.lock();
    if (self && self->attempt_.connection) {
      self->attempt_.connection->Resume();
    }
  });
}

void Exchange::BeginStream(const net::MessageHead& head) {
  stream_begun_ = true;
  caller_->Write(ChunkedHeadText(head, KeepsAlive()));
}

void Exchange::OnDone() {
  auto self = shared_from_this();
  attempt_.ReleaseShare();
  attempt_.is_active = false;
  silence_timer_.Cancel();
  ConnectionPool* pool =
      attempt_.upstream ? parts_->upstream_pool : parts_->peer_pool;
  pool->Put(attempt_.endpoint, std::exchange(attempt_.connection, nullptr));
  if (is_finished_) {
    on_ended_(this);
    return;
  }
  if (attempt_.peer_outcome) {
    progress_.tried_regions.insert(attempt_.region);
  }
  Judgement judgement =
      JudgeAnswer({attempt_.head.status, attempt_.peer_outcome,
                   attempt_.is_refusal, attempt_.is_unproven, IsStream(),
                   stream_begun_, splitter_.has_partial()});
  if (judgement.verdict != AnswerVerdict::kNotRun) {
    bool is_answered = judgement.verdict == AnswerVerdict::kPassWhole ||
                       judgement.verdict == AnswerVerdict::kEndStream;
    attempt_.NoteEnd(/*has_failed=*/!is_answered, parts_->loop->Now());
  }
  switch (judgement.verdict) {
    case AnswerVerdict::kNotRun:
      if (attempt_.upstream) {
        attempt_.upstream->breaker.OnNeutral();
      }
      OnNotRun(judgement.why);
      return;
    case AnswerVerdict::kMayHaveRun:
      OnMayHaveRun(judgement.why);
      return;
    case AnswerVerdict::kFailed:
      OnFailedAnswer();
      return;
    case AnswerVerdict::kEndStream:
      EndStream();
      return;
    case AnswerVerdict::kPassWhole:
      AnswerWhole();
      return;
  }
}

void Exchange::OnFailedAnswer() {
  if (attempt_.upstream && !attempt_.has_first) {
    attempt_.upstream->breaker.OnFailure(parts_->loop->Now());
  }
  if (IsRepeatable() && TryAgain("upstream_error")) {
    return;
  }
  // 503 promises that the call did not run; this one did.
  if (attempt_.head.status == 503) {
    OnMayHaveRun("unexplained_503");
    return;
  }
  AnswerWhole();
}

void Exchange::EndStream() {
  if (!stream_begun_) {
    BeginStream(attempt_.head);
  }
  parts_->registry->LearnOutput(
      contract_.service, contract_.route->priority,
      static_cast<double>(splitter_.events()) *
          std::max(1U, contract_.traits.tokens_per_event));
  caller_->Write(net::kLastChunk);
  caller_->EndAnswer(request_.head.keep_alive);
  Finish("done", attempt_.head.status, "streamed");
}

void Exchange::AnswerWhole() {
  bool keep = KeepsAlive();
  std::string_view body;
  if (request_.head.method != "HEAD") {
    body = attempt_.body;
  }
  caller_->Write(WholeAnswerText(attempt_.head, body, keep));
  caller_->EndAnswer(keep);
  Finish("done", attempt_.head.status, "answered");
}

void Exchange::OnFault(net::ClientFault fault) {
  auto self = shared_from_this();
  bool was_sent = fault != net::ClientFault::kNoConnection ||
                  attempt_.connection->has_sent();
  attempt_.ReleaseShare();
  attempt_.is_active = false;
  silence_timer_.Cancel();
  attempt_.connection = nullptr;
  attempt_.NoteEnd(/*has_failed=*/true, parts_->loop->Now());
  if (attempt_.upstream) {
    attempt_.upstream->breaker.OnFailure(parts_->loop->Now());
    parts_->upstream_pool->Forget(attempt_.endpoint);
  } else if (!was_sent) {
    parts_->fleet->OnUnreachable(attempt_.peer);
  }
  if (is_finished_) {
    on_ended_(this);
    return;
  }
  if (!was_sent) {
    --runs_;
    ++failed_connects_;
    if (attempt_.upstream) {
      progress_.tried.insert(attempt_.upstream->record.id);
    }
    if (failed_connects_ <= kMostFailedConnects) {
      Place();
      return;
    }
    AnswerFailure(runs_ > 0 ? 502 : 503, kUnrunRetryAfter, "no_connection");
    return;
  }
  if (attempt_.upstream) {
    progress_.tried.insert(attempt_.upstream->record.id);
  }
  OnMayHaveRun(fault == net::ClientFault::kGarbled ? "answer_garbled"
                                                   : "connection_lost");
}

bool Exchange::TryAgain(std::string_view why) {
  Instant now = parts_->loop->Now();
  if (runs_ >= contract_.route->max_attempts ||
      TimeLeft() <= kLeastRepeatTime ||
      !parts_->allowance->TryConsume(contract_.service,
                                     parts_->fleet->LiveCount(now), now)) {
    return false;
  }
  parts_->metrics->CountRepeat(why);
  LogRepeat(terms_, why, attempt_.endpoint, TimeLeft());
  Place();
  return true;
}

void Exchange::OnNotRun(std::string_view why) {
  --runs_;
  if (attempt_.upstream) {
    progress_.tried.insert(attempt_.upstream->record.id);
  }
  if (TryAgain(why)) {
    return;
  }
  AnswerFailure(runs_ > 0 ? 502 : 503, kUnrunRetryAfter, why);
}

void Exchange::OnMayHaveRun(std::string_view why) {
  if (IsRepeatable() && TryAgain(why)) {
    return;
  }
  AnswerFailure(502, {}, why);
}

void Exchange::AnswerFailure(int status, Millis retry_after,
                             std::string_view why) {
  if (stream_begun_) {
    caller_->Abort();
    Finish("broken", status, why);
    return;
  }
  std::optional<Outcome> outcome;
  if (contract_.is_from_peer) {
    outcome = status == 503 ? Outcome::kNotRun : Outcome::kUnknown;
  }
  bool keep = KeepsAlive();
  caller_->Write(FailureText(status, retry_after, outcome, keep));
  caller_->EndAnswer(keep);
  Finish(status == 503 ? "not-run" : "unknown", status, why);
}

void Exchange::ArmLimit() {
  limit_timer_.Set(limit_at_ - parts_->loop->Now(), [weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnLimit();
    }
  });
}

void Exchange::OnLimit() {
  if (is_finished_) {
    return;
  }
  Instant now = parts_->loop->Now();
  if (stream_begun_ && patience_at_ > now) {
    // The route's timeout bounds how long a caller is kept waiting; one that
    // is being answered waits no more.
    limit_at_ = patience_at_;
    ArmLimit();
    return;
  }
  if (attempt_.is_active && attempt_.upstream && !attempt_.has_first) {
    attempt_.upstream->breaker.OnFailure(parts_->loop->Now());
  }
  bool may_have_run = runs_ > 0;
  CancelAttempt();
  AnswerFailure(may_have_run ? 504 : 503,
                may_have_run ? Millis(0) : kUnrunRetryAfter, "time_limit");
}

void Exchange::ArmSilence() {
  if (!IsRepeatable()) {
    return;
  }
  silence_timer_.Set(SilenceBound(*contract_.route), [weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnSilence();
    }
  });
}

void Exchange::OnSilence() {
  if (is_finished_ || !attempt_.is_active || !attempt_.upstream) {
    return;
  }
  Instant now = parts_->loop->Now();
  Instant sign = IsStream() ? std::max(attempt_.upstream->last_received_at,
                                       attempt_.sent_at)
                            : attempt_.event_at;
  if (IsStream() && now - sign < SilenceBound(*contract_.route)) {
    ArmSilence();
    return;
  }
  if (runs_ >= contract_.route->max_attempts) {
    return;
  }
  progress_.tried.insert(attempt_.upstream->record.id);
  attempt_.upstream->breaker.OnFailure(now);
  attempt_.NoteEnd(/*has_failed=*/true, parts_->loop->Now());
  if (Plan().verdict.kind == flow::DispatchKind::kRefuse) {
    return;
  }
  CancelAttempt();
  if (!TryAgain("upstream_silent")) {
    AnswerFailure(502, {}, "upstream_silent");
  }
}

void Exchange::OnCallerGone() {
  if (is_finished_) {
    return;
  }
  // A call that must not be repeated runs to its end: its effect is wanted,
  // and a cut would leave it unknown.
  if (contract_.route->kind != flow::CallKind::kNonIdempotent) {
    CancelAttempt();
  }
  Finish("caller-gone", 0, "caller_gone");
  if (!attempt_.is_active) {
    return;
  }
  limit_timer_.Set(limit_at_ - parts_->loop->Now(), [weak = weak_from_this()] {
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
  attempt_.is_active = false;
  attempt_.ReleaseShare();
  if (attempt_.upstream && !attempt_.has_first) {
    attempt_.upstream->breaker.OnNeutral();
  }
  attempt_.connection->Close();
  attempt_.connection = nullptr;
}

void Exchange::Finish(std::string_view outcome, int status,
                      std::string_view why) {
  is_finished_ = true;
  limit_timer_.Cancel();
  silence_timer_.Cancel();
  Instant now = parts_->loop->Now();
  parts_->metrics->CountCall(outcome, status);
  parts_->metrics->ObserveWhole(now - request_.arrived);
  LogCallEnd(terms_, contract_, progress_,
             {outcome, status, why, attempt_.endpoint, now - request_.arrived});
  if (!attempt_.is_active) {
    on_ended_(this);
  }
}

}  // namespace basilvalve::edge
