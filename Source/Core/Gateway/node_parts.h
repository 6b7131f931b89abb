// The parts of an instance that handle calls, as handed to those that use them.
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

/// Random ids for many threads. Thread safe.
class IdSource {
 public:
  explicit IdSource(uint64_t seed) : random_(seed) {}

  /// 32 hexadecimal digits. Thread safe.
  std::string NewHexId() {
    std::lock_guard lock(mutex_);
    return random_.HexId();
  }
  /// A span below the one in a traceparent header. Thread safe.
  observe::TraceContext NewChildSpan(std::string_view traceparent) {
    std::lock_guard lock(mutex_);
    return observe::MakeChildContext(traceparent, &random_);
  }

 private:
  std::mutex mutex_;
  Random random_;
};

/// Borrowed pointers; the node owns what they point to and outlives every user.
struct NodeParts {
  const NodeSettings* settings = nullptr;
  const Clock* clock = nullptr;
  const Keyring* keyring = nullptr;
  InstanceId self;
  RegionId region;
  Incarnation incarnation;
  IdSource* ids = nullptr;
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
  std::atomic<bool>* draining = nullptr;
};

}  // namespace basilvalve::gateway
