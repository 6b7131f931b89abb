#include "Core/Gateway/peer_caller.h"

#include "Core/Gateway/forwarded_calls.h"
#include "Core/Gateway/text_sink.h"

namespace basilvalve::gateway {
namespace {

// Bound on how late a caller's departure is noticed while the other side is
// silent.
constexpr Millis kReadSlice{50};
constexpr Millis kGoAheadLimit{2000};

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
  Instant go_ahead_limit = std::min(call.deadline, begin + kGoAheadLimit);
  Result<void> accepted = (*stream)->AwaitContinue(go_ahead_limit);
  if (!accepted) {
    return EndFromError(accepted.error());
  }
  (*stream)->SendBody(call.body);
  if (to.region != parts_->region) {
    parts_->metrics->CountCrossRegionBytes(call.body.size());
  }
  CallEnd end = Relay(call, stream->get(), sink);
  if (purpose == peer::Purpose::kRun || purpose == peer::Purpose::kRunAsOwner) {
    observe::LogSpan(call.trace, "forward", call.id.value(),
                     parts_->clock->Now() - begin, to.id.value());
  }
  return end;
}

CallEnd PeerCaller::Relay(const Call& call, peer::ClientStream* stream,
                          CallResponseSink* sink) {
  Result<peer::ResponseHead> head = stream->AwaitResponseHead(call.deadline);
  if (!head) {
    return EndFromError(head.error());
  }
  CallEnd gone{Outcome::kUnknown, ResultCode::kCallerGone,
               "the caller has gone", true, Millis(0)};
  if (!sink->Begin(*head)) {
    return gone;
  }
  bool from_away = head->region != parts_->region;
  while (true) {
    Result<std::optional<std::string>> piece = stream->Read(kReadSlice);
    if (!piece) {
      CallEnd end = EndFromError(piece.error());
      end.response_started = true;
      return end;
    }
    if (!piece->has_value()) {
      return {Outcome::kDone, ResultCode::kOk, "", true, Millis(0)};
    }
    if (from_away) {
      parts_->metrics->CountCrossRegionBytes((*piece)->size());
    }
    bool there =
        (*piece)->empty() ? !sink->ReceiverGone() : sink->WriteChunk(**piece);
    if (!there) {
      return gone;
    }
    if (parts_->clock->Now() > call.deadline) {
      return {Outcome::kUnknown, ResultCode::kDeadlineExceeded,
              "the deadline passed", true, Millis(0)};
    }
  }
}

Result<std::string> PeerCaller::Ask(const membership::MemberInfo& to,
                                    peer::Purpose purpose,
                                    const RequestId& request,
                                    const std::string& body, Millis limit) {
  Call call;
  call.id = request;
  call.body = body;
  call.trace = parts_->ids->NewChildSpan("");
  call.arrived = parts_->clock->Now();
  call.deadline = call.arrived + limit;
  TextSink sink;
  CallEnd end = Run(call, to, purpose, 0, &sink);
  if (end.outcome != Outcome::kDone) {
    return FailAs(end.code, end.outcome, end.message);
  }
  return std::move(sink.text);
}

}  // namespace basilvalve::gateway
