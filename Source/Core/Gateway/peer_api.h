// Handles streams from other instances.
#pragma once

#include "Core/Gateway/claim_gate.h"
#include "Core/Gateway/document_sync.h"
#include "Core/Gateway/explain.h"
#include "Core/Gateway/filters.h"
#include "Core/Peer/peer_server.h"

namespace basilvalve::gateway {

/// Runs forwarded calls and answers questions of other instances. Thread safe.
class PeerApi : public peer::StreamHandler {
 public:
  PeerApi(const NodeParts* parts, CallRunner* runner, ClaimGate* gate,
          DocumentSync* documents, Explainer* explainer)
      : parts_(parts),
        filters_(FilterChain::ForPeers(parts)),
        runner_(runner),
        gate_(gate),
        documents_(documents),
        explainer_(explainer) {}

  void HandleStream(peer::ServerStream* stream) override;

 private:
  void HandleCall(peer::ServerStream* stream);
  void HandleDocuments(peer::ServerStream* stream);
  void HandleOutcome(peer::ServerStream* stream);
  Call BuildCall(const peer::StreamHeader& header) const;

  const NodeParts* parts_;
  FilterChain filters_;
  CallRunner* runner_;
  ClaimGate* gate_;
  DocumentSync* documents_;
  Explainer* explainer_;
};

}  // namespace basilvalve::gateway
