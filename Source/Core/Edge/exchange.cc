#include "Core/Edge/exchange.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "Core/Common/log.h"

namespace basilvalve::edge {
namespace {

// Sends that never connected cost nothing but time: a few upstreams may be
// gone at once.
constexpr int kMostFailedConnects = 4;
// Headers that concern one connection only (RFC 9110, 7.6.1).
constexpr std::array<std::string_view, 9> kHopByHop = {
    "Connection",       "Keep-Alive",
    "Proxy-Connection", "TE",
    "Trailer",          "Transfer-Encoding",
    "Upgrade",          "Proxy-Authorization",
    "Content-Length"};
// Without a sign of life from an upstream for this long, its calls are moved:
// under the pause that callers of a stream notice, over a long engine step.
constexpr Millis kSilence{650};
// A plain call that may be repeated is moved after this share of its target.
constexpr double kPlainSilenceShare = 0.6;
// Time for a passed-on call's refusal to come back before its own limit.
constexpr Millis kHopSlack{60};

bool IsHopByHop(std::string_view name) {
  return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                     [name](std::string_view it) {
                       return net::EqualsIgnoringCase(it, name);
                     });
}

std::string_view ReasonOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 429:
      return "Too Many Requests";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Answer";
  }
}

void AppendLine(std::string_view name, std::string_view value,
                std::string* head) {
  head->append(name).append(": ").append(value).append("\r\n");
}

std::string AnswerHead(const net::MessageHead& head) {
  std::string out = "HTTP/1.1 " + std::to_string(head.status) + " ";
  out.append(ReasonOf(head.status)).append("\r\n");
  for (const net::HeaderField& field : head.fields) {
    if (!IsHopByHop(field.name)) {
      AppendLine(field.name, field.value, &out);
    }
  }
  return out;
}

}  // namespace

