// In-memory state of one instance, without threads or sockets, so that tests
// and simulations can use it.
#pragma once

#include <atomic>

#include "Core/Gateway/node_parts.h"
#include "Core/Platform/key_value_store.h"

namespace basilvalve::gateway {

/// Owns the components and provides NodeParts with pointers to them. The
/// creator of the instance sets the members `cluster` and `peers`. Thread safe
/// as far as each component is.
class NodeState {
 public:
  /// Pre: the pointers outlive the state; CheckNodeSettings accepted
  /// `settings`.
  NodeState(const NodeSettings& settings, const Clock* clock,
            const Keyring* keyring, platform::KeyValueStore* store,
            Incarnation incarnation, uint64_t seed);
  NodeState(const NodeState&) = delete;
  NodeState& operator=(const NodeState&) = delete;

  /// Pointers to the components. Thread safe once all members are set.
  NodeParts& parts() { return parts_; }
  const NodeParts& parts() const { return parts_; }

 private:
  NodeSettings settings_;
  IdGenerator ids_;
  observe::Metrics metrics_;
  observe::RequestJournal journal_;
  document::DocumentCatalog catalog_;
  platform::DocumentStore documents_;
  claims::CallLedger call_ledger_;
  claims::TicketLedger tickets_;
  claims::ClaimStore claim_store_;
  admission::WorkspaceShares workspace_shares_;
  admission::RetryBudget retry_budget_;
  routing::UpstreamTable upstreams_;
  routing::PrefixIndex prefix_index_;
  routing::Router router_;
  ResponseBuffers response_buffers_;
  std::atomic<bool> draining_{false};
  NodeParts parts_;
};

}  // namespace basilvalve::gateway
