#include "Core/Gateway/peer_caller.h"

#include "Core/Gateway/forwarded_calls.h"
#include "Core/Gateway/text_sink.h"

namespace basilvalve::gateway {
namespace {

// Interval at which a disconnected caller is noticed while the other instance
// sends nothing.
constexpr Millis kReadPollPeriod{50};
constexpr Millis kGoAheadTimeout{2000};

}  // namespace

CallResult PeerCaller::Run(const Call& call, const membership::MemberInfo& to,
                           peer::Purpose purpose, uint32_t attempt,
                           CallResponseSink* sink) {
  Instant begin = parts_->clock->Now();
  Result<std::unique_ptr<peer::ClientStream>> stream = parts_->peers->Open(
      to.peer, BuildStreamHeader(*parts_, call, purpose, attempt,
                                 Sequence(next_sequence_.fetch_add(1))));
  if (!stream) {
    return ResultFromError(stream.error());
  }
  Instant go_ahead_deadline = std::min(call.deadline, begin + kGoAheadTimeout);
  Result<void> accepted = (*stream)->AwaitContinue(go_ahead_deadline);
  if (!accepted) {
    return ResultFromError(accepted.error());
  }
  (*stream)->SendBody(call.body);
  if (to.region != parts_->region) {
    parts_->metrics->CountCrossRegionBytes(call.body.size());
  }
  CallResult result = RelayResponse(call, stream->get(), sink);
  if (purpose == peer::Purpose::kRun || purpose == peer::Purpose::kRunAsOwner) {
    observe::LogSpan(call.trace, "forward", call.id.value(),
                     parts_->clock->Now() - begin, to.id.value());
  }
  return result;
}

CallResult PeerCaller::RelayResponse(const Call& call,
                                     peer::ClientStream* stream,
                                     CallResponseSink* sink) {
  Result<peer::ResponseHead> head = stream->AwaitResponseHead(call.deadline);
  if (!head) {
    return ResultFromError(head.error());
  }
  CallResult caller_disconnected{Outcome::kUnknown,
                                 ResultCode::kCallerDisconnected,
                                 "the caller disconnected", true, Millis(0)};
  if (!sink->Begin(*head)) {
    return caller_disconnected;
  }
  bool cross_region = head->region != parts_->region;
  while (true) {
    Result<std::optional<std::string>> chunk = stream->Read(kReadPollPeriod);
    if (!chunk) {
      CallResult result = ResultFromError(chunk.error());
      result.response_started = true;
      return result;
    }
    if (!chunk->has_value()) {
      return {Outcome::kDone, ResultCode::kOk, "", true, Millis(0)};
    }
    if (cross_region) {
      parts_->metrics->CountCrossRegionBytes((*chunk)->size());
    }
    bool receiver_connected = (*chunk)->empty() ? !sink->ReceiverDisconnected()
                                                : sink->WriteChunk(**chunk);
    if (!receiver_connected) {
      return caller_disconnected;
    }
    if (parts_->clock->Now() > call.deadline) {
      return {Outcome::kUnknown, ResultCode::kDeadlineExceeded,
              "the deadline passed while the response was received", true,
              Millis(0)};
    }
  }
}

Result<std::string> PeerCaller::SendRequest(const membership::MemberInfo& to,
                                            peer::Purpose purpose,
                                            const RequestId& request,
                                            const std::string& body,
                                            Millis timeout) {
  Call call;
  call.id = request;
  call.body = body;
  call.trace = parts_->ids->NewChildSpan("");
  call.arrived = parts_->clock->Now();
  call.deadline = call.arrived + timeout;
  TextSink sink;
  CallResult result = Run(call, to, purpose, 0, &sink);
  if (result.outcome != Outcome::kDone) {
    return FailAs(result.code, result.outcome, result.message);
  }
  return std::move(sink.text);
}

}  // namespace basilvalve::gateway
