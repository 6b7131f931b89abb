#include "Core/Edge/edge_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace basilvalve::edge {
namespace {

// Seconds. Covers the response-time objectives in use (0.3 to 1.8 s) and the
// timeouts (12 s).
const prometheus::Histogram::BucketBoundaries kLatencyBuckets = {
    0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 1.8, 3, 6, 12};

double InSeconds(Micros time) {
  return static_cast<double>(time.count()) / 1e6;
}

}  // namespace

struct EdgeMetrics::Impl {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& calls =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_calls_total")
          .Help("Calls ended, by outcome and status.")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& sends =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_sends_total")
          .Help("Calls sent to an upstream (here) or another region (away).")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& retries =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_repeats_total")
          .Help("Calls retried, by reason.")
          .Register(registry);
  prometheus::Counter& upstream_crashes =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_upstream_crashes_total")
          .Help("Upstreams that crashed under calls before their first events.")
          .Register(registry)
          .Add({});
  prometheus::Counter& blocked_calls =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_blocked_calls_total")
          .Help("Calls refused because a part of their prompt is blocked.")
          .Register(registry)
          .Add({});
  prometheus::Family<prometheus::Counter>& quota_calls =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_quota_calls_total")
          .Help("Calls of limited workspaces, by decision.")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& quota_tokens =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_quota_tokens_total")
          .Help("Tokens of calls of limited workspaces, by decision.")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& store_calls =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_store_calls_total")
          .Help("Calls to the platform's store, by kind and status.")
          .Register(registry);
  prometheus::Counter& cross_region_bytes =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_region_bytes_total")
          .Help("Bytes sent to and received from other regions.")
          .Register(registry)
          .Add({});
  prometheus::Family<prometheus::Counter>& notices =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_upstream_notices_total")
          .Help("Upstreams that began to leave or pause, by source.")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& hedges =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_hedges_total")
          .Help("Second attempts of calls without a response, sent and won.")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& hedges_refused =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_hedges_refused_total")
          .Help("Calls that were not hedged after their delay, by reason.")
          .Register(registry);
  prometheus::Counter& withdrawn =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_withdrawn_total")
          .Help("Calls taken back unsent from upstreams that leave or pause.")
          .Register(registry)
          .Add({});
  prometheus::Family<prometheus::Counter>& foreign_responses =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_foreign_responses_total")
          .Help("Responses that belong to another call or name none.")
          .Register(registry);
  prometheus::Counter& invalid_datagrams =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_bad_datagrams_total")
          .Help("Datagrams that were not a valid heartbeat.")
          .Register(registry)
          .Add({});
  prometheus::Family<prometheus::Counter>& plain_refusals =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_plain_refusals_total")
          .Help("Plain calls refused by a full upstream or as too late.")
          .Register(registry);
  prometheus::Counter& trials =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_forecast_trials_total")
          .Help("Calls sent against an old forecast, to measure again.")
          .Register(registry)
          .Add({});
  prometheus::Family<prometheus::Gauge>& service_time =
      prometheus::BuildGauge()
          .Name("basilvalve_edge_service_time_seconds")
          .Help("Learned time of a service's plain calls without queueing.")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& slowness =
      prometheus::BuildGauge()
          .Name("basilvalve_edge_slowness")
          .Help("Highest slowness of a service's upstreams; 1 is usual.")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& time_per_token =
      prometheus::BuildGauge()
          .Name("basilvalve_edge_time_per_token_seconds")
          .Help("Learned time of a service's upstreams per generated token.")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& prefill_rate =
      prometheus::BuildGauge()
          .Name("basilvalve_edge_prefill_tokens_per_second")
          .Help("Learned speed at which a service's upstreams read prompts.")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& bytes_lost =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_bytes_lost_total")
          .Help("Bytes that ended with a connection, by kind.")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& latency =
      prometheus::BuildHistogram()
          .Name("basilvalve_edge_latency_seconds")
          .Help("Time to the first byte and to the complete response.")
          .Register(registry);
  prometheus::Histogram& first_byte =
      latency.Add({{"to", "first_byte"}}, kLatencyBuckets);
  prometheus::Histogram& total =
      latency.Add({{"to", "whole"}}, kLatencyBuckets);
  prometheus::Family<prometheus::Gauge>& connections =
      prometheus::BuildGauge()
          .Name("basilvalve_edge_connections_opened")
          .Help("Connections opened since the start.")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& shed =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_shed_total")
          .Help("Requests and connections ended to keep the machine's limits.")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& buffered_bytes =
      prometheus::BuildGauge()
          .Name("basilvalve_edge_buffered_bytes")
          .Help("Bytes of the memory budget in use.")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& open_connections =
      prometheus::BuildGauge()
          .Name("basilvalve_edge_connections_open")
          .Help("Connections of the budget in use.")
          .Register(registry);
  prometheus::Gauge& state_version =
      prometheus::BuildGauge()
          .Name("basilvalve_edge_state_version")
          .Help("Version of the applied desired state.")
          .Register(registry)
          .Add({});
  prometheus::Family<prometheus::Gauge>& state_fresh =
      prometheus::BuildGauge()
          .Name("basilvalve_edge_state_fresh")
          .Help("1 if keys may be checked against the desired state.")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& freshness_changes =
      prometheus::BuildCounter()
          .Name("basilvalve_edge_state_freshness_changes_total")
          .Help("How often the desired state became fresh or stale.")
          .Register(registry);
};

EdgeMetrics::EdgeMetrics() : impl_(std::make_unique<Impl>()) {}
EdgeMetrics::~EdgeMetrics() = default;

