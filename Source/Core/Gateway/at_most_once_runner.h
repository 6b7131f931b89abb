// Runs a non-idempotent call at most once.
#pragma once

#include <deque>
#include <mutex>
#include <string>

#include "Core/Claims/ticket.h"
#include "Core/Gateway/call_ports.h"
#include "Core/Gateway/node_parts.h"

namespace basilvalve::gateway {

/// Deduplicates non-idempotent calls before they are passed to an executor. A
/// call with a ticket is run only by the instance that issued the ticket, and a
/// call with an idempotency key only by the instance that claimed the key in
/// the claim store. Thread safe.
class AtMostOnceRunner {
 public:
  /// Pre: the pointers outlive the runner.
  AtMostOnceRunner(const NodeParts* parts, CallExecutor* executor,
                   PeerPort* peers)
      : parts_(parts), executor_(executor), peers_(peers) {}

  /// Runs the call, or sends the stored response if the ticket or key was used
  /// before. Fails with kClaimRequired if the call has neither a ticket nor a
  /// key. Thread safe; blocks.
  CallResult Run(const Call& call, CallResponseSink* sink);

 private:
  CallResult RunWithTicket(const Call& call, CallResponseSink* sink);
  CallResult RunWithKey(const Call& call, CallResponseSink* sink);
  /// Claims the idempotency key in the claim store and runs the call if this
  /// request owns the claim.
  CallResult ClaimAndRun(const Call& call, const std::string& ledger_id,
                         CallResponseSink* sink);
  /// Forwards the call to the instance that owns its ticket or key. Fails with
  /// kOwnerUnavailable if that incarnation is no longer reachable.
  CallResult ForwardToOwner(const Call& call, const InstanceId& owner,
                            Incarnation incarnation, CallResponseSink* sink);
  /// Responds to a call whose key is claimed by another request.
  CallResult RespondFromClaim(const Call& call,
                              const claims::ClaimRecord& record,
                              CallResponseSink* sink);
  /// Responds to a call that the local ledger has already seen.
  CallResult RespondToDuplicate(const claims::BeginResult& begin_result,
                                CallResponseSink* sink);
  claims::FinishedCall RunAndRecord(const Call& call, CallResponseSink* sink,
                                    CallResult* result);

  void RememberAbandoned(const RequestId& request);
  bool WasAbandoned(const claims::ClaimRecord& record);

  const NodeParts* parts_;
  CallExecutor* executor_;
  PeerPort* peers_;

  std::mutex mutex_;
  // Guarded by mutex_: requests that were refused because the result of writing
  // their claim is unknown. If such a claim is found in the store later, it may
  // be replaced because its request never ran.
  std::deque<RequestId> abandoned_requests_;
};

}  // namespace basilvalve::gateway