Exchange::Exchange(EdgeParts* parts, net::ServerConnection::Ptr caller,
                   net::ServerRequest request, CallTerms terms,
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

Exchange::~Exchange() = default;

Millis Exchange::TimeLeft() const {
  return std::chrono::floor<Millis>((IsStream() ? patience_at_ : limit_at_) -
                                    parts_->loop->Now());
}

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

flow::DispatchVerdict Exchange::DecideNow(
    std::optional<flow::Placement>* local) {
  Instant now = parts_->loop->Now();
  const flow::Route& route = *contract_.route;
  flow::DispatchInput input;
  input.is_model_call = terms_.size.IsModelCall();
  input.tokens_to_read =
      terms_.size.parts.empty() ? 0 : terms_.size.parts.back().tokens;
  input.rank = route.priority;
  input.to_target = target_at_ - now;
  input.to_limit = TimeLeft();
  input.hop = parts_->region_round_trip;
  input.spread = parts_->random->Unit();
  if (input.is_model_call) {
    input.output_tokens =
        parts_->registry
            ->KindOf(contract_.service, route.priority, terms_.size.tokens_out,
                     contract_.time_left)
            .output_tokens;
    input.tolerated_pace_us =
        parts_->registry->ProfileOf(contract_.service).ToleratedPaceUs();
  }
  if (contract_.is_from_peer || route.Permits(parts_->fleet->self().region)) {
    flow::PlacementNeed need{
        &route,  &contract_.traits,   contract_.service, &terms_.size,
        &tried_, input.output_tokens, input.to_target,   input.to_limit};
    *local = parts_->placer->Choose(need, now);
    if (*local) {
      input.local = (*local)->forecast;
    }
  }
  if (!contract_.is_from_peer) {
    for (flow::RegionOffer& offer :
         parts_->fleet->Offers(contract_.service, now)) {
      if (route.Permits(offer.region) &&
          !tried_regions_.contains(offer.region)) {
        input.offers.push_back(std::move(offer));
      }
    }
  }
  flow::DispatchVerdict verdict = flow::Decide(input);
  // Work that another instance decided to place here is not refused for being
  // late: its sender knows no better place, and a refusal costs a round trip.
  if (verdict.kind == flow::DispatchKind::kRefuse && *local &&
      (sends_ > 0 || contract_.is_from_peer)) {
    verdict.kind = flow::DispatchKind::kLocal;
  }
  return verdict;
}

void Exchange::Place() {
  if (TimeLeft() <= Millis::zero()) {
    OnLimit();
    return;
  }
  std::optional<flow::Placement> local;
  flow::DispatchVerdict verdict = DecideNow(&local);
  switch (verdict.kind) {
    case flow::DispatchKind::kLocal:
      SendHere(*local);
      return;
    case flow::DispatchKind::kRemote:
      SendAway(verdict.region);
      return;
    case flow::DispatchKind::kRefuse:
      break;
  }
  LogEvent(LogLevel::kInfo, "edge", "no_room")
      .With("request", terms_.id.value())
      .With("service", contract_.service.value())
      .With("tokens_in", terms_.size.tokens_in)
      .With("first_byte_ms",
            std::chrono::floor<Millis>(verdict.forecast.first_byte).count())
      .With("pace_percent",
            static_cast<int64_t>(verdict.forecast.pace_strain * 100))
      .With("finish_ms",
            std::chrono::floor<Millis>(verdict.forecast.finish).count())
      .With(
          "target_left_ms",
          std::chrono::floor<Millis>(target_at_ - parts_->loop->Now()).count())
      .With("time_left_ms", TimeLeft().count())
      .With("retry_after_ms", verdict.retry_after.count());
  if (runs_ > 0) {
    AnswerFailure(502, {}, "no_upstream_left");
    return;
  }
  AnswerFailure(503, verdict.retry_after, "no_room");
}

std::string Exchange::RequestBytes(const SendTerms& terms,
                                   std::string_view hop) const {
  std::string out =
      request_.head.method + " " + request_.head.target + " HTTP/1.1\r\n";
  for (const net::HeaderField& field : request_.head.fields) {
    if (!IsHopByHop(field.name) && parts_->dialect->PassesOn(field.name) &&
        !net::EqualsIgnoringCase(field.name, kHopHeader)) {
      AppendLine(field.name, field.value, &out);
    }
  }
  parts_->dialect->AppendSendLines(terms, &out);
  if (!hop.empty()) {
    AppendLine(kHopHeader, hop, &out);
  }
  if (!request_.body.empty() || request_.head.content_length ||
      request_.head.chunked) {
    AppendLine("Content-Length", std::to_string(request_.body.size()), &out);
  }
  out.append("\r\n").append(request_.body);
  return out;
}

void Exchange::SendHere(const flow::Placement& placement) {
  Instant now = parts_->loop->Now();
  flow::Upstream& upstream = *placement.upstream;
  attempt_ = Attempt();
  attempt_.upstream = placement.upstream;
  attempt_.forecast = placement.forecast;
  attempt_.endpoint = {upstream.record.host, upstream.record.port};
  attempt_.share.running = 1;
  SendTerms terms;
  if (terms_.size.IsModelCall()) {
    attempt_.share.unread_tokens = placement.unread_tokens;
    attempt_.share.held_tokens = terms_.size.tokens_in + terms_.size.tokens_out;
    parts_->registry->OnPromptSent(upstream, terms_.size.parts,
                                   placement.unread_tokens,
                                   contract_.traits.memory_tokens);
    if (placement.prompt_source) {
      terms.prompt_source = net::Endpoint{placement.prompt_source->record.host,
                                          placement.prompt_source->record.port};
    }
  }
  if (upstream.own.running == 0) {
    upstream.heard = now;
  }
  upstream.own.Add(attempt_.share);
  upstream.last_given = now;
  upstream.breaker.OnStart(now);
  parts_->cold_gate->OnSent(upstream.record.id, now);
  terms.expected = upstream.record.id;
  terms.time_left = TimeLeft();
  terms.urgency = std::clamp(3 + 2 * contract_.route->priority, 0, 9);
  terms.resume_after =
      splitter_.last_id() ? splitter_.last_id() : terms_.resume_after;
  parts_->metrics->CountSend("here");
  BeginAttempt(parts_->upstream_pool->Take(attempt_.endpoint, !IsRepeatable()),
               RequestBytes(terms, {}));
}

void Exchange::SendAway(const RegionId& region) {
  Instant now = parts_->loop->Now();
  std::vector<flow::InstanceRecord> live = parts_->fleet->Live(region, now);
  std::erase_if(live, [](const auto& record) { return record.is_draining; });
  if (live.empty()) {
    tried_regions_.insert(region);
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
  attempt_ = Attempt();
  attempt_.peer = peer.id;
  attempt_.region = region;
  attempt_.endpoint = *endpoint;
  parts_->fleet->OnSentAway(
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
  SendTerms terms;
  terms.time_left = hop.time_left;
  terms.resume_after =
      splitter_.last_id() ? splitter_.last_id() : terms_.resume_after;
  parts_->metrics->CountSend("away");
  std::string bytes = RequestBytes(terms, FormatHop(hop));
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
  ++sends_;
  ++runs_;
  attempt_.connection->Send(std::move(bytes), this);
  ArmSilence();
}

void Exchange::ReleaseShare() {
  if (!attempt_.upstream) {
    return;
  }
  flow::LoadShare& own = attempt_.upstream->own;
  own.running -= attempt_.share.running;
  own.unread_tokens -= attempt_.share.unread_tokens;
  own.held_tokens -= attempt_.share.held_tokens;
  attempt_.share = flow::LoadShare();
}

bool Exchange::OnHead(const net::MessageHead& head) {
  Instant now = parts_->loop->Now();
  AnswerTerms answer = parts_->dialect->ReadAnswer(head, terms_.id);
  if (const std::string* outcome = head.Find(kHopOutcomeHeader);
      outcome != nullptr && !attempt_.upstream) {
    attempt_.peer_outcome = ParseOutcome(*outcome);
    attempt_.head = head;
    return true;
  }
  if (!answer.belongs && !answer.not_executed) {
    LogEvent(LogLevel::kWarn, "edge", "foreign_answer")
        .With("request", terms_.id.value())
        .With("from", attempt_.endpoint.Text())
        .With("status", head.status);
    return false;
  }
  attempt_.head = head;
  attempt_.event_at = now;
  if (attempt_.upstream) {
    attempt_.upstream->heard = now;
    if (answer.load) {
      attempt_.upstream->reported = answer.load;
      attempt_.upstream->reported->at = now;
    }
  }
  if (answer.not_executed) {
    attempt_.is_refusal = true;
    if (answer.is_misplaced && attempt_.upstream) {
      attempt_.upstream->is_misplaced = true;
    }
    return true;
  }
  attempt_.is_unproven = !answer.is_proven;
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
  if (terms_.size.IsModelCall() && attempt_.forecast.tokens_ahead == 0) {
    parts_->registry->LearnReading(contract_.service,
                                   attempt_.forecast.own_tokens,
                                   now - attempt_.sent_at);
  }
  attempt_.upstream->own.unread_tokens -= attempt_.share.unread_tokens;
  attempt_.share.unread_tokens = 0;
  attempt_.upstream->breaker.OnSuccess();
}

void Exchange::OnBody(std::string_view bytes) {
  if (attempt_.upstream) {
    attempt_.upstream->heard = parts_->loop->Now();
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
    parts_->registry->LearnPace(*attempt_.upstream, pace, now);
  }
  attempt_.event_at = now;
  if (!stream_begun_) {
    BeginStream(attempt_.head);
  }
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", events.size());
  events.insert(0, size.data());
  events.append("\r\n");
  caller_->Write(events);
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
  std::string out = AnswerHead(head);
  out.append("Transfer-Encoding: chunked\r\n");
  if (!request_.head.keep_alive || caller_->closing()) {
    out.append("Connection: close\r\n");
  }
  out.append("\r\n");
  caller_->Write(out);
}

void Exchange::OnDone() {
  auto self = shared_from_this();
  ReleaseShare();
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
    tried_regions_.insert(attempt_.region);
    if (*attempt_.peer_outcome == Outcome::kNotRun) {
      OnNotRun("peer_refused");
    } else {
      OnMayHaveRun("peer_failed");
    }
    return;
  }
  if (attempt_.is_refusal) {
    if (attempt_.upstream) {
      attempt_.upstream->breaker.OnNeutral();
    }
    OnNotRun("upstream_refused");
    return;
  }
  if (attempt_.is_unproven) {
    OnMayHaveRun("answer_unproven");
    return;
  }
  int status = attempt_.head.status;
  if (stream_begun_ && status != 200) {
    // The caller holds part of a stream: another answer cannot end it.
    OnMayHaveRun("resume_refused");
    return;
  }
  if (status >= 500) {
    if (attempt_.upstream && !attempt_.has_first) {
      attempt_.upstream->breaker.OnFailure(parts_->loop->Now());
    }
    if (IsRepeatable() && TryAgain("upstream_error")) {
      return;
    }
    // 429 and 503 promise that the call did not run; this one did.
    if (status == 503) {
      OnMayHaveRun("unexplained_503");
      return;
    }
  }
  if (stream_begun_ || (IsStream() && status == 200)) {
    if (splitter_.has_partial()) {
      OnMayHaveRun("stream_truncated");
      return;
    }
    if (!stream_begun_) {
      BeginStream(attempt_.head);
    }
    parts_->registry->LearnOutput(
        contract_.service, contract_.route->priority,
        static_cast<double>(splitter_.events()) *
            std::max(1U, contract_.traits.tokens_per_event));
    caller_->Write("0\r\n\r\n");
    caller_->EndAnswer(request_.head.keep_alive);
    Finish("done", status, "streamed");
    return;
  }
  AnswerWhole();
}

void Exchange::AnswerWhole() {
  std::string out = AnswerHead(attempt_.head);
  AppendLine("Content-Length", std::to_string(attempt_.body.size()), &out);
  bool keep = request_.head.keep_alive && !caller_->closing();
  if (!keep) {
    out.append("Connection: close\r\n");
  }
  out.append("\r\n");
  if (request_.head.method != "HEAD") {
    out.append(attempt_.body);
  }
  caller_->Write(out);
  caller_->EndAnswer(keep);
  Finish("done", attempt_.head.status, "answered");
}

void Exchange::OnFault(net::ClientFault fault) {
  auto self = shared_from_this();
  bool was_sent = fault != net::ClientFault::kNoConnection ||
                  attempt_.connection->has_sent();
  ReleaseShare();
  attempt_.is_active = false;
  silence_timer_.Cancel();
  attempt_.connection = nullptr;
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
  splitter_.DropPartial();
  if (!was_sent) {
    --runs_;
    ++failed_connects_;
    if (attempt_.upstream) {
      tried_.insert(attempt_.upstream->record.id);
    }
    if (failed_connects_ <= kMostFailedConnects) {
      Place();
      return;
    }
    AnswerFailure(runs_ > 0 ? 502 : 503, Millis(200), "no_connection");
    return;
  }
  if (attempt_.upstream) {
    tried_.insert(attempt_.upstream->record.id);
  }
  OnMayHaveRun(fault == net::ClientFault::kGarbled ? "answer_garbled"
                                                   : "connection_lost");
}

bool Exchange::TryAgain(std::string_view why) {
  Instant now = parts_->loop->Now();
  if (runs_ >= contract_.route->max_attempts || TimeLeft() <= Millis(20) ||
      !parts_->allowance->TryTake(contract_.service,
                                  parts_->fleet->LiveCount(now), now)) {
    return false;
  }
  parts_->metrics->CountRepeat(why);
  LogEvent(LogLevel::kInfo, "edge", "repeat")
      .With("request", terms_.id.value())
      .With("why", why)
      .With("after", attempt_.endpoint.Text())
      .With("left_ms", TimeLeft().count());
  Place();
  return true;
}

void Exchange::OnNotRun(std::string_view why) {
  --runs_;
  if (attempt_.upstream) {
    tried_.insert(attempt_.upstream->record.id);
  }
  if (TryAgain(why)) {
    return;
  }
  AnswerFailure(runs_ > 0 ? 502 : 503, Millis(200), why);
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
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(ReasonOf(status)).append("\r\nContent-Length: 0\r\n");
  if (retry_after > Millis::zero()) {
    std::array<char, 32> seconds{};
    std::snprintf(seconds.data(), seconds.size(), "%.3f",
                  static_cast<double>(retry_after.count()) / 1000);
    AppendLine("Retry-After", seconds.data(), &out);
  }
  if (contract_.is_from_peer) {
    AppendLine(
        kHopOutcomeHeader,
        OutcomeName(status == 503 ? Outcome::kNotRun : Outcome::kUnknown),
        &out);
  }
  bool keep = request_.head.keep_alive && !caller_->closing();
  if (!keep) {
    out.append("Connection: close\r\n");
  }
  out.append("\r\n");
  caller_->Write(out);
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
                may_have_run ? Millis(0) : Millis(200), "time_limit");
}

void Exchange::ArmSilence() {
  if (!IsRepeatable()) {
    return;
  }
  Millis wait = kSilence;
  if (!IsStream()) {
    wait = std::max(Millis(50),
                    Millis(static_cast<int64_t>(
                        kPlainSilenceShare *
                        static_cast<double>(contract_.route->target.count()))));
  }
  silence_timer_.Set(wait, [weak = weak_from_this()] {
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
  Instant sign = IsStream()
                     ? std::max(attempt_.upstream->heard, attempt_.sent_at)
                     : attempt_.event_at;
  if (now - sign < Micros(kSilence) && IsStream()) {
    ArmSilence();
    return;
  }
  if (runs_ >= contract_.route->max_attempts) {
    return;
  }
  tried_.insert(attempt_.upstream->record.id);
  attempt_.upstream->breaker.OnFailure(now);
  std::optional<flow::Placement> local;
  if (DecideNow(&local).kind == flow::DispatchKind::kRefuse) {
    return;
  }
  CancelAttempt();
  splitter_.DropPartial();
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
  ReleaseShare();
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
  LogEvent(LogLevel::kInfo, "edge", "call_ended")
      .With("request", terms_.id.value())
      .With("route", contract_.route->name)
      .With("state_version", static_cast<int64_t>(contract_.state_version))
      .With("outcome", outcome)
      .With("status", status)
      .With("why", why)
      .With("sends", sends_)
      .With("last", attempt_.endpoint.Text())
      .With("took_ms",
            std::chrono::floor<Millis>(now - request_.arrived).count());
  if (!attempt_.is_active) {
    on_ended_(this);
  }
}

}  // namespace basilvalve::edge
