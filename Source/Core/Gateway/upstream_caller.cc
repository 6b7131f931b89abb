#include "Core/Gateway/upstream_caller.h"

#include <optional>

#include "Core/Common/log.h"
#include "Core/Gateway/cluster_view.h"
#include "Core/Gateway/response_validator.h"
#include "Core/Http/http_client.h"

namespace basilvalve::gateway {
namespace {

constexpr int kMinServerErrorStatus = 500;
constexpr int kServiceUnavailableStatus = 503;
constexpr int kMaxResumes = 2;
constexpr Millis kCancelTimeout{500};
constexpr size_t kMaxCancelResponseBytes = 4096;

}  // namespace

/// State of one attempt. Receives the upstream's response and forwards it to
/// the sink.
class UpstreamCaller::Attempt : public http::ResponseSink {
 public:
  Attempt(const NodeParts* parts, const Call* call, const LocalRoute& route,
          UpstreamId upstream, CallResponseSink* sink)
      : parts_(parts),
        call_(call),
        route_(route),
        upstream_(std::move(upstream)),
        sink_(sink),
        started_at_(parts->clock->Now()) {}

  bool OnHead(const http::ResponseHead& head) override {
    status_ = head.status;
    draining_ = head.status == kServiceUnavailableStatus &&
                !http::FindHeader(head.headers, "X-Draining").empty();
    resumable_ = !http::FindHeader(head.headers, "X-Resumable").empty();
    // A server error of an idempotent call is withheld from the caller because
    // the call may be retried.
    server_failed_ = draining_ || (head.status >= kMinServerErrorStatus &&
                                   call_->idempotent);
    if (server_failed_) {
      return false;
    }
    if (validator_) {
      // A resumed stream continues the response that has already been started.
      return true;
    }
    validator_.emplace(head);
    std::string_view type = http::FindHeader(head.headers, "Content-Type");
    response_started_ = true;
    caller_disconnected_ = !sink_->Begin(
        {head.status, std::string(type), parts_->region, upstream_});
    return !caller_disconnected_;
  }

  bool OnBody(std::string_view chunk) override {
    std::string ready = validator_->Add(chunk);
    if (!ready.empty()) {
      RecordToken();
      caller_disconnected_ = caller_disconnected_ || !sink_->WriteChunk(ready);
    }
    // The response is complete after its last event, however the connection
    // ends.
    return !caller_disconnected_ && !validator_->SawEnd();
  }

  bool Cancelled() override {
    caller_disconnected_ =
        caller_disconnected_ || sink_->ReceiverDisconnected();
    return caller_disconnected_;
  }

  /// Whether the complete response was forwarded to the sink.
  bool Succeeded(const http::CallReport& report) const {
    if (server_failed_ || !validator_) {
      return false;
    }
    if (validator_->SawEnd()) {
      return true;
    }
    return report.end == http::CallEnd::kComplete &&
           validator_->IsComplete(report.length_verified);
  }

  /// Whether the upstream can resume the interrupted event stream.
  bool CanResume() const {
    return resumable_ && validator_ && validator_->is_event_stream() &&
           !validator_->SawEnd() && !caller_disconnected_ && !server_failed_;
  }

  /// Discards a partial event and returns the number of events received, from
  /// which the stream is to be resumed.
  size_t PrepareResume() {
    validator_->DiscardPartialEvent();
    return validator_->complete_events();
  }

  /// Prompt tokens that the upstream had not processed by the end of the
  /// attempt.
  double UnprocessedTokens() const {
    return last_token_at_ == Instant() ? route_.uncached_tokens : 0;
  }

  bool caller_disconnected() const { return caller_disconnected_; }
  bool draining() const { return draining_; }
  bool server_failed() const { return server_failed_; }
  bool response_started() const { return response_started_; }
  int status() const { return status_; }
  Instant started_at() const { return started_at_; }

 private:
  void RecordToken() {
    Instant now = parts_->clock->Now();
    if (!call_->is_model) {
      return;
    }
    if (last_token_at_ == Instant()) {
      Micros observed = now - started_at_;
      Micros target = call_->record->document.targets.first_token;
      parts_->upstreams->OnFirstToken(route_.handle, route_.uncached_tokens,
                                      route_.predicted_first_token, observed,
                                      now - call_->arrived <= target, now);
      parts_->metrics->ObserveTimeToFirstToken(now - call_->arrived);
    } else {
      parts_->metrics->ObserveInterTokenLatency(now - last_token_at_);
    }
    last_token_at_ = now;
  }

