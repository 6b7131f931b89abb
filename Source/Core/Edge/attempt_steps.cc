#include "Core/Edge/attempt_steps.h"

#include "Core/Common/hash.h"
#include "Core/Edge/call_log.h"
#include "Core/Edge/hedge_planner.h"
#include "Core/Edge/hop_header.h"
#include "Core/Edge/message_serializer.h"
#include "Core/Edge/response_classifier.h"

namespace basilvalve::edge {
namespace {

ResponseClaim ClaimOf(const RequestId& id, const Attempt& attempt,
                      const net::MessageHead& head,
                      const ResponseInfo& response) {
  ResponseClaim claim{response.named_call, response.not_executed, {}};
  const std::string* outcome =
      attempt.upstream ? nullptr : head.Find(kHopOutcomeHeader);
  if (outcome != nullptr) {
    const std::string* call = head.Find(kHopCallHeader);
    claim.peer_outcome = ParseOutcome(*outcome);
    claim.named_call = call == nullptr ? NamedCall::kNone
                       : *call == id.value()
                           ? NamedOn(*attempt.connection, NamedCall::kThis)
                           : NamedCall::kOther;
  }
  return claim;
}

// Records what the response says about its sender's willingness.
void RecordNotice(EdgeComponents* components, Attempt* attempt,
                  const net::MessageHead& head, const ResponseInfo& response) {
  Instant now = components->loop->Now();
  if (attempt->upstream) {
    attempt->is_leaving = response.is_leaving;
    components->notices->OnResponse(attempt->upstream->record.id,
                                    attempt->notice.get(), response,
                                    attempt->sent_at, now);
    return;
  }
  if (const std::string* leaving = head.Find(kHopLeavingHeader)) {
    components->notices->OnHopLeaving(*leaving, now);
  }
}

}  // namespace

net::RequestKey KeyOf(const RequestId& id) {
  return net::RequestKey(Hash64(id.value()));
}

void SendAttempt(EdgeComponents* components, Attempt* attempt,
                 std::shared_ptr<net::ClientConnection> connection,
                 std::string bytes, net::RequestKey key,
                 net::ClientObserver* observer) {
  attempt->is_active = true;
  attempt->sent_at = components->loop->Now();
  attempt->last_event_at = attempt->sent_at;
  attempt->listening_since = attempt->sent_at;
  attempt->connection = std::move(connection);
  attempt->is_connection_reused = attempt->connection->is_connected();
  attempt->connection->Send(std::move(bytes), observer, key);
}

bool ReadHead(EdgeComponents* components, const CallParams& params,
              Attempt* attempt, const net::MessageHead& head) {
  Instant now = components->loop->Now();
  ResponseInfo response =
      components->dialect->ParseResponseHead(head, params.id);
  response.named_call = NamedOn(*attempt->connection, response.named_call);
  ResponseClaim claim = ClaimOf(params.id, *attempt, head, response);
  ResponseOrigin origin = OriginOf(claim);
  // A late response to another call still tells about its sender.
  if (claim.named_call != NamedCall::kNone) {
    RecordNotice(components, attempt, head, response);
  }
  if (origin == ResponseOrigin::kForeign) {
    LogForeignResponse(params, attempt->endpoint, head.status, claim);
    components->metrics->CountForeignResponse(NamedCallName(claim.named_call));
    return false;
  }
  attempt->head = head;
  attempt->not_run_proof = NotRunProof::FromResponse(claim);
  if (attempt->not_run_proof) {
    LogRefusal(params, attempt->endpoint, head.status, now - attempt->sent_at);
  }
  if (attempt->upstream &&
      (attempt->not_run_proof || PromisesNotRun(head.status))) {
    components->hedges->OnRefusal(attempt->upstream->record.service);
  }
  if (origin == ResponseOrigin::kPeerFailure) {
    attempt->peer_outcome =
        attempt->not_run_proof ? Outcome::kNotRun : Outcome::kUnknown;
    attempt->is_unsent_by_peer =
        attempt->not_run_proof && head.Find(kHopUnsentHeader) != nullptr;
    attempt->peer_retry_after = ParseRetryAfter(head);
    return true;
  }
  attempt->last_event_at = now;
  if (attempt->upstream) {
    attempt->upstream->last_received_at = now;
    if (response.load) {
      components->registry->OnReportedLoad(*attempt->upstream, *response.load,
                                           now);
    }
  }
  if (attempt->not_run_proof) {
    if (response.is_misdirected && attempt->upstream) {
      attempt->upstream->is_misdirected = true;
    }
    attempt->OnRefused(components, response, params.size);
    return true;
  }
  attempt->is_unverified = !response.is_verified;
  return true;
}

bool IsWinningHead(const Attempt& attempt) {
  return ClassifyResponse({.status = attempt.head.status,
                           .peer_outcome = attempt.peer_outcome,
                           .is_refusal = attempt.not_run_proof.has_value(),
                           .is_unverified = attempt.is_unverified})
             .verdict == ResponseVerdict::kForward;
}

bool IsUpstreamError(const Attempt& attempt) {
  return ClassifyResponse({.status = attempt.head.status}).verdict ==
         ResponseVerdict::kUpstreamError;
}

ConnectionFailure FailAttempt(EdgeComponents* components,
                              const CallParams& params, Attempt* attempt) {
  Instant now = components->loop->Now();
  ConnectionFailure failure;
  failure.unsent = NotRunProof::FromConnection(*attempt->connection);
  bool was_sent = !failure.unsent;
  failure.is_stale = !was_sent && attempt->is_connection_reused;
  if (attempt->upstream && !was_sent) {
    components->send_limiter->OnUnsent(attempt->upstream->record.id);
  }
  attempt->ReleaseLoad();
  attempt->is_active = false;
  attempt->connection = nullptr;
  if (failure.is_stale) {
    LogStaleConnection(params, attempt->endpoint);
    if (attempt->upstream) {
      attempt->upstream->breaker.OnNeutral();
    }
    (attempt->upstream ? components->upstream_pool : components->peer_pool)
        ->CloseIdle(attempt->endpoint);
  } else if (attempt->upstream) {
    attempt->RecordResult(/*has_failed=*/true, now);
    attempt->upstream->breaker.OnFailure(now);
    components->upstream_pool->CloseIdle(attempt->endpoint);
  } else if (!was_sent) {
    components->fleet->OnUnreachable(attempt->peer, now);
    components->on_peer_unreachable();
  }
  return failure;
}

std::optional<NotRunProof> CancelAttempt(EdgeComponents* components,
                                         Attempt* attempt) {
  attempt->is_active = false;
  attempt->ReleaseLoad();
  if (attempt->upstream && !attempt->has_first_byte) {
    attempt->upstream->breaker.OnNeutral();
  }
  auto unsent = NotRunProof::FromConnection(*attempt->connection);
  if (unsent && attempt->upstream) {
    components->send_limiter->OnUnsent(attempt->upstream->record.id);
  }
  attempt->connection->Abort();
  attempt->connection = nullptr;
  return unsent;
}

}  // namespace basilvalve::edge
