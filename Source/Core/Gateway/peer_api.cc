#include "Core/Gateway/peer_api.h"

#include <algorithm>

namespace basilvalve::gateway {
namespace {

constexpr Millis kBodyTimeout{10000};
constexpr int kOk = 200;

/// Streams a response back to the instance that forwarded the call.
class StreamSink : public CallResponseSink {
 public:
  explicit StreamSink(peer::ServerStream* stream) : stream_(stream) {}

  bool Begin(const peer::ResponseHead& head) override {
    begun_ = true;
    stream_->SendResponseHead(head);
    return !stream_->Cancelled();
  }
  bool WriteChunk(std::string_view chunk) override {
    return stream_->Write(chunk);
  }
  bool ReceiverDisconnected() override { return stream_->Cancelled(); }
  bool begun() const { return begun_; }

 private:
  peer::ServerStream* stream_;
  bool begun_ = false;
};

void SendResponse(peer::ServerStream* stream, const RegionId& region,
                  const std::string& text) {
  stream->SendResponseHead({kOk, "application/json", region, UpstreamId()});
  stream->Write(text);
  stream->Finish(Outcome::kDone, ResultCode::kOk, "");
}

}  // namespace

void PeerApi::HandleCall(peer::ServerStream* stream) {
  const peer::StreamHeader& header = stream->header();
  Result<Call> accepted = calls_.Accept(header);
  if (!accepted) {
    stream->Refuse(accepted.error());
    return;
  }
  Call call = std::move(*accepted);
  Result<std::string> body =
      stream->AcceptBody(std::min(call.deadline, call.arrived + kBodyTimeout));
  if (!body) {
    calls_.Record(call, ResultFromError(body.error()));
    stream->FinishWithError(body.error());
    return;
  }
  call.body = std::move(*body);
  StreamSink sink(stream);
  CallResult result = calls_.Run(&call, header.purpose, &sink);
  if (sink.begun()) {
    stream->Finish(result.outcome, result.code, result.message);
  } else {
    stream->FinishWithError({result.code, result.outcome, result.message});
  }
  observe::LogSpan(call.trace, "peer", call.id.value(),
                   parts_->clock->Now() - call.arrived,
                   RowOf(result.code).name);
}

void PeerApi::HandleDocuments(peer::ServerStream* stream) {
  Result<std::string> body =
      stream->AcceptBody(parts_->clock->Now() + kBodyTimeout);
  Result<std::string> response =
      body ? documents_->ExchangeRecords(*body) : body;
  if (!response) {
    stream->FinishWithError(response.error());
    return;
  }
  SendResponse(stream, parts_->region, *response);
}

void PeerApi::HandleOutcome(peer::ServerStream* stream) {
  Result<std::string> body =
      stream->AcceptBody(parts_->clock->Now() + kBodyTimeout);
  if (!body) {
    stream->FinishWithError(body.error());
    return;
  }
  SendResponse(stream, parts_->region,
               explainer_->LocalJson(stream->header().request));
}

void PeerApi::HandleStream(peer::ServerStream* stream) {
  switch (stream->header().purpose) {
    case peer::Purpose::kRun:
    case peer::Purpose::kRunAsOwner:
      HandleCall(stream);
      break;
    case peer::Purpose::kSyncDocuments:
      HandleDocuments(stream);
      break;
    case peer::Purpose::kQueryOutcome:
      HandleOutcome(stream);
      break;
  }
}

}  // namespace basilvalve::gateway
