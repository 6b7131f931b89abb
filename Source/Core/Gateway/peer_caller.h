// Forwards a call to another instance.
#pragma once

#include "Core/Gateway/call_ports.h"
#include "Core/Gateway/node_parts.h"

namespace basilvalve::gateway {

/// Sends calls to other instances: header first, body after the go-ahead.
/// Thread safe.
class PeerCaller : public PeerPort {
 public:
  explicit PeerCaller(const NodeParts* parts) : parts_(parts) {}

  CallEnd Run(const Call& call, const membership::MemberInfo& to,
              peer::Purpose purpose, uint32_t attempt,
              AnswerSink* sink) override;
  /// Asks another instance for a small answer, such as documents or an outcome.
  /// Thread safe; blocks at most `limit`.
  Result<std::string> SendRequest(const membership::MemberInfo& to,
                                  peer::Purpose purpose,
                                  const RequestId& request,
                                  const std::string& body, Millis limit);

 private:
  CallEnd RelayAnswer(const Call& call, peer::ClientStream* stream,
                      AnswerSink* sink);

  const NodeParts* parts_;
  std::atomic<uint64_t> next_sequence_{1};
};

}  // namespace basilvalve::gateway
