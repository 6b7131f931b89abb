#include "Core/Gateway/peer_api.h"

#include <algorithm>

namespace basilvalve::gateway {
namespace {

constexpr Millis kBodyLimit{10000};
constexpr int kOk = 200;

/// Hands an answer to the instance that forwarded the call.
class StreamSink : public AnswerSink {
 public:
  explicit StreamSink(peer::ServerStream* stream) : stream_(stream) {}

  bool Begin(const peer::AnswerHead& head) override {
    begun_ = true;
    stream_->SendHead(head);
    return !stream_->Cancelled();
  }
  bool Piece(std::string_view piece) override { return stream_->Write(piece); }
  bool Gone() override { return stream_->Cancelled(); }
  bool begun() const { return begun_; }

 private:
  peer::ServerStream* stream_;
  bool begun_ = false;
};

void Answer(peer::ServerStream* stream, const RegionId& region,
            const std::string& text) {
  stream->SendHead({kOk, "application/json", region, UpstreamId()});
  stream->Write(text);
  stream->Finish(Outcome::kDone, ResultCode::kOk, "");
}

}  // namespace

Call PeerApi::BuildCall(const peer::StreamHeader& header) const {
  Call call;
  call.id = header.request;
  call.trace = parts_->ids->Span(header.traceparent);
  call.origin = header.sender_region == parts_->region
                    ? CallOrigin::kSameRegion
                    : CallOrigin::kOtherRegion;
  call.service = header.service;
  call.method = header.method;
  call.path = header.path;
  call.query = header.query;
  call.content_type = header.content_type;
  call.streaming = header.streaming;
  call.ticket = header.ticket;
  call.idempotency_key = header.idempotency_key;
  call.arrived = parts_->clock->Now();
  call.wanted_deadline = header.remaining;
  call.hops = header.hops;
  call.regions = header.regions;
  call.sender_version = header.version;
  return call;
}

void PeerApi::HandleCall(peer::ServerStream* stream) {
  const peer::StreamHeader& header = stream->header();
  Call call = BuildCall(header);
  parts_->journal->Begin(call.id, call.service.value());
  Result<void> passed = filters_.Apply(&call);
  if (passed && header.remaining.count() <= 0) {
    passed = Fail(ResultCode::kDeadlineTooShort, "no time is left");
  }
  if (passed && parts_->draining->load() &&
      header.purpose == peer::Purpose::kRun) {
    passed = Fail(ResultCode::kDraining, "this instance is stopping");
  }
  if (!passed) {
    parts_->journal->End(call.id, passed.error().outcome, passed.error().code);
    stream->Refuse(passed.error());
    return;
  }
  Result<std::string> body =
      stream->AcceptBody(std::min(call.deadline, call.arrived + kBodyLimit));
  if (!body) {
    parts_->journal->End(call.id, body.error().outcome, body.error().code);
    stream->FinishWithError(body.error());
    return;
  }
  call.body = std::move(*body);
  StreamSink sink(stream);
  Result<void> prompt = filters_.ApplyBody(&call);
  CallEnd end = !prompt ? EndOf(prompt.error())
                : header.purpose == peer::Purpose::kOwner && !call.idempotent
                    ? gate_->Run(call, &sink)
                    : runner_->Run(call, &sink);
  parts_->journal->End(call.id, end.outcome, end.code);
  parts_->metrics->CountRequest(end.code, end.outcome);
  if (sink.begun()) {
    stream->Finish(end.outcome, end.code, end.message);
  } else {
    stream->FinishWithError({end.code, end.outcome, end.message});
  }
  observe::LogSpan(call.trace, "peer", call.id.value(),
                   parts_->clock->Now() - call.arrived, RowOf(end.code).name);
}

void PeerApi::HandleDocuments(peer::ServerStream* stream) {
  Result<std::string> body =
      stream->AcceptBody(parts_->clock->Now() + kBodyLimit);
  Result<std::string> answer = body ? documents_->Exchange(*body) : body;
  if (!answer) {
    stream->FinishWithError(answer.error());
    return;
  }
  Answer(stream, parts_->region, *answer);
}

void PeerApi::HandleOutcome(peer::ServerStream* stream) {
  Result<std::string> body =
      stream->AcceptBody(parts_->clock->Now() + kBodyLimit);
  if (!body) {
    stream->FinishWithError(body.error());
    return;
  }
  Answer(stream, parts_->region,
         explainer_->LocalJson(stream->header().request));
}

void PeerApi::HandleStream(peer::ServerStream* stream) {
  switch (stream->header().purpose) {
    case peer::Purpose::kRun:
    case peer::Purpose::kOwner:
      HandleCall(stream);
      break;
    case peer::Purpose::kDocuments:
      HandleDocuments(stream);
      break;
    case peer::Purpose::kOutcome:
      HandleOutcome(stream);
      break;
  }
}

}  // namespace basilvalve::gateway
