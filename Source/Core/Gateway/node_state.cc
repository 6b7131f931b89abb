#include "Core/Gateway/node_state.h"

#include <algorithm>

#include "Core/Gateway/node_shares.h"

namespace basilvalve::gateway {
namespace {

constexpr size_t kJournalCapacity = 20000;
constexpr size_t kPrefixIndexCapacity = 200000;
constexpr double kBytesPerMbit = 1e6 / 8;

routing::RoutingSettings RoutingSettingsOf(const NodeSettings& settings) {
  routing::RoutingSettings routing_settings;
  for (int i = 0; i <= static_cast<int>(routing::ChooserKind::kPredicted);
       ++i) {
    auto kind = static_cast<routing::ChooserKind>(i);
    routing_settings.chooser = routing::ChooserName(kind) == settings.chooser
                                   ? kind
                                   : routing_settings.chooser;
  }
  routing_settings.link.bytes_per_second =
      static_cast<double>(settings.link_mbit) * kBytesPerMbit;
  return routing_settings;
}

claims::TicketLimits TicketLimitsOf(const NodeSettings& settings) {
  claims::TicketLimits limits;
  limits.validity = Seconds(settings.ticket_validity_s);
  return limits;
}

claims::LedgerLimits LedgerLimitsOf(const NodeSettings& settings) {
  claims::LedgerLimits limits;
  // A recorded response has to outlive its ticket, so that a duplicate of the
  // call gets the response from the ledger.
  limits.retention =
      std::max(limits.retention, 2 * Seconds(settings.ticket_validity_s));
  return limits;
}

size_t ResponseBytesOf(const NodeSettings& settings) {
  return NodeShares::Create(settings).value_or(NodeShares()).response_bytes;
}

}  // namespace

NodeState::NodeState(const NodeSettings& settings, const Clock* clock,
                     const Keyring* keyring, platform::KeyValueStore* store,
                     Incarnation incarnation, uint64_t seed)
    : settings_(settings),
      ids_(seed),
      journal_(clock, kJournalCapacity),
      catalog_(clock),
      documents_(store, &catalog_),
      call_ledger_(LedgerLimitsOf(settings)),
      tickets_(TicketLimitsOf(settings), &call_ledger_),
      claim_store_(store, Seconds(settings.claim_keep_s)),
      workspace_shares_({settings.max_in_flight}),
      retry_budget_({}),
      upstreams_({}, {}),
      prefix_index_(kPrefixIndexCapacity),
      router_(RoutingSettingsOf(settings), seed),
      response_buffers_(ResponseBytesOf(settings)) {
  parts_.settings = &settings_;
  parts_.clock = clock;
  parts_.keyring = keyring;
  parts_.self = InstanceId(settings.instance);
  parts_.region = RegionId(settings.region);
  parts_.incarnation = incarnation;
  parts_.ids = &ids_;
  parts_.catalog = &catalog_;
  parts_.documents = &documents_;
  parts_.call_ledger = &call_ledger_;
  parts_.tickets = &tickets_;
  parts_.claim_store = &claim_store_;
  parts_.workspace_shares = &workspace_shares_;
  parts_.retry_budget = &retry_budget_;
  parts_.upstreams = &upstreams_;
  parts_.prefix_index = &prefix_index_;
  parts_.router = &router_;
  parts_.journal = &journal_;
  parts_.metrics = &metrics_;
  parts_.response_buffers = &response_buffers_;
  parts_.draining = &draining_;
}

}  // namespace basilvalve::gateway
