// Pointers to the shared components of an instance, passed to the classes that
// handle calls.
#pragma once

#include "Core/Admission/retry_budget.h"
#include "Core/Admission/workspace_shares.h"
#include "Core/Claims/call_ledger.h"
#include "Core/Claims/claim_store.h"
#include "Core/Claims/ticket_ledger.h"
#include "Core/Common/clock.h"
#include "Core/Common/keyring.h"
#include "Core/Common/random.h"
#include "Core/Document/document_catalog.h"
#include "Core/Gateway/node_settings.h"
#include "Core/Gateway/response_buffers.h"
#include "Core/Observe/metrics.h"
#include "Core/Observe/request_journal.h"
#include "Core/Observe/trace_context.h"
#include "Core/Peer/peer_client.h"
#include "Core/Platform/document_store.h"
#include "Core/Routing/prefix_index.h"
#include "Core/Routing/router.h"
#include "Core/Routing/upstream_table.h"

namespace basilvalve::gateway {

class ClusterView;

/// Generates random ids. Thread safe.
class IdGenerator {
 public:
  explicit IdGenerator(uint64_t seed) : random_(seed) {}

  /// Returns 32 random hexadecimal digits. Thread safe.
  std::string NewHexId() {
    std::lock_guard lock(mutex_);
    return random_.HexId();
  }
  /// Returns a new child span of the one in a traceparent header. Thread safe.
  observe::TraceContext NewChildSpan(std::string_view traceparent) {
    std::lock_guard lock(mutex_);
    return observe::MakeChildContext(traceparent, &random_);
  }

 private:
  std::mutex mutex_;
  Random random_;
};

/// Non-owning pointers to the components. Node and NodeState own them and
/// outlive all users of this struct.
struct NodeParts {
  const NodeSettings* settings = nullptr;
  const Clock* clock = nullptr;
  const Keyring* keyring = nullptr;
  InstanceId self;
  RegionId region;
  Incarnation incarnation;
  IdGenerator* ids = nullptr;
  document::DocumentCatalog* catalog = nullptr;
  platform::DocumentStore* documents = nullptr;
  claims::CallLedger* call_ledger = nullptr;
  claims::TicketLedger* tickets = nullptr;
  claims::ClaimStore* claim_store = nullptr;
  admission::WorkspaceShares* workspace_shares = nullptr;
  admission::RetryBudget* retry_budget = nullptr;
  routing::UpstreamTable* upstreams = nullptr;
  routing::PrefixIndex* prefix_index = nullptr;
  routing::Router* router = nullptr;
  ClusterView* cluster = nullptr;
  peer::PeerClient* peers = nullptr;
  observe::RequestJournal* journal = nullptr;
  observe::Metrics* metrics = nullptr;
  ResponseBuffers* response_buffers = nullptr;
  std::atomic<bool>* draining = nullptr;
};

}  // namespace basilvalve::gateway
