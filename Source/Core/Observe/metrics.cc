#include "Core/Observe/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace basilvalve::observe {
namespace {

constexpr double kMicrosPerSecond = 1e6;

const prometheus::Histogram::BucketBoundaries kTimeToFirstTokenBucketSeconds = {
    0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 3.0, 10.0};
const prometheus::Histogram::BucketBoundaries kInterTokenLatencyBucketSeconds =
    {0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.5};

prometheus::Counter& AddCounter(prometheus::Registry* registry,
                                const char* name, const char* help) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(*registry)
      .Add({});
}

prometheus::Gauge& AddGauge(prometheus::Registry* registry, const char* name,
                            const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(*registry).Add(
      {});
}

prometheus::Histogram& AddHistogram(
    prometheus::Registry* registry, const char* name, const char* help,
    const prometheus::Histogram::BucketBoundaries& bounds) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(*registry)
      .Add({}, bounds);
}

}  // namespace

struct Metrics::Series {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& requests =
      prometheus::BuildCounter()
          .Name("basilvalve_requests_total")
          .Help("Finished requests by result code and outcome.")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& store_calls =
      prometheus::BuildCounter()
          .Name("basilvalve_store_calls_total")
          .Help("Calls to the key-value service by kind.")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& shed =
      prometheus::BuildCounter()
          .Name("basilvalve_shed_total")
          .Help("What was refused or ended for want of room, by address.")
          .Register(registry);
  prometheus::Histogram& time_to_first_token =
      AddHistogram(&registry, "basilvalve_first_token_seconds",
                   "Time from arrival to the first token sent.",
                   kTimeToFirstTokenBucketSeconds);
  prometheus::Histogram& inter_token_latency =
      AddHistogram(&registry, "basilvalve_between_tokens_seconds",
                   "Time between two consecutive tokens sent.",
                   kInterTokenLatencyBucketSeconds);
  prometheus::Counter& cross_region_bytes =
      AddCounter(&registry, "basilvalve_region_bytes_total",
                 "Bytes sent to or received from other regions.");
  prometheus::Counter& forwarded =
      AddCounter(&registry, "basilvalve_sent_away_total",
                 "Requests forwarded to another region.");
  prometheus::Counter& retries =
      AddCounter(&registry, "basilvalve_retries_total",
                 "Second and later attempts of requests.");
  prometheus::Counter& prompt_tokens =
      AddCounter(&registry, "basilvalve_prompt_tokens_total",
                 "Prompt tokens of routed requests.");
  prometheus::Counter& cached_tokens = AddCounter(
      &registry, "basilvalve_prompt_tokens_cached_total",
      "Prompt tokens expected to be in the upstream's prefix cache.");
  prometheus::Counter& control_bytes =
      AddCounter(&registry, "basilvalve_control_bytes_total",
                 "Bytes of control messages sent to other instances.");
  prometheus::Gauge& in_flight = AddGauge(
      &registry, "basilvalve_requests_in_flight", "In-flight requests.");
  prometheus::Gauge& documents = AddGauge(&registry, "basilvalve_documents",
                                          "Service documents in force.");
  prometheus::Gauge& live_instances =
      AddGauge(&registry, "basilvalve_live_instances",
               "Live instances seen in this region.");
  prometheus::Gauge& document_conflicts = AddGauge(
      &registry, "basilvalve_document_conflicts",
      "Document offers refused because another change has the same version.");
};

Metrics::Metrics() : series_(std::make_unique<Series>()) {}

Metrics::~Metrics() = default;

void Metrics::CountRequest(ResultCode code, Outcome outcome) {
  series_->requests
      .Add({{"code", std::to_string(static_cast<int>(code))},
            {"outcome", std::string(OutcomeName(outcome))}})
      .Increment();
}

void Metrics::ObserveTimeToFirstToken(Micros time) {
  series_->time_to_first_token.Observe(static_cast<double>(time.count()) /
                                       kMicrosPerSecond);
}

void Metrics::ObserveInterTokenLatency(Micros time) {
  series_->inter_token_latency.Observe(static_cast<double>(time.count()) /
                                       kMicrosPerSecond);
}

void Metrics::CountCrossRegionBytes(uint64_t bytes) {
  series_->cross_region_bytes.Increment(static_cast<double>(bytes));
}

void Metrics::CountForwarded() { series_->forwarded.Increment(); }

void Metrics::CountRetry() { series_->retries.Increment(); }

void Metrics::CountPromptTokens(uint64_t total, uint64_t cached) {
  series_->prompt_tokens.Increment(static_cast<double>(total));
  series_->cached_tokens.Increment(static_cast<double>(cached));
}

void Metrics::CountStoreCall(std::string_view kind) {
  series_->store_calls.Add({{"kind", std::string(kind)}}).Increment();
}

void Metrics::CountShed(std::string_view address, std::string_view reason) {
  series_->shed
      .Add({{"address", std::string(address)}, {"reason", std::string(reason)}})
      .Increment();
}

void Metrics::CountControlBytes(uint64_t bytes) {
  series_->control_bytes.Increment(static_cast<double>(bytes));
}

void Metrics::SetInFlight(int64_t count) {
  series_->in_flight.Set(static_cast<double>(count));
}

void Metrics::SetDocuments(int64_t count) {
  series_->documents.Set(static_cast<double>(count));
}

void Metrics::SetLiveInstances(int64_t count) {
  series_->live_instances.Set(static_cast<double>(count));
}

void Metrics::SetDocumentConflicts(int64_t count) {
  series_->document_conflicts.Set(static_cast<double>(count));
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(series_->registry.Collect());
}

}  // namespace basilvalve::observe
