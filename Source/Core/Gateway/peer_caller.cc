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

CallEnd PeerCaller::Run(const Call& call, const membership::MemberInfo& to,
                        peer::Purpose purpose, uint32_t attempt,
                        CallResponseSink* sink) {
  Instant begin = parts_->clock->Now();
  Result<std::unique_ptr<peer::ClientStream>> stream = parts_->peers->Open(
      to.peer, BuildStreamHeader(*parts_, call, purpose, attempt,
                                 Sequence(next_sequence_.fetch_add(1))));
  if (!stream) {
    return EndFromError(stream.error());
  }
  Instant go_ahead_deadline = std::min(call.deadline, begin + kGoAheadTimeout);
  Result<void> accepted = (*stream)->AwaitContinue(go_ahead_deadline);
  if (!accepted) {
    return EndFromError(accepted.error());
  }
  (*stream)->SendBody(call.body);
  if (to.region != parts_->region) {
    parts_->metrics->CountCrossRegionBytes(call.body.size());
  }
  CallEnd end = RelayAnswer(call, stream->get(), sink);
  if (purpose == peer::Purpose::kRun || purpose == peer::Purpose::kRunAsOwner) {
    observe::LogSpan(call.trace, "forward", call.id.value(),
                     parts_->clock->Now() - begin, to.id.value());
  }
  return end;
}

CallEnd PeerCaller::RelayAnswer(const Call& call, peer::ClientStream* stream,
                                CallResponseSink* sink) {
  Result<peer::ResponseHead> head = stream->AwaitResponseHead(call.deadline);
  if (!head) {
    return EndFromError(head.error());
  }
  CallEnd caller_disconnected{
      Outcome::kUnknown, ResultCode::kCallerDisconnected,
      "the caller closed the connection", true, Millis(0)};
  if (!sink->Begin(*head)) {
    return caller_disconnected;
  }
  bool cross_region = head->region != parts_->region;
  while (true) {
    Result<std::optional<std::string>> piece = stream->Read(kReadPollPeriod);
    if (!piece) {
      CallEnd end = EndFromError(piece.error());
      end.response_started = true;
      return end;
    }
    if (!piece->has_value()) {
      return {Outcome::kDone, ResultCode::kOk, "", true, Millis(0)};
    }
    if (cross_region) {
      parts_->metrics->CountCrossRegionBytes((*piece)->size());
    }
    bool receiver_connected =
        (*piece)->empty() ? !sink->ReceiverGone() : sink->WriteChunk(**piece);
    if (!receiver_connected) {
      return caller_disconnected;
    }
    if (parts_->clock->Now() > call.deadline) {
      return {Outcome::kUnknown, ResultCode::kDeadlineExceeded,
              "the deadline passed while the answer was received", true,
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
  CallEnd end = Run(call, to, purpose, 0, &sink);
  if (end.outcome != Outcome::kDone) {
    return FailAs(end.code, end.outcome, end.message);
  }
  return std::move(sink.text);
}

}  // namespace basilvalve::gateway
