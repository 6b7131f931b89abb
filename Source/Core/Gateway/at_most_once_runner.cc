#include "Core/Gateway/at_most_once_runner.h"

#include <algorithm>

#include "Core/Common/hash.h"
#include "Core/Gateway/cluster_view.h"

namespace basilvalve::gateway {
namespace {

using claims::BeginKind;
using claims::BeginResult;
using claims::FinishedCall;

constexpr size_t kMaxAbandonedRequests = 4096;

/// Forwards a response and keeps a copy for duplicates of the call.
class RecordingSink : public CallResponseSink {
 public:
  explicit RecordingSink(CallResponseSink* sink) : sink_(sink) {}

  bool Begin(const peer::ResponseHead& head) override {
    finished.http_status = head.status;
    finished.content_type = head.content_type;
    sink_->Begin(head);
    return true;
  }

  bool WriteChunk(std::string_view chunk) override {
    finished.body.append(chunk);
    sink_->WriteChunk(chunk);
    return true;
  }

  // A non-idempotent call continues after its caller disconnects, so that its
  // response is stored for the caller's retry.
  bool ReceiverDisconnected() override { return false; }

  FinishedCall finished;

 private:
  CallResponseSink* sink_;
};

/// Hash of the method, path, query and body. A duplicate must have the same
/// hash as the first request with its ticket or key.
uint64_t RequestHash(const Call& call) {
  uint64_t hash = Hash64(call.method);
  hash = Hash64(call.path, hash);
  hash = Hash64(call.query, hash);
  return Hash64(call.body, hash);
}

std::string KeyLedgerId(const Call& call) {
  return "key/" + call.service.value() + "/" + Sha256Hex(call.idempotency_key);
}

}  // namespace

CallResult AtMostOnceRunner::Run(const Call& call, CallResponseSink* sink) {
  if (!call.ticket.empty()) {
    return RunWithTicket(call, sink);
  }
  if (!call.idempotency_key.empty()) {
    return RunWithKey(call, sink);
  }
  return ResultFromError(MakeError(
      ResultCode::kClaimRequired,
      "send a Basilvalve-Ticket from /v1/entry or an Idempotency-Key"));
}

FinishedCall AtMostOnceRunner::RunAndRecord(const Call& call,
                                            CallResponseSink* sink,
                                            CallResult* result) {
  RecordingSink recording(sink);
  *result = executor_->Run(call, &recording);
  recording.finished.outcome = result->outcome;
  recording.finished.code = result->code;
  return std::move(recording.finished);
}

CallResult AtMostOnceRunner::RespondToDuplicate(const BeginResult& begin_result,
                                                CallResponseSink* sink) {
  if (begin_result.kind == BeginKind::kBodyDiffers) {
    return ResultFromError(
        MakeError(ResultCode::kKeyReused,
                  "the ticket or key was used with another body"));
  }
  if (begin_result.kind == BeginKind::kRunning) {
    return ResultFromError(MakeError(ResultCode::kStillRunning,
                                     "the first request is still running"));
  }
  const FinishedCall& finished = *begin_result.finished;
  if (finished.outcome != Outcome::kDone) {
    return ResultFromError(Error{finished.code, finished.outcome,
                                 "the first request ended with this result"});
  }
  if (!finished.body_stored) {
    return ResultFromError(
        Error{ResultCode::kOwnerUnavailable, Outcome::kDone,
              "the call completed, but its response is no longer stored"});
  }
  sink->Begin({finished.http_status, finished.content_type, parts_->region,
               UpstreamId()});
  sink->WriteChunk(finished.body);
  return {Outcome::kDone, ResultCode::kOk, "", true, Millis(0)};
}

CallResult AtMostOnceRunner::RunWithTicket(const Call& call,
                                           CallResponseSink* sink) {
  Result<claims::Ticket> ticket =
      claims::ParseTicket(call.ticket, *parts_->keyring);
  if (!ticket) {
    return ResultFromError(ticket.error());
  }
  if (ticket->service != call.service) {
    return ResultFromError(MakeError(ResultCode::kTicketInvalid,
                                     "the ticket is for another service"));
  }
  bool owned = ticket->owner == parts_->self &&
               ticket->incarnation == parts_->incarnation;
  parts_->journal->AddStep(call.id, "claim",
                           owned ? "own ticket" : "ticket of another instance",
                           ticket->owner.value());
  if (!owned) {
    return ForwardToOwner(call, ticket->owner, ticket->incarnation, sink);
  }
  Result<BeginResult> begin_result = parts_->tickets->Redeem(
      ticket->sequence, RequestHash(call), parts_->clock->Now());
  if (!begin_result) {
    return ResultFromError(begin_result.error());
  }
  if (begin_result->kind != BeginKind::kRun) {
    return RespondToDuplicate(*begin_result, sink);
  }
  CallResult result;
  FinishedCall finished = RunAndRecord(call, sink, &result);
  parts_->tickets->Finish(ticket->sequence, std::move(finished),
                          parts_->clock->Now());
  return result;
}

CallResult AtMostOnceRunner::ForwardToOwner(const Call& call,
                                            const InstanceId& owner,
                                            Incarnation incarnation,
                                            CallResponseSink* sink) {
  CallResult owner_unavailable = ResultFromError(
      MakeError(ResultCode::kOwnerUnavailable,
                "instance " + owner.value() +
                    ", the owner of the claim, is unavailable"));
  if (call.origin != CallOrigin::kCaller || owner == parts_->self) {
    // Either another instance forwarded the call here because it took this
    // instance for the owner, or the owner is an earlier incarnation of this
    // instance, whose in-memory ledgers are lost.
    return owner_unavailable;
  }
  std::optional<membership::MemberInfo> member = parts_->cluster->Find(owner);
  bool alive = member && member->incarnation == incarnation &&
               member->state != membership::MemberState::kDead &&
               member->state != membership::MemberState::kLeft;
  if (!alive) {
    return owner_unavailable;
  }
  if (!call.record->document.Permits(member->region)) {
    return ResultFromError(
        MakeError(ResultCode::kResidencyForbidden,
                  "the document does not permit the region of the owner"));
  }
  CallResult result =
      peers_->Run(call, *member, peer::Purpose::kRunAsOwner, 1, sink);
  bool unreachable = result.code == ResultCode::kPeerLost &&
                     result.outcome == Outcome::kNotRun;
  // This request did not run, but an earlier one with the same ticket or key
  // may have, and only the owner has its outcome. So kOwnerUnavailable is
  // reported, not kNotRun.
  return unreachable ? owner_unavailable : result;
}

CallResult AtMostOnceRunner::RespondFromClaim(const Call& call,
                                              const claims::ClaimRecord& record,
                                              CallResponseSink* sink) {
  if (record.body_hash != RequestHash(call)) {
    return ResultFromError(MakeError(ResultCode::kKeyReused,
                                     "the key was used with another body"));
  }
  CallResult result =
      ForwardToOwner(call, record.owner, record.incarnation, sink);
  bool recorded_done = result.code == ResultCode::kOwnerUnavailable &&
                       record.outcome == Outcome::kDone;
  if (recorded_done) {
    result.outcome = Outcome::kDone;
    result.message = "the call completed, but its response is no longer stored";
  }
  return result;
}

void AtMostOnceRunner::RememberAbandoned(const RequestId& request) {
  std::lock_guard lock(mutex_);
  if (abandoned_requests_.size() >= kMaxAbandonedRequests) {
    // Dropping an entry is safe: its claim is then not replaced, and its
    // outcome is reported as unknown.
    abandoned_requests_.pop_front();
  }
  abandoned_requests_.push_back(request);
}

bool AtMostOnceRunner::WasAbandoned(const claims::ClaimRecord& record) {
  std::lock_guard lock(mutex_);
  return record.owner == parts_->self &&
         record.incarnation == parts_->incarnation &&
         std::find(abandoned_requests_.begin(), abandoned_requests_.end(),
                   record.request) != abandoned_requests_.end();
}

CallResult AtMostOnceRunner::ClaimAndRun(const Call& call,
                                         const std::string& ledger_id,
                                         CallResponseSink* sink) {
  claims::ClaimRecord new_claim{parts_->self, parts_->incarnation, call.id,
                                RequestHash(call), Outcome::kRunning};
  parts_->metrics->CountStoreCall("claim");
  Result<claims::ClaimResult> claim = parts_->claim_store->Acquire(
      call.service, call.idempotency_key, new_claim);
  bool replaceable = claim && !claim->owned &&
                     (claim->record.outcome == Outcome::kNotRun ||
                      WasAbandoned(claim->record));
  if (replaceable) {
    claim = parts_->claim_store->Replace(call.service, call.idempotency_key,
                                         *claim, new_claim);
  }
  FinishedCall not_run;
  not_run.outcome = Outcome::kNotRun;
  parts_->journal->AddStep(
      call.id, "claim", claim && claim->owned ? "claimed" : "not claimed",
      claim ? claim->record.owner.value() : claim.error().message);
  if (!claim) {
    RememberAbandoned(call.id);
  }
  if (!claim || !claim->owned) {
    parts_->call_ledger->Finish(ledger_id, std::move(not_run),
                                parts_->clock->Now());
    return claim ? RespondFromClaim(call, claim->record, sink)
                 : ResultFromError(claim.error());
  }
  CallResult result;
  FinishedCall finished = RunAndRecord(call, sink, &result);
  parts_->call_ledger->Finish(ledger_id, std::move(finished),
                              parts_->clock->Now());
  parts_->metrics->CountStoreCall("claim");
  (void)parts_->claim_store->Finish(call.service, call.idempotency_key, *claim,
                                    result.outcome);
  return result;
}

CallResult AtMostOnceRunner::RunWithKey(const Call& call,
                                        CallResponseSink* sink) {
  std::string ledger_id = KeyLedgerId(call);
  BeginResult begin_result = parts_->call_ledger->Begin(
      ledger_id, RequestHash(call), parts_->clock->Now());
  if (begin_result.kind == BeginKind::kFull) {
    return ResultFromError(
        MakeError(ResultCode::kLedgerFull, "the call ledger is full"));
  }
  if (begin_result.kind != BeginKind::kRun) {
    return RespondToDuplicate(begin_result, sink);
  }
  return ClaimAndRun(call, ledger_id, sink);
}

}  // namespace basilvalve::gateway
