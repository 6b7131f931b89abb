// Collects what the instances recorded about a request in their journals.
#pragma once

#include <string>

#include "Core/Gateway/node_parts.h"
#include "Core/Gateway/peer_caller.h"

namespace basilvalve::gateway {

/// Reports the steps and the outcome of a request from the journals of the
/// instances that handled it. Thread safe.
class Explainer {
 public:
  /// Pre: the pointers outlive the object.
  Explainer(const NodeParts* parts, PeerCaller* peer_caller)
      : parts_(parts), peer_caller_(peer_caller) {}

  /// This instance's journal entry as JSON; "null" if there is none. Thread
  /// safe.
  std::string LocalJson(const RequestId& request) const;
  /// The journal entries of all instances that handled the request, as JSON.
  /// Starts at the instance that received it and follows the recorded forwards;
  /// unreachable instances are left out. Thread safe; blocks.
  std::string Explain(const RequestId& request);
  /// The outcome that the instance which received the request recorded;
  /// kUnknown if it has no record or is unreachable. Thread safe; blocks.
  Outcome OutcomeOf(const RequestId& request);

 private:
  std::string FetchJson(const InstanceId& instance, const RequestId& request);

  const NodeParts* parts_;
  PeerCaller* peer_caller_;
};

}  // namespace basilvalve::gateway
