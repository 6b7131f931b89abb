#include "Core/Gateway/upstream_caller.h"

#include <optional>

#include "Core/Common/log.h"
#include "Core/Gateway/answer_check.h"
#include "Core/Gateway/cluster_view.h"
#include "Core/Http/http_client.h"

namespace basilvalve::gateway {
namespace {

constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr int kMaxResumes = 2;
constexpr Millis kCancelTimeout{500};
constexpr size_t kCancelAnswerBytes = 4096;

}  // namespace

/// The state of one attempt: receives the upstream's answer and hands it on.
class UpstreamCaller::Attempt : public http::ResponseSink {
 public:
  Attempt(const NodeParts* parts, const Call* call, const LocalPlan& plan,
          UpstreamId upstream, AnswerSink* sink)
      : parts_(parts),
        call_(call),
        plan_(plan),
        upstream_(std::move(upstream)),
        sink_(sink),
        started_(parts->clock->Now()) {}

  bool OnHead(const http::ResponseHead& head) override {
    status_ = head.status;
    draining_ = head.status == kUnavailable &&
                !http::FindHeader(head.headers, "X-Draining").empty();
    resumable_ = !http::FindHeader(head.headers, "X-Resumable").empty();
    // A server error of an idempotent call is not shown to the caller: it may
    // be retried.
    failed_ = draining_ || (head.status >= kServerError && call_->idempotent);
    if (failed_) {
      return false;
    }
    if (check_) {
      // A resumed stream goes on where the broken one ended.
      return true;
    }
    check_.emplace(head);
    std::string_view type = http::FindHeader(head.headers, "Content-Type");
    begun_ = true;
    gone_ = !sink_->Begin(
        {head.status, std::string(type), parts_->region, upstream_});
    return !gone_;
  }

  bool OnBody(std::string_view piece) override {
    std::string ready = check_->Add(piece);
    if (!ready.empty()) {
      NoteToken();
      gone_ = gone_ || !sink_->Piece(ready);
    }
    // After the last event the rest of the connection does not matter.
    return !gone_ && !check_->SawEnd();
  }

  bool Cancelled() override {
    gone_ = gone_ || sink_->Gone();
    return gone_;
  }

  /// Whether a whole answer was handed on.
  bool Whole(const http::CallReport& report) const {
    if (failed_ || !check_) {
      return false;
    }
    if (check_->SawEnd()) {
      return true;
    }
    return report.end == http::CallEnd::kComplete &&
           check_->IsWhole(report.length_verified);
  }

  bool CanResume() const {
    return resumable_ && check_ && check_->is_events() && !check_->SawEnd() &&
           !gone_ && !failed_;
  }

  size_t PrepareResume() {
    check_->DropPartial();
    return check_->events();
  }

  /// Prompt tokens that the upstream still had to work off.
  double PendingTokens() const {
    return last_token_ == Instant() ? plan_.uncached_tokens : 0;
  }

  bool gone() const { return gone_; }
  bool draining() const { return draining_; }
  bool failed() const { return failed_; }
  bool begun() const { return begun_; }
  int status() const { return status_; }
  Instant started() const { return started_; }

 private:
  void NoteToken() {
    Instant now = parts_->clock->Now();
    if (!call_->is_model) {
      return;
    }
    if (last_token_ == Instant()) {
      Micros observed = now - started_;
      Micros target = call_->record->document.targets.first_token;
      parts_->upstreams->OnFirstToken(plan_.handle, plan_.uncached_tokens,
                                      plan_.predicted, observed,
                                      now - call_->arrived <= target, now);
      parts_->metrics->ObserveFirstToken(now - call_->arrived);
    } else {
      parts_->metrics->ObserveTokenGap(now - last_token_);
    }
    last_token_ = now;
  }

