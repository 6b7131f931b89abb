// Collects what instances recorded of a request.
#pragma once

#include <string>

#include "Core/Gateway/node_parts.h"
#include "Core/Gateway/peer_caller.h"

namespace basilvalve::gateway {

/// Answers questions about one request from journals. Thread safe.
class Explainer {
 public:
  Explainer(const NodeParts* records, PeerCaller* peer_caller)
      : parts_(records), peer_caller_(peer_caller) {}

  /// What this instance recorded, as JSON; "null" if nothing. Thread safe.
  std::string LocalJson(const RequestId& request) const;
  /// What all instances that took part recorded, as JSON. Thread safe; blocks.
  std::string Explain(const RequestId& request);
  /// What became of a request: the origin's word, or kUnknown. Thread safe;
  /// blocks.
  Outcome OutcomeOf(const RequestId& request);

 private:
  std::string FetchJson(const InstanceId& instance, const RequestId& request);

  const NodeParts* parts_;
  PeerCaller* peer_caller_;
};

}  // namespace basilvalve::gateway
