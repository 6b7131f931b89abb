// The ways by which a call leaves an instance, behind base classes.
#pragma once

#include "Core/Gateway/call.h"
#include "Core/Membership/control_message.h"

namespace basilvalve::gateway {

/// What the router expected of a local run.
struct LocalRoute {
  uint32_t handle = 0;
  Micros predicted{0};
  double uncached_tokens = 0;
};

/// Runs calls that have been admitted. Implementations are thread safe.
class CallExecutor {
 public:
  virtual ~CallExecutor() = default;
  /// Runs a call to its end. Thread safe; blocks.
  virtual CallEnd Run(const Call& call, CallResponseSink* sink) = 0;
};

/// Sends calls to upstreams. Implementations are thread safe.
class UpstreamPort {
 public:
  virtual ~UpstreamPort() = default;
  /// Runs one attempt. The outcome is kNotRun only if no byte can have reached
  /// the upstream or the upstream itself said so. Thread safe; blocks.
  virtual CallEnd Run(const Call& call, const LocalRoute& plan,
                      uint32_t attempt, CallResponseSink* sink) = 0;
};

/// Sends calls to other instances. Implementations are thread safe.
class PeerPort {
 public:
  virtual ~PeerPort() = default;
  /// Runs one attempt through another instance. The outcome is kNotRun if the
  /// body was not sent or the other side says so. Thread safe; blocks.
  virtual CallEnd Run(const Call& call, const membership::MemberInfo& to,
                      peer::Purpose purpose, uint32_t attempt,
                      CallResponseSink* sink) = 0;
};

}  // namespace basilvalve::gateway
