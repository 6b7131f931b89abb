// Sends a call to an upstream over HTTP.
#pragma once

#include "Core/Gateway/call_ports.h"
#include "Core/Gateway/node_parts.h"

namespace basilvalve::gateway {

/// Sends calls to upstreams of this region, resumes interrupted streams and
/// reports the results to the upstream table. Thread safe.
class UpstreamCaller : public UpstreamPort {
 public:
  /// Pre: `parts` outlives the caller.
  explicit UpstreamCaller(const NodeParts* parts) : parts_(parts) {}

  CallResult Run(const Call& call, const LocalRoute& route, uint32_t attempt,
                 CallResponseSink* sink) override;

 private:
  class Attempt;

  /// Tells the upstream to stop generating tokens for the call; errors are
  /// ignored.
  void Cancel(const Call& call, const http::Endpoint& endpoint,
              const std::string& upstream_request_id);

  const NodeParts* parts_;
};

}  // namespace basilvalve::gateway
