// Client side of the streams between instances.
#pragma once

#include "Core/Gateway/call_ports.h"
#include "Core/Gateway/node_parts.h"

namespace basilvalve::gateway {

/// Sends calls to other instances. The body is sent only after the receiver has
/// accepted the header, so a refused call has not run. Thread safe.
class PeerCaller : public PeerPort {
 public:
  /// Pre: `parts` outlives the object.
  explicit PeerCaller(const NodeParts* parts) : parts_(parts) {}

  CallResult Run(const Call& call, const membership::MemberInfo& to,
                 peer::Purpose purpose, uint32_t attempt,
                 CallResponseSink* sink) override;
  /// Sends a request for internal data, such as documents or an outcome, and
  /// returns the complete response. Fails with the error of the call. Thread
  /// safe; blocks for about `timeout` at most.
  Result<std::string> SendRequest(const membership::MemberInfo& to,
                                  peer::Purpose purpose,
                                  const RequestId& request,
                                  const std::string& body, Millis timeout);

 private:
  CallResult RelayResponse(const Call& call, peer::ClientStream* stream,
                           CallResponseSink* sink);

  const NodeParts* parts_;
  std::atomic<uint64_t> next_sequence_{1};
};

}  // namespace basilvalve::gateway
