// Runs a call on a chosen upstream.
#pragma once

#include "Core/Gateway/call.h"
#include "Core/Gateway/node_parts.h"

namespace basilvalve::gateway {

/// What the router expected of a local run.
struct LocalPlan {
  uint32_t handle = 0;
  Micros predicted{0};
  double uncached_tokens = 0;
};

/// Sends calls to upstreams of this region. Thread safe.
class UpstreamCaller {
 public:
  explicit UpstreamCaller(const NodeParts* parts) : parts_(parts) {}

  /// Runs one attempt. The outcome is kNotRun only if no byte can have reached
  /// the upstream or the upstream itself said so. Thread safe; blocks.
  CallEnd Run(const Call& call, const LocalPlan& plan, uint32_t attempt,
              AnswerSink* sink);

 private:
  class Attempt;

  void Cancel(const Call& call, const http::Endpoint& endpoint,
              const std::string& engine_id);

  const NodeParts* parts_;
};

}  // namespace basilvalve::gateway
