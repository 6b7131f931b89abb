// Handles calls that other instances forwarded, free of the transport.
#pragma once

#include "Core/Gateway/at_most_once_runner.h"
#include "Core/Gateway/call_ports.h"
#include "Core/Gateway/filters.h"
#include "Core/Gateway/node_parts.h"

namespace basilvalve::gateway {

/// Two steps, between which the body is received. Thread safe.
class ForwardedCalls {
 public:
  /// Pre: the pointers outlive the object.
  ForwardedCalls(const NodeParts* parts, CallExecutor* executor,
                 AtMostOnceRunner* at_most_once_runner)
      : parts_(parts),
        filters_(FilterChain::ForPeers(parts)),
        executor_(executor),
        at_most_once_runner_(at_most_once_runner) {}

  /// Checks a header. An error means that the body must not be asked for.
  /// Thread safe.
  Result<Call> Accept(const peer::StreamHeader& header);
  /// Runs an accepted call whose body has arrived. Thread safe; blocks.
  CallEnd Run(Call* call, peer::Purpose purpose, CallResponseSink* sink);
  /// Records how a call ended. Thread safe.
  void Record(const Call& call, const CallEnd& end);

 private:
  Call BuildCall(const peer::StreamHeader& header) const;

  const NodeParts* parts_;
  FilterChain filters_;
  CallExecutor* executor_;
  AtMostOnceRunner* at_most_once_runner_;
};

/// The header by which an instance forwards a call. Thread safe.
peer::StreamHeader BuildStreamHeader(const NodeParts& parts, const Call& call,
                                     peer::Purpose purpose, uint32_t attempt,
                                     Sequence sequence);

}  // namespace basilvalve::gateway
