#include "Core/Gateway/caller_api.h"

#include <nlohmann/json.hpp>

#include "Core/Common/log.h"
#include "Core/Gateway/request_parser.h"

namespace basilvalve::gateway {
namespace {

using nlohmann::json;

constexpr std::string_view kOutcomePrefix = "/v1/outcomes/";
constexpr int kOk = 200;

/// Writes a response to the caller: an event stream chunk by chunk, any other
/// response at once when it is complete.
class ExchangeSink : public CallResponseSink {
 public:
  /// `buffers` must outlive the sink.
  ExchangeSink(http::Exchange* exchange, http::Headers headers,
               size_t max_bytes, ResponseBuffers* buffers)
      : exchange_(exchange),
        headers_(std::move(headers)),
        max_bytes_(max_bytes),
        buffers_(buffers) {}
  ~ExchangeSink() override { buffers_->Remove(reserved_); }
  ExchangeSink(const ExchangeSink&) = delete;
  ExchangeSink& operator=(const ExchangeSink&) = delete;

  bool Begin(const peer::ResponseHead& head) override {
    head_ = head;
    streaming_ = head.content_type.starts_with("text/event-stream");
    if (!streaming_) {
      return true;
    }
    http::Headers headers = headers_;
    headers.push_back({"Content-Type", head.content_type});
    headers.push_back({"Basilvalve-Region", head.region.value()});
    stream_started_ = true;
    return exchange_->BeginStream(head.status, headers);
  }

  bool WriteChunk(std::string_view chunk) override {
    if (streaming_) {
      return exchange_->WriteStream(chunk);
    }
    too_large_ = too_large_ || body_.size() + chunk.size() > max_bytes_ ||
                 !Reserve(chunk.size());
    if (!too_large_) {
      body_.append(chunk);
    }
    return !too_large_;
  }

  bool ReceiverDisconnected() override {
    return too_large_ || exchange_->CallerDisconnected();
  }

  /// Ends a complete response. `final_headers` are sent unless the response is
  /// an event stream, whose headers have already been sent.
  void FinishComplete(http::Headers final_headers) {
    if (streaming_) {
      exchange_->EndStream();
      return;
    }
    final_headers.push_back({"Content-Type", head_.content_type});
    final_headers.push_back({"Basilvalve-Region", head_.region.value()});
    exchange_->Reply(head_.status, final_headers, body_);
  }

  /// Ends an incomplete stream with an error event instead of the final event.
  void FinishWithErrorEvent(const std::string& error_json) {
    exchange_->WriteStream("event: error\ndata: " + error_json + "\n\n");
    exchange_->EndStream();
  }

  bool stream_started() const { return stream_started_; }
  bool too_large() const { return too_large_; }

 private:
  /// Takes memory for `n` more bytes of the body, and for their copy when it is
  /// sent.
  bool Reserve(size_t n) {
    if (!buffers_->TryAdd(2 * n)) {
      return false;
    }
    reserved_ += 2 * n;
    return true;
  }

