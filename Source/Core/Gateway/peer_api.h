// Server side of the streams between instances.
#pragma once

#include "Core/Gateway/document_sync.h"
#include "Core/Gateway/explainer.h"
#include "Core/Gateway/forwarded_calls.h"
#include "Core/Peer/peer_server.h"

namespace basilvalve::gateway {

/// Runs forwarded calls and responds to document and outcome requests of other
/// instances. Thread safe.
class PeerApi : public peer::StreamHandler {
 public:
  /// Pre: the pointers outlive the object.
  PeerApi(const NodeParts* parts, CallExecutor* executor,
          AtMostOnceRunner* at_most_once_runner, DocumentSync* documents,
          Explainer* explainer)
      : parts_(parts),
        calls_(parts, executor, at_most_once_runner),
        documents_(documents),
        explainer_(explainer) {}

  void HandleStream(peer::ServerStream* stream) override;

 private:
  void HandleCall(peer::ServerStream* stream);
  void HandleDocuments(peer::ServerStream* stream);
  void HandleOutcome(peer::ServerStream* stream);

  const NodeParts* parts_;
  ForwardedCalls calls_;
  DocumentSync* documents_;
  Explainer* explainer_;
};

}  // namespace basilvalve::gateway