  const NodeParts* parts_;
  const Call* call_;
  LocalRoute route_;
  UpstreamId upstream_;
  CallResponseSink* sink_;
  Instant started_at_;
  Instant last_token_at_;
  std::optional<ResponseValidator> validator_;
  int status_ = 0;
  bool response_started_ = false;
  bool draining_ = false;
  bool resumable_ = false;
  bool server_failed_ = false;
  bool caller_disconnected_ = false;
};

namespace {

http::Request BuildRequest(const Call& call,
                           const std::string& upstream_request_id) {
  http::Request request{call.method, call.path, call.query, {}, call.body};
  std::string type =
      call.content_type.empty() ? "application/json" : call.content_type;
  request.headers = {
      {"Content-Type", type},
      {"X-Request-Id", upstream_request_id},
      {"traceparent", call.trace.ToHeader()},
      {"X-Priority", std::to_string(call.record->document.priority)}};
  return request;
}

http::Request BuildResumeRequest(const std::string& upstream_request_id,
                                 size_t from) {
  std::string query =
      "id=" + upstream_request_id + "&from=" + std::to_string(from);
  return {"POST", "/v1/resume", query, {}, ""};
}

}  // namespace

void UpstreamCaller::Cancel(const Call& call, const http::Endpoint& endpoint,
                            const std::string& upstream_request_id) {
  http::Request request{
      "POST", "/v1/cancel", "id=" + upstream_request_id, {}, ""};
  http::CallTimeouts timeouts{kCancelTimeout, kCancelTimeout, kCancelTimeout};
  http::ExecuteBuffered(endpoint, request, timeouts, kMaxCancelResponseBytes);
  LogEvent(LogLevel::kInfo, "upstream", "cancelled")
      .With("request_id", call.id.value());
}

CallResult UpstreamCaller::Run(const Call& call, const LocalRoute& route,
                               uint32_t attempt, CallResponseSink* sink) {
  Instant begin = parts_->clock->Now();
  std::optional<routing::UpstreamTarget> target =
      parts_->upstreams->Start(route.handle, route.uncached_tokens, begin);
  if (!target) {
    return ResultFromError(MakeError(ResultCode::kNoUpstream,
                                     "the upstream no longer accepts calls"));
  }
  std::string upstream_request_id =
      call.id.value() + "." + std::to_string(attempt);
  Attempt state(parts_, &call, route, target->id, sink);
  auto remaining = std::chrono::duration_cast<Millis>(call.Remaining(begin));
  http::CallTimeouts timeouts{Millis(parts_->settings->connect_timeout_ms),
                              remaining, remaining};
  http::CallReport report =
      http::Execute(target->endpoint, BuildRequest(call, upstream_request_id),
                    timeouts, &state);
  for (int i = 0;
       i < kMaxResumes && !state.Succeeded(report) && state.CanResume(); ++i) {
    parts_->journal->AddStep(call.id, "upstream", "resume", report.detail);
    http::Request resume =
        BuildResumeRequest(upstream_request_id, state.PrepareResume());
    report = http::Execute(target->endpoint, resume, timeouts, &state);
    if (report.end == http::CallEnd::kNotSent) {
      // Only the resume request was not sent; the call itself has reached the
      // upstream.
      report.end = http::CallEnd::kIncomplete;
    }
  }
  Instant now = parts_->clock->Now();
  observe::LogSpan(call.trace, "upstream", call.id.value(), now - begin,
                   target->id.value());

  if (state.Succeeded(report)) {
    parts_->upstreams->End(route.handle, state.UnprocessedTokens(),
                           routing::UpstreamCallResult::kSuccess, now - begin,
                           now);
    return {Outcome::kDone, ResultCode::kOk, "", true, Millis(0)};
  }
  if (state.caller_disconnected()) {
    parts_->upstreams->End(route.handle, state.UnprocessedTokens(),
                           routing::UpstreamCallResult::kNeutral, now - begin,
                           now);
    if (call.is_model) {
      Cancel(call, target->endpoint, upstream_request_id);
    }
    return {Outcome::kUnknown, ResultCode::kCallerDisconnected,
            "the caller disconnected", state.response_started(), Millis(0)};
  }
  if (state.draining()) {
    parts_->upstreams->End(route.handle, state.UnprocessedTokens(),
                           routing::UpstreamCallResult::kDraining, now - begin,
                           now);
    if (parts_->upstreams->MarkLeaving(target->id, now,
                                       routing::kMinLeavingTime)) {
      parts_->cluster->AnnounceUpstreamLeaving(target->id);
    }
    return ResultFromError(
        MakeError(ResultCode::kNoUpstream, "the upstream is draining"));
  }
  parts_->upstreams->End(route.handle, state.UnprocessedTokens(),
                         routing::UpstreamCallResult::kFailed, now - begin,
                         now);
  if (report.end == http::CallEnd::kNotSent) {
    return ResultFromError(
        FailAs(ResultCode::kUpstreamFailed, Outcome::kNotRun, report.detail)
            .value());
  }
  CallResult result =
      ResultFromError(MakeError(ResultCode::kUpstreamFailed, report.detail));
  result.response_started = state.response_started();
  if (report.end == http::CallEnd::kTimedOut) {
    result.code = ResultCode::kDeadlineExceeded;
  } else if (state.response_started()) {
    result.code = ResultCode::kResponseTruncated;
    result.message = "the upstream's response is incomplete";
  } else if (state.server_failed()) {
    result.message =
        "the upstream returned status " + std::to_string(state.status());
  }
  if (call.is_model && report.end == http::CallEnd::kTimedOut) {
    Cancel(call, target->endpoint, upstream_request_id);
  }
  return result;
}

}  // namespace basilvalve::gateway
