// Makes sure that a non-idempotent call runs at most once.
#pragma once

#include <deque>
#include <mutex>
#include <string>

#include "Core/Claims/ticket.h"
#include "Core/Gateway/call_ports.h"
#include "Core/Gateway/node_parts.h"

namespace basilvalve::gateway {

/// Stands before the runner for non-idempotent calls. A call with a ticket is
/// run only by the instance that issued it; a call with an idempotency key only
/// by the instance that claimed the key. Thread safe.
class AtMostOnceRunner {
 public:
  /// Pre: the pointers outlive the gate.
  AtMostOnceRunner(const NodeParts* parts, CallExecutor* executor,
                   PeerPort* peers)
      : parts_(parts), executor_(executor), peers_(peers) {}

  /// Runs the call, hands on the answer of its earlier run, or refuses. Thread
  /// safe; blocks.
  CallEnd Run(const Call& call, CallResponseSink* sink);

 private:
  CallEnd RunWithTicket(const Call& call, CallResponseSink* sink);
  CallEnd RunWithKey(const Call& call, CallResponseSink* sink);
  CallEnd RunClaimed(const Call& call, const std::string& ledger_id,
                     CallResponseSink* sink);
  CallEnd AskOwner(const Call& call, const InstanceId& owner,
                   Incarnation incarnation, CallResponseSink* sink);
  CallEnd AnswerOther(const Call& call, const claims::ClaimRecord& record,
                      CallResponseSink* sink);
  CallEnd Replay(const claims::BeginResult& begun, CallResponseSink* sink);
  claims::FinishedCall RunRecorded(const Call& call, CallResponseSink* sink,
                                   CallEnd* end);

  void Abandon(const RequestId& request);
  bool WasAbandoned(const claims::ClaimRecord& record);

  const NodeParts* parts_;
  CallExecutor* executor_;
  PeerPort* peers_;

  std::mutex mutex_;
  // Guarded by mutex_: requests that were refused because their claim could not
  // be read back. Should its write have taken effect, it is known that they
  // never ran.
  std::deque<RequestId> abandoned_;
};

}  // namespace basilvalve::gateway
