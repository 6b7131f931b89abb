// Runs a call on a chosen upstream.
#pragma once

#include "Core/Gateway/call_ports.h"
#include "Core/Gateway/node_parts.h"

namespace basilvalve::gateway {

/// Sends calls to upstreams of this region. Thread safe.
class UpstreamCaller : public UpstreamPort {
 public:
  explicit UpstreamCaller(const NodeParts* parts) : parts_(parts) {}

  CallEnd Run(const Call& call, const LocalRoute& plan, uint32_t attempt,
              CallResponseSink* sink) override;

 private:
  class Attempt;

  void Cancel(const Call& call, const http::Endpoint& endpoint,
              const std::string& engine_id);

  const NodeParts* parts_;
};

}  // namespace basilvalve::gateway
