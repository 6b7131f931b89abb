// All upstreams of this instance's region, with learned statistics of each
// service.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "Core/Flow/evidence.h"
#include "Core/Flow/upstream.h"

namespace basilvalve::flow {

/// Learned statistics of the model calls of one service and route rank.
struct RankProfile {
  /// Mean output length of a call.
  double output_tokens = 0;
  /// Time limit of the latest call.
  Micros limit{0};
  /// Estimate of the time limit that callers state on their first attempt, in
  /// microseconds. Retrying callers state the shorter time that they have left.
  double first_attempt_limit_us = 0;
  /// Recent share of refused calls.
  double refusal_rate = 0;
};

/// Learned statistics of a service.
struct ServiceProfile {
  /// Weight of one plain call in the service time.
  static constexpr double kServiceTimeWeight = 0.04;

  /// Prefill throughput of one engine, prompt tokens per millisecond.
  double prefill_tokens_per_ms = 0;
  Evidence prefill_evidence;
  /// Time to the first byte of a response that needs no prefill, in
  /// microseconds.
  double base_latency_us = 0;
  /// Recent rate of calls from this instance.
  double sends_per_second = 0;
  Instant last_send;
  /// Mean number of prompt tokens that a call has to prefill.
  double mean_prefill_tokens = 0;
  /// Mean time per generated token, in microseconds.
  double time_per_token_us = 0;
  Evidence time_per_token_evidence;
  /// Time of a plain call at the usual speed of the machines.
  ServiceTime service_time{kServiceTimeWeight};
  /// Keyed by the rank of the route.
  std::map<int, RankProfile> rank_profiles;

  /// Expected output length of a call: the geometric mean of the caller's
  /// estimate and the mean of the rank, or the latter if the caller gave none.
  /// Callers' estimates are right at the median but often far off.
  double ExpectedOutput(int rank, uint32_t estimated_tokens) const;
  /// Whether a model call has measured a speed recently. Under load, calls wait
  /// for each other, so that no prefill is measured.
  bool IsMeasuredLately(Instant now) const;
  /// The longest time limit of all ranks; zero if there is none.
  Micros LongestLimit() const;
  /// The longest time per token, in microseconds, at which calls of every rank
  /// still finish within their limits.
  double MaxTimePerTokenUs() const;
};

/// Expected course of a plain call at an upstream.
struct PlainForecast {
  /// Time until the response, with queueing.
  Micros finish{0};
  /// `finish` relative to the time without queueing; 1 or more.
  double queue_factor = 1;
  /// Whether it is based on enough measurements to refuse calls.
  bool is_reliable = false;
};

/// How much the learned speeds of a service count, each in [0, 1].
struct SpeedConfidence {
  double prefill = 1;
  double time_per_token = 1;
};

/// What was learned of a service's speed, for metrics.
struct ServiceSpeed {
  /// Time of a plain call without queueing; zero if none was measured.
  Micros service_time{0};
  /// Highest slowness of its upstreams.
  double highest_slowness = 0;
  /// Expected time per generated token, in microseconds; zero without model
  /// calls.
  double time_per_token_us = 0;
  /// Expected prefill throughput of one engine; zero without model calls.
  double prefill_tokens_per_ms = 0;
};

/// Shared prompt parts that an upstream added to its cache.
struct PromptCacheUpdate {
  UpstreamShortId upstream;
  std::vector<PromptPart> parts;
};

/// Holds the upstreams by id. An upstream keeps its object while it is
/// registered, so that it keeps the load of calls in flight. Not thread safe.
class UpstreamRegistry {
 public:
  using Ptr = std::shared_ptr<Upstream>;

  explicit UpstreamRegistry(RegionId own_region)
      : own_region_(std::move(own_region)) {}

  /// Called after an upstream's registration changed whether it is leaving.
  using LeavingHandler = std::function<void(const Upstream&, Instant)>;
  void SetLeavingHandler(LeavingHandler handler) {
    leaving_handler_ = std::move(handler);
  }