  const NodeParts* parts_;
  const Call* call_;
  LocalPlan plan_;
  UpstreamId upstream_;
  AnswerSink* sink_;
  Instant started_;
  Instant last_token_;
  std::optional<AnswerCheck> check_;
  int status_ = 0;
  bool begun_ = false;
  bool draining_ = false;
  bool resumable_ = false;
  bool failed_ = false;
  bool gone_ = false;
};

namespace {

http::Request BuildRequest(const Call& call, const std::string& engine_id) {
  http::Request request{call.method, call.path, call.query, {}, call.body};
  std::string type =
      call.content_type.empty() ? "application/json" : call.content_type;
  request.headers = {
      {"Content-Type", type},
      {"X-Request-Id", engine_id},
      {"traceparent", call.trace.ToHeader()},
      {"X-Priority", std::to_string(call.record->document.priority)}};
  return request;
}

http::Request BuildResume(const std::string& engine_id, size_t from) {
  std::string query = "id=" + engine_id + "&from=" + std::to_string(from);
  return {"POST", "/v1/resume", query, {}, ""};
}

}  // namespace

void UpstreamCaller::Cancel(const Call& call, const http::Endpoint& endpoint,
                            const std::string& engine_id) {
  http::Request request{"POST", "/v1/cancel", "id=" + engine_id, {}, ""};
  http::CallTimeouts timeouts{kCancelTimeout, kCancelTimeout, kCancelTimeout};
  http::ExecuteBuffered(endpoint, request, timeouts, kCancelAnswerBytes);
  LogEvent(LogLevel::kInfo, "upstream", "cancelled")
      .With("request_id", call.id.value());
}

CallEnd UpstreamCaller::Run(const Call& call, const LocalPlan& plan,
                            uint32_t attempt, AnswerSink* sink) {
  Instant begin = parts_->clock->Now();
  std::optional<routing::UpstreamTarget> target =
      parts_->upstreams->Start(plan.handle, plan.uncached_tokens, begin);
  if (!target) {
    return EndOf(
        MakeError(ResultCode::kNoUpstream, "the upstream stopped taking work"));
  }
  std::string engine_id = call.id.value() + "." + std::to_string(attempt);
  Attempt state(parts_, &call, plan, target->id, sink);
  auto remaining = std::chrono::duration_cast<Millis>(call.Remaining(begin));
  http::CallTimeouts timeouts{Millis(parts_->settings->connect_timeout_ms),
                              remaining, remaining};
  http::CallReport report = http::Execute(
      target->endpoint, BuildRequest(call, engine_id), timeouts, &state);
  for (int i = 0; i < kMaxResumes && !state.Whole(report) && state.CanResume();
       ++i) {
    parts_->journal->Step(call.id, "upstream", "resume", report.detail);
    http::Request resume = BuildResume(engine_id, state.PrepareResume());
    report = http::Execute(target->endpoint, resume, timeouts, &state);
    if (report.end == http::CallEnd::kNotSent) {
      // That nothing more was sent says nothing about what already ran.
      report.end = http::CallEnd::kBroken;
    }
  }
  Instant now = parts_->clock->Now();
  observe::LogSpan(call.trace, "upstream", call.id.value(), now - begin,
                   target->id.value());

  if (state.Whole(report)) {
    parts_->upstreams->End(plan.handle, state.PendingTokens(),
                           routing::UpstreamCallResult::kSuccess, now - begin,
                           now);
    return {Outcome::kDone, ResultCode::kOk, "", true, Millis(0)};
  }
  if (state.gone()) {
    parts_->upstreams->End(plan.handle, state.PendingTokens(),
                           routing::UpstreamCallResult::kNeutral, now - begin,
                           now);
    if (call.is_model) {
      Cancel(call, target->endpoint, engine_id);
    }
    return {Outcome::kUnknown, ResultCode::kCallerGone, "the caller has gone",
            state.begun(), Millis(0)};
  }
  if (state.draining()) {
    parts_->upstreams->End(plan.handle, state.PendingTokens(),
                           routing::UpstreamCallResult::kDraining, now - begin,
                           now);
    if (parts_->upstreams->MarkLeaving(target->id, now,
                                       routing::kMinLeavingTime)) {
      parts_->cluster->AnnounceUpstreamLeaving(target->id);
    }
    return EndOf(
        MakeError(ResultCode::kNoUpstream, "the upstream is draining"));
  }
  parts_->upstreams->End(plan.handle, state.PendingTokens(),
                         routing::UpstreamCallResult::kFailed, now - begin,
                         now);
  if (report.end == http::CallEnd::kNotSent) {
    return EndOf(
        FailAs(ResultCode::kUpstreamFailed, Outcome::kNotRun, report.detail)
            .value());
  }
  CallEnd end = EndOf(MakeError(ResultCode::kUpstreamFailed, report.detail));
  end.begun = state.begun();
  if (report.end == http::CallEnd::kTimedOut) {
    end.code = ResultCode::kDeadlineExceeded;
  } else if (state.begun()) {
    end.code = ResultCode::kAnswerTruncated;
    end.message = "the upstream's answer is not whole";
  } else if (state.failed()) {
    end.message = "the upstream answered " + std::to_string(state.status());
  }
  if (call.is_model && report.end == http::CallEnd::kTimedOut) {
    Cancel(call, target->endpoint, engine_id);
  }
  return end;
}

}  // namespace basilvalve::gateway