  http::Exchange* exchange_;
  http::Headers headers_;
  size_t max_bytes_;
  ResponseBuffers* buffers_;
  size_t reserved_ = 0;
  peer::ResponseHead head_;
  std::string body_;
  bool streaming_ = false;
  bool stream_started_ = false;
  bool too_large_ = false;
};

json ErrorJson(const CallResult& result) {
  const ResultCodeRow& row = RowOf(result.code);
  return {{"error",
           {{"code", static_cast<int>(result.code)},
            {"name", row.name},
            {"outcome", OutcomeName(result.outcome)},
            {"message", result.message}}}};
}

json EntriesJson(const std::vector<EntryAdvice>& entries) {
  json list = json::array();
  for (const EntryAdvice& it : entries) {
    list.push_back({{"instance", it.instance.value()},
                    {"address", it.endpoint.Text()},
                    {"weight", it.weight}});
  }
  return list;
}

}  // namespace

http::Headers CallerApi::ResponseHeaders(const RequestId& request,
                                         Outcome outcome,
                                         ResultCode code) const {
  return {{"Basilvalve-Request-Id", request.value()},
          {"Basilvalve-Outcome", std::string(OutcomeName(outcome))},
          {"Basilvalve-Code", std::to_string(static_cast<int>(code))}};
}

void CallerApi::ReplyError(http::Exchange* exchange, const RequestId& request,
                           const CallResult& result) {
  http::Headers headers = ResponseHeaders(request, result.outcome, result.code);
  headers.push_back({"Content-Type", "application/json"});
  if (result.retry_after.count() > 0) {
    constexpr int64_t kMsPerSecond = 1000;
    int64_t seconds =
        (result.retry_after.count() + kMsPerSecond - 1) / kMsPerSecond;
    headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  json body = ErrorJson(result);
  if (result.code == ResultCode::kDraining) {
    body["error"]["entries"] = EntriesJson(advisor_->RegionEntries());
  }
  exchange->Reply(RowOf(result.code).http_status, headers, body.dump());
}

CallResult CallerApi::RunCall(Call* call, CallResponseSink* sink) {
  Result<void> passed = filters_.Apply(call);
  if (!passed) {
    return ResultFromError(passed.error());
  }
  return call->idempotent ? executor_->Run(*call, sink)
                          : at_most_once_runner_->Run(*call, sink);
}

void CallerApi::HandleCall(http::Exchange* exchange) {
  Result<Call> parsed = ParseCall(exchange, *parts_);
  if (!parsed) {
    RequestId none;
    parts_->metrics->CountRequest(parsed.error().code, parsed.error().outcome);
    ReplyError(exchange, none, ResultFromError(parsed.error()));
    return;
  }
  Call call = std::move(*parsed);
  parts_->journal->Begin(call.id, call.service.value());
  // The headers of a stream are sent before its outcome is known, so they
  // report kRunning.
  ExchangeSink sink(
      exchange, ResponseHeaders(call.id, Outcome::kRunning, ResultCode::kOk),
      static_cast<size_t>(parts_->settings->max_answer_bytes),
      parts_->response_buffers);
  CallResult result = RunCall(&call, &sink);
  if (sink.too_large()) {
    result = ResultFromError(
        MakeError(ResultCode::kResponseTruncated,
                  "the response exceeds the limit of this instance"));
  }
  // Recorded before the response is sent, because the caller may query the
  // outcome as soon as it has the response.
  parts_->journal->End(call.id, result.outcome, result.code);
  parts_->metrics->CountRequest(result.code, result.outcome);
  if (result.outcome == Outcome::kDone && result.code == ResultCode::kOk) {
    sink.FinishComplete(ResponseHeaders(call.id, result.outcome, result.code));
  } else if (sink.stream_started()) {
    sink.FinishWithErrorEvent(ErrorJson(result).dump());
  } else {
    ReplyError(exchange, call.id, result);
  }
  Micros duration = parts_->clock->Now() - call.arrived;
  observe::LogSpan(call.trace, "entry", call.id.value(), duration,
                   RowOf(result.code).name);
  LogEvent(LogLevel::kInfo, "caller", "request")
      .With("request_id", call.id.value())
      .With("service", call.service.value())
      .With("caller", call.caller_label)
      .With("outcome", OutcomeName(result.outcome))
      .With("code", static_cast<int64_t>(result.code))
      .With("duration_us", duration.count());
}

void CallerApi::HandleEntry(http::Exchange* exchange) {
  ServiceName service(http::QueryValue(exchange->request().query, "service"));
  document::RecordPtr record = parts_->catalog->Find(service);
  if (record == nullptr) {
    bool none = parts_->catalog->Digest().empty();
    ReplyError(exchange, RequestId(),
               ResultFromError(MakeError(
                   none ? ResultCode::kNoDocument : ResultCode::kUnknownService,
                   "this instance has no active document of the service")));
    return;
  }
  json body = {{"service", service.value()},
               {"region", parts_->region.value()},
               {"valid_s", parts_->settings->entry_validity_s},
               {"entries", EntriesJson(advisor_->Advise(record->document))}};
  bool may_issue_ticket =
      record->document.Permits(parts_->region) && !parts_->draining->load();
  Result<Sequence> sequence = may_issue_ticket
                                  ? parts_->tickets->Issue(parts_->clock->Now())
                                  : Fail(ResultCode::kDraining, "");
  if (sequence) {
    claims::Ticket ticket{parts_->region, parts_->self, parts_->incarnation,
                          *sequence, service};
    body["ticket"] = claims::FormatTicket(ticket, *parts_->keyring);
    body["ticket_valid_s"] = parts_->settings->ticket_validity_s;
  }
  exchange->Reply(kOk, {{"Content-Type", "application/json"}}, body.dump());
}

void CallerApi::HandleOutcome(http::Exchange* exchange) {
  RequestId request(exchange->request().path.substr(kOutcomePrefix.size()));
  Outcome outcome = explainer_->OutcomeOf(request);
  json body = {{"request", request.value()}, {"outcome", OutcomeName(outcome)}};
  exchange->Reply(kOk, {{"Content-Type", "application/json"}}, body.dump());
}

void CallerApi::Handle(http::Exchange* exchange) {
  const http::Request& request = exchange->request();
  bool is_model_call = request.path == kModelPath && request.method == "POST";
  if (is_model_call || request.path.starts_with(kServicePrefix)) {
    HandleCall(exchange);
  } else if (request.path == "/v1/entry" && request.method == "GET") {
    HandleEntry(exchange);
  } else if (request.path.starts_with(kOutcomePrefix) &&
             request.method == "GET") {
    HandleOutcome(exchange);
  } else {
    ReplyError(exchange, RequestId(),
               ResultFromError(MakeError(ResultCode::kUnknownPath,
                                         "no such path or method")));
  }
}

}  // namespace basilvalve::gateway
