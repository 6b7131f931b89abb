// Handles calls forwarded by other instances, independent of the transport.
#pragma once

#include "Core/Gateway/at_most_once_runner.h"
#include "Core/Gateway/call_ports.h"
#include "Core/Gateway/filters.h"
#include "Core/Gateway/node_parts.h"

namespace basilvalve::gateway {

/// Handles a forwarded call in two steps: Accept checks its header, Run
/// executes it once the body has been received. Thread safe.
class ForwardedCalls {
 public:
  /// Pre: the pointers outlive the object.
  ForwardedCalls(const NodeParts* parts, CallExecutor* executor,
                 AtMostOnceRunner* at_most_once_runner)
      : parts_(parts),
        filters_(FilterChain::ForPeers(parts)),
        executor_(executor),
        at_most_once_runner_(at_most_once_runner) {}

  /// Checks a header and starts the journal entry. On an error the call was
  /// refused and recorded, and its body must not be requested. Thread safe.
  Result<Call> Accept(const peer::StreamHeader& header);
  /// Runs an accepted call and records its result. Pre: `call->body` is set.
  /// Thread safe; blocks.
  CallResult Run(Call* call, peer::Purpose purpose, CallResponseSink* sink);
  /// Records the result of a call in the journal and the metrics. Thread safe.
  void Record(const Call& call, const CallResult& result);

 private:
  Call BuildCall(const peer::StreamHeader& header) const;

  const NodeParts* parts_;
  FilterChain filters_;
  CallExecutor* executor_;
  AtMostOnceRunner* at_most_once_runner_;
};

/// Builds the stream header for forwarding a call to another instance. Thread
/// safe.
peer::StreamHeader BuildStreamHeader(const NodeParts& parts, const Call& call,
                                     peer::Purpose purpose, uint32_t attempt,
                                     Sequence sequence);

}  // namespace basilvalve::gateway
