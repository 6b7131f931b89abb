// Interfaces for running a call on an upstream or on another instance.
#pragma once

#include "Core/Gateway/call.h"
#include "Core/Membership/control_message.h"

namespace basilvalve::gateway {

/// The upstream chosen for a call and the router's predictions for it.
struct LocalRoute {
  /// Handle of the upstream in the upstream table.
  uint32_t handle = 0;
  /// Predicted time to first token.
  Micros predicted_first_token{0};
  /// Prompt tokens that are not expected in the upstream's prefix cache.
  double uncached_tokens = 0;
};

/// Runs calls that have passed the filters. Implementations are thread safe.
class CallExecutor {
 public:
  virtual ~CallExecutor() = default;
  /// Runs a call, including its retries. Thread safe; blocks until it has
  /// ended.
  virtual CallResult Run(const Call& call, CallResponseSink* sink) = 0;
};

/// Sends calls to upstreams. Implementations are thread safe.
class UpstreamPort {
 public:
  virtual ~UpstreamPort() = default;
  /// Runs one attempt. The outcome is kNotRun only if no byte can have reached
  /// the upstream or the upstream reported that it did not run the call. Thread
  /// safe; blocks.
  virtual CallResult Run(const Call& call, const LocalRoute& route,
                         uint32_t attempt, CallResponseSink* sink) = 0;
};

/// Sends calls to other instances. Implementations are thread safe.
class PeerPort {
 public:
  virtual ~PeerPort() = default;
  /// Runs one attempt on another instance. The outcome is kNotRun only if the
  /// body was not sent or the other instance reported that it did not run the
  /// call. Thread safe; blocks.
  virtual CallResult Run(const Call& call, const membership::MemberInfo& to,
                         peer::Purpose purpose, uint32_t attempt,
                         CallResponseSink* sink) = 0;
};

}  // namespace basilvalve::gateway
