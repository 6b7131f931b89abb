#include "Core/Gateway/claim_gate.h"

#include <algorithm>

#include "Core/Common/hash.h"
#include "Core/Gateway/cluster_view.h"

namespace basilvalve::gateway {
namespace {

using claims::BeginKind;
using claims::BeginResult;
using claims::FinishedCall;

constexpr size_t kMaxAbandoned = 4096;

/// Hands an answer on and keeps a copy for repetitions of the call.
class RecordingSink : public AnswerSink {
 public:
  explicit RecordingSink(AnswerSink* sink) : sink_(sink) {}

  bool Begin(const peer::AnswerHead& head) override {
    finished.http_status = head.status;
    finished.content_type = head.content_type;
    sink_->Begin(head);
    return true;
  }

  bool Piece(std::string_view piece) override {
    finished.body.append(piece);
    sink_->Piece(piece);
    return true;
  }

  // A non-idempotent call is not given up when its caller goes: the answer is
  // kept for the caller's next try.
  bool Gone() override { return false; }

  FinishedCall finished;

 private:
  AnswerSink* sink_;
};

/// Hash of all that makes two calls the same.
uint64_t BodyHash(const Call& call) {
  uint64_t hash = Hash64(call.method);
  hash = Hash64(call.path, hash);
  hash = Hash64(call.query, hash);
  return Hash64(call.body, hash);
}

std::string KeyLedgerId(const Call& call) {
  return "key/" + call.service.value() + "/" + Sha256Hex(call.idempotency_key);
}

}  // namespace

CallEnd ClaimGate::Run(const Call& call, AnswerSink* sink) {
  if (!call.ticket.empty()) {
    return RunWithTicket(call, sink);
  }
  if (!call.idempotency_key.empty()) {
    return RunWithKey(call, sink);
  }
  return EndOf(MakeError(
      ResultCode::kClaimRequired,
      "send a Basilvalve-Ticket from /v1/entry or an Idempotency-Key"));
}

FinishedCall ClaimGate::RunRecorded(const Call& call, AnswerSink* sink,
                                    CallEnd* end) {
  RecordingSink recording(sink);
  *end = executor_->Run(call, &recording);
  recording.finished.outcome = end->outcome;
  recording.finished.code = end->code;
  return std::move(recording.finished);
}

CallEnd ClaimGate::Replay(const BeginResult& begun, AnswerSink* sink) {
  if (begun.kind == BeginKind::kBodyDiffers) {
    return EndOf(MakeError(ResultCode::kKeyReused,
                           "the ticket or key was used with another body"));
  }
  if (begun.kind == BeginKind::kRunning) {
    return EndOf(
        MakeError(ResultCode::kStillRunning, "the first request still runs"));
  }
  const FinishedCall& finished = *begun.finished;
  if (finished.outcome != Outcome::kDone) {
    return EndOf(
        Error{finished.code, finished.outcome, "the first request ended so"});
  }
  if (!finished.body_kept) {
    return EndOf(Error{ResultCode::kOwnerGone, Outcome::kDone,
                       "the call ran, its answer is no longer kept"});
  }
  sink->Begin({finished.http_status, finished.content_type, parts_->region,
               UpstreamId()});
  sink->Piece(finished.body);
  return {Outcome::kDone, ResultCode::kOk, "", true, Millis(0)};
}

CallEnd ClaimGate::RunWithTicket(const Call& call, AnswerSink* sink) {
  Result<claims::Ticket> ticket =
      claims::ParseTicket(call.ticket, *parts_->keyring);
  if (!ticket) {
    return EndOf(ticket.error());
  }
  if (ticket->service != call.service) {
    return EndOf(MakeError(ResultCode::kTicketInvalid,
                           "the ticket is for another service"));
  }
  bool owned = ticket->owner == parts_->self &&
               ticket->incarnation == parts_->incarnation;
  parts_->journal->Step(call.id, "claim",
                        owned ? "own ticket" : "ticket of another instance",
                        ticket->owner.value());
  if (!owned) {
    return AskOwner(call, ticket->owner, ticket->incarnation, sink);
  }
  Result<BeginResult> begun = parts_->tickets->Redeem(
      ticket->sequence, BodyHash(call), parts_->clock->Now());
  if (!begun) {
    return EndOf(begun.error());
  }
  if (begun->kind != BeginKind::kRun) {
    return Replay(*begun, sink);
  }
  CallEnd end;
  FinishedCall finished = RunRecorded(call, sink, &end);
  parts_->tickets->Finish(ticket->sequence, std::move(finished),
                          parts_->clock->Now());
  return end;
}

CallEnd ClaimGate::AskOwner(const Call& call, const InstanceId& owner,
                            Incarnation incarnation, AnswerSink* sink) {
  CallEnd gone =
      EndOf(MakeError(ResultCode::kOwnerGone, "instance " + owner.value() +
                                                  ", which decides, is gone"));
  if (call.origin != CallOrigin::kCaller || owner == parts_->self) {
    // Either the call was sent here as the owner, or the owner is an earlier
    // start of this instance, whose memory is lost.
    return gone;
  }
  std::optional<membership::MemberInfo> member = parts_->cluster->Find(owner);
  bool alive = member && member->incarnation == incarnation &&
               member->state != membership::MemberState::kDead &&
               member->state != membership::MemberState::kLeft;
  if (!alive) {
    return gone;
  }
  if (!call.record->document.Permits(member->region)) {
    return EndOf(MakeError(ResultCode::kResidencyForbidden,
                           "the owner is in a forbidden region"));
  }
  CallEnd end = peers_->Run(call, *member, peer::Purpose::kOwner, 1, sink);
  bool unreachable =
      end.code == ResultCode::kPeerLost && end.outcome == Outcome::kNotRun;
  // This request was not run, but an earlier one with the same ticket may have
  // been, and only the owner knows.
  return unreachable ? gone : end;
}

CallEnd ClaimGate::AnswerOther(const Call& call,
                               const claims::ClaimRecord& record,
                               AnswerSink* sink) {
  if (record.body_hash != BodyHash(call)) {
    return EndOf(MakeError(ResultCode::kKeyReused,
                           "the key was used with another body"));
  }
  CallEnd end = AskOwner(call, record.owner, record.incarnation, sink);
  bool told_by_store =
      end.code == ResultCode::kOwnerGone && record.outcome == Outcome::kDone;
  if (told_by_store) {
    end.outcome = Outcome::kDone;
    end.message = "the call ran, its answer is no longer kept";
  }
  return end;
}

void ClaimGate::Abandon(const RequestId& request) {
  std::lock_guard lock(mutex_);
  if (abandoned_.size() >= kMaxAbandoned) {
    // Forgetting one is safe: its claim is then told as unknown.
    abandoned_.pop_front();
  }
  abandoned_.push_back(request);
}

bool ClaimGate::WasAbandoned(const claims::ClaimRecord& record) {
  std::lock_guard lock(mutex_);
  return record.owner == parts_->self &&
         record.incarnation == parts_->incarnation &&
         std::find(abandoned_.begin(), abandoned_.end(), record.request) !=
             abandoned_.end();
}

CallEnd ClaimGate::RunClaimed(const Call& call, const std::string& ledger_id,
                              AnswerSink* sink) {
  claims::ClaimRecord wanted{parts_->self, parts_->incarnation, call.id,
                             BodyHash(call), Outcome::kRunning};
  parts_->metrics->CountStoreCall("claim");
  Result<claims::ClaimResult> claim =
      parts_->claim_store->Acquire(call.service, call.idempotency_key, wanted);
  bool reusable = claim && !claim->owned &&
                  (claim->record.outcome == Outcome::kNotRun ||
                   WasAbandoned(claim->record));
  if (reusable) {
    claim = parts_->claim_store->Replace(call.service, call.idempotency_key,
                                         *claim, wanted);
  }
  FinishedCall not_run;
  not_run.outcome = Outcome::kNotRun;
  parts_->journal->Step(
      call.id, "claim", claim && claim->owned ? "claimed" : "not claimed",
      claim ? claim->record.owner.value() : claim.error().message);
  if (!claim) {
    Abandon(call.id);
  }
  if (!claim || !claim->owned) {
    parts_->call_ledger->Finish(ledger_id, std::move(not_run),
                                parts_->clock->Now());
    return claim ? AnswerOther(call, claim->record, sink)
                 : EndOf(claim.error());
  }
  CallEnd end;
  FinishedCall finished = RunRecorded(call, sink, &end);
  parts_->call_ledger->Finish(ledger_id, std::move(finished),
                              parts_->clock->Now());
  parts_->metrics->CountStoreCall("claim");
  (void)parts_->claim_store->Finish(call.service, call.idempotency_key, *claim,
                                    end.outcome);
  return end;
}

CallEnd ClaimGate::RunWithKey(const Call& call, AnswerSink* sink) {
  std::string ledger_id = KeyLedgerId(call);
  BeginResult begun = parts_->call_ledger->Begin(ledger_id, BodyHash(call),
                                                 parts_->clock->Now());
  if (begun.kind == BeginKind::kFull) {
    return EndOf(
        MakeError(ResultCode::kLedgerFull, "no room to remember another call"));
  }
  if (begun.kind != BeginKind::kRun) {
    return Replay(begun, sink);
  }
  return RunClaimed(call, ledger_id, sink);
}

}  // namespace basilvalve::gateway