void EdgeMetrics::CountCall(std::string_view outcome, int status) {
  impl_->calls
      .Add({{"outcome", std::string(outcome)},
            {"status", std::to_string(status)}})
      .Increment();
}

void EdgeMetrics::ObserveFirstByte(Micros time) {
  impl_->first_byte.Observe(InSeconds(time));
}

void EdgeMetrics::ObserveTotal(Micros time) {
  impl_->total.Observe(InSeconds(time));
}

void EdgeMetrics::CountSend(std::string_view where) {
  impl_->sends.Add({{"where", std::string(where)}}).Increment();
}

void EdgeMetrics::CountRetry(std::string_view reason) {
  impl_->retries.Add({{"reason", std::string(reason)}}).Increment();
}

void EdgeMetrics::CountHedge(std::string_view event) {
  impl_->hedges.Add({{"event", std::string(event)}}).Increment();
}

void EdgeMetrics::CountHedgeRefused(std::string_view reason) {
  impl_->hedges_refused.Add({{"reason", std::string(reason)}}).Increment();
}

void EdgeMetrics::CountUpstreamCrash() { impl_->upstream_crashes.Increment(); }

void EdgeMetrics::CountBlockedCall() { impl_->blocked_calls.Increment(); }

void EdgeMetrics::CountQuota(std::string_view workspace,
                             std::string_view decision, uint64_t tokens) {
  prometheus::Labels labels = {{"workspace", std::string(workspace)},
                               {"decision", std::string(decision)}};
  impl_->quota_calls.Add(labels).Increment();
  impl_->quota_tokens.Add(labels).Increment(static_cast<double>(tokens));
}

void EdgeMetrics::CountStoreCall(std::string_view kind, int status) {
  impl_->store_calls
      .Add({{"kind", std::string(kind)}, {"status", std::to_string(status)}})
      .Increment();
}

void EdgeMetrics::CountCrossRegionBytes(uint64_t bytes) {
  impl_->cross_region_bytes.Increment(static_cast<double>(bytes));
}

void EdgeMetrics::CountNotice(std::string_view change,
                              std::string_view source) {
  impl_->notices
      .Add({{"change", std::string(change)}, {"source", std::string(source)}})
      .Increment();
}

void EdgeMetrics::CountWithdrawn() { impl_->withdrawn.Increment(); }

void EdgeMetrics::CountForeignResponse(std::string_view names) {
  impl_->foreign_responses.Add({{"names", std::string(names)}}).Increment();
}

void EdgeMetrics::CountInvalidDatagram() {
  impl_->invalid_datagrams.Increment();
}

void EdgeMetrics::CountFullRefusal() {
  impl_->plain_refusals.Add({{"reason", "full"}}).Increment();
}

void EdgeMetrics::CountLateRefusal() {
  impl_->plain_refusals.Add({{"reason", "late"}}).Increment();
}

void EdgeMetrics::CountTrial() { impl_->trials.Increment(); }

void EdgeMetrics::SetServiceSpeed(std::string_view service, Micros service_time,
                                  double slowness) {
  impl_->service_time.Add({{"service", std::string(service)}})
      .Set(InSeconds(service_time));
  impl_->slowness.Add({{"service", std::string(service)}}).Set(slowness);
}

void EdgeMetrics::SetModelSpeed(std::string_view service,
                                double time_per_token_us,
                                double prefill_tokens_per_ms) {
  impl_->time_per_token.Add({{"service", std::string(service)}})
      .Set(time_per_token_us / 1e6);
  impl_->prefill_rate.Add({{"service", std::string(service)}})
      .Set(prefill_tokens_per_ms * 1e3);
}

void EdgeMetrics::CountBytesLost(uint64_t unwritten, uint64_t discarded) {
  impl_->bytes_lost.Add({{"kind", "unwritten"}})
      .Increment(static_cast<double>(unwritten));
  impl_->bytes_lost.Add({{"kind", "discarded"}})
      .Increment(static_cast<double>(discarded));
}

void EdgeMetrics::SetConnectionsOpened(uint64_t upstreams, uint64_t peers) {
  impl_->connections.Add({{"to", "upstreams"}})
      .Set(static_cast<double>(upstreams));
  impl_->connections.Add({{"to", "peers"}}).Set(static_cast<double>(peers));
}

void EdgeMetrics::CountShed(std::string_view reason) {
  impl_->shed.Add({{"reason", std::string(reason)}}).Increment();
}

void EdgeMetrics::SetResources(uint64_t request_bytes, uint64_t other_bytes,
                               uint64_t caller_connections,
                               uint64_t other_connections) {
  auto set = [](auto& family, const char* of, uint64_t value) {
    family.Add({{"of", of}}).Set(static_cast<double>(value));
  };
  set(impl_->buffered_bytes, "requests", request_bytes);
  set(impl_->buffered_bytes, "other", other_bytes);
  set(impl_->open_connections, "callers", caller_connections);
  set(impl_->open_connections, "other", other_connections);
}

void EdgeMetrics::SetStateVersion(uint64_t version) {
  impl_->state_version.Set(static_cast<double>(version));
}

void EdgeMetrics::SetStateFresh(bool is_fresh) {
  impl_->state_fresh.Add({}).Set(is_fresh ? 1 : 0);
}

void EdgeMetrics::CountFreshnessChange(std::string_view to) {
  impl_->freshness_changes.Add({{"to", std::string(to)}}).Increment();
}

std::string EdgeMetrics::Text() const {
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

}  // namespace basilvalve::edge