  /// Adds or updates an upstream; removes it if it registered in another
  /// region.
  void Upsert(const UpstreamRecord& record, Instant now);
  /// Removes an upstream; calls in flight keep their reference to it.
  void Remove(const UpstreamId& id);
  /// Applies the complete list of registrations and removes all other
  /// upstreams.
  void ReplaceAll(const std::vector<UpstreamRecord>& records, Instant now);
  /// Applies the records of a catalog that was restored from an older copy: a
  /// missing one removes nothing, and one that is older than what was known
  /// changes nothing.
  void Restore(const std::vector<UpstreamRecord>& records, Instant now);
  /// Sets the evacuated data centres, whose upstreams receive no requests.
  /// When the evacuation ends, an upstream counts as cold for as long as its
  /// registration says so.
  void SetEvacuated(std::set<DataCentreId> data_centres);
  /// Whether the upstream's data centre is evacuated.
  bool IsEvacuated(const Upstream& upstream) const {
    return evacuated_.contains(upstream.record.data_centre);
  }
  /// All upstreams of a service in this region, including those that accept no
  /// requests.
  const std::vector<Ptr>& UpstreamsOf(const ServiceName& service) const;
  /// The upstream with the id; nullptr if it is not registered in this region.
  Ptr Find(const UpstreamId& id) const;
  /// The upstream with the short id; nullptr if there is none.
  Ptr Find(UpstreamShortId short_id) const;
  /// All upstreams of this region.
  const std::map<UpstreamId, Ptr>& all() const { return by_id_; }
  /// Whether the upstream accepts requests now, regardless of its load.
  bool CanSendTo(const Upstream& upstream, Instant now) const;
  /// If all upstreams of a service that stay have asked this instance to pause:
  /// the end of the first pause. nullopt if one has not, or none stays.
  std::optional<Instant> PausedUntil(const ServiceName& service,
                                     Instant now) const;
  /// Forgets what was known of upstreams that were removed long ago.
  void Sweep(Instant now);
  /// Updates the service's call rate after a call was sent to one of its
  /// upstreams.
  void OnSend(const ServiceName& service, Instant now);
  /// Records that a prompt was sent to the upstream, which then caches its
  /// parts. `memory_tokens` is the capacity of the engine's memory.
  void OnPromptSent(Upstream& upstream, const std::vector<PromptPart>& parts,
                    uint32_t prefill_tokens, uint64_t memory_tokens);
  /// Load of an upstream from this instance, the other instances of the region
  /// and the upstream's own report.
  LoadShare LoadOf(const Upstream& upstream, Instant now) const;
  /// Records the load that an upstream reported with a response.
  void OnReportedLoad(Upstream& upstream, ReportedLoad load, Instant now);
  /// Records the time from the send of a plain call to its response.
  /// `queue_factor`: that of the forecast with which it was sent.
  void LearnServiceTime(Upstream& upstream, Micros took, double queue_factor,
                        Instant now);
  /// Records that the upstream refused a plain call since it is full.
  void OnFull(Upstream& upstream, std::optional<uint32_t> waiting, Instant now);
  /// Predicts a plain call that is sent to the upstream now.
  PlainForecast PredictPlain(const Upstream& upstream, Instant now) const;
  /// Whether the upstream can take one more plain call.
  bool HasPlainCapacity(const Upstream& upstream, Instant now) const;
  /// The time for which a plain call occupies an average upstream of the
  /// service: service time / slots. Zero unless the service has plain calls
  /// only and enough of them were measured.
  Micros PlainSlotTimeOf(const ServiceName& service, Instant now) const;
  /// The speeds of all services that have upstreams here.
  std::map<ServiceName, ServiceSpeed> Speeds(Instant now) const;
  /// Records that another instance of the region sent these shared prompt parts
  /// to an upstream.
  void OnNeighbourCacheUpdate(const PromptCacheUpdate& cache_update,
                              uint64_t memory_tokens);
  /// Returns and clears the cache updates that are not yet reported to the
  /// other instances of the region.
  std::vector<PromptCacheUpdate> TakeCacheUpdates();
  /// Adopts the speeds that an instance which sends to the service's upstreams
  /// has measured; zero for a speed that it did not measure.
  void AdoptSpeeds(const ServiceName& service, double prefill_tokens_per_ms,
                   double time_per_token_us);
  /// Statistics of a service; created on first use.
  ServiceProfile& ProfileOf(const ServiceName& service);
  /// Records a measured interval between stream events, as time per token.
  void LearnTimePerToken(Upstream& upstream, double us_per_token, Instant now);
  /// Statistics of a service's calls of this rank, created on first use from
  /// the call's `declared_tokens` and `limit`. Updates the learned limits.
  RankProfile& RankProfileOf(const ServiceName& service, int rank,
                             double declared_tokens, Micros limit);
  /// Records whether a call of this rank was refused.
  void LearnRefusal(const ServiceName& service, int rank, bool is_refused);
  /// Records the output length of a completed call.
  void LearnOutput(const ServiceName& service, int rank, double tokens);
  /// Records that the first event arrived after `took`, with `tokens` to
  /// prefill before it, while work took `slowness` times as long as usual.
  void LearnPrefillSpeed(const ServiceName& service, double tokens, Micros took,
                         Instant now, double slowness = 1);
  /// How much the learned speeds count when a call is refused because of them.
  SpeedConfidence ConfidenceIn(const ServiceName& service, Instant now);
  /// Records that a call is let through to measure the speeds again.
  void OnTrial(const ServiceName& service, Instant now);
  /// The speeds that other instances are told. Those that no call confirms are
  /// no worse than is assumed without measurements.
  double ReportedPrefillSpeed(const ServiceName& service, Instant now);
  double ReportedTimePerTokenUs(const Upstream& upstream, Instant now) const;

 private:
  /// Expected time of a plain call there without queueing, in microseconds.
  double PlainServiceTimeUs(const Upstream& upstream, Instant now) const;
  /// Mean time until the upstream has finished one more plain call.
  Micros SlotTimeOf(const Upstream& upstream, Instant now) const;
  /// The notice of an upstream that was removed; its registration may return.
  struct RemovedNotice {
    UpstreamRecord record;
    UpstreamNotice::Ptr notice;
    Instant first_swept_at;
  };

  void RestoreNotice(Upstream* upstream);

  RegionId own_region_;
  std::map<UpstreamId, Ptr> by_id_;
  std::map<UpstreamShortId, Ptr> by_short_id_;
  std::map<ServiceName, std::vector<Ptr>> by_service_;
  std::set<DataCentreId> evacuated_;
  std::map<ServiceName, ServiceProfile> profiles_;
  std::vector<PromptCacheUpdate> cache_updates_;
  std::map<UpstreamId, RemovedNotice> removed_notices_;
  LeavingHandler leaving_handler_;
};

}  // namespace basilvalve::flow
