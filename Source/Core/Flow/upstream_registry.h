// All upstreams of this instance's region and what each service is like.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "Core/Flow/upstream.h"

namespace basilvalve::flow {

/// What was learned of one kind of model calls; routes of the same rank and
/// service are one kind.
struct RankProfile {
  /// Mean output of a call.
  double output_tokens = 0;
  /// How long such a call may take.
  Micros limit{0};
  /// The longer of what callers state, as those do that come for the first
  /// time; microseconds.
  double first_attempt_limit_us = 0;
  /// Share of the calls of late that were refused.
  double refusal_rate = 0;
};

/// What was learned of a service by serving it.
struct ServiceProfile {
  /// Prompt tokens that one of its engines reads in a millisecond.
  double prefill_tokens_per_ms = 0;
  /// Time to an answer that needs no reading, microseconds.
  double base_us = 0;
  /// Calls that this instance sends a second, of late.
  double sends_per_second = 0;
  Instant last_send;
  /// Mean prompt tokens that a call has to read.
  double mean_unread_tokens = 0;
  /// Mean time for one generated token, microseconds.
  double time_per_token_us = 0;
  /// By rank of the route.
  std::map<int, RankProfile> kinds;

  /// Output to expect of a call of the kind: callers' hints are right at the
  /// median but often far off, so the kind's mean counts as much.
  double ExpectedOutput(int rank, uint32_t hinted_tokens) const;
  /// The longest limit of its kinds; zero if there is none.
  Micros LongestLimit() const;
  /// The slowest pace, microseconds a token, at which calls of every kind still
  /// end within their limits.
  double MaxTimePerTokenUs() const;
};

/// Shared pieces of a prompt that an upstream came to keep.
struct PromptCacheUpdate {
  UpstreamShortId upstream;
  std::vector<PromptPart> parts;
};

/// Holds the upstreams by id. The same object stays while an upstream is
/// registered, so that calls in hand keep their account. Not thread safe.
class UpstreamRegistry {
 public:
  using Ptr = std::shared_ptr<Upstream>;

  explicit UpstreamRegistry(RegionId own_region)
      : own_region_(std::move(own_region)) {}

  /// A registration was written.
  void Upsert(const UpstreamRecord& record, Instant now);
  /// A registration is gone.
  void Remove(const UpstreamId& id);
  /// Everything that is registered: what is missing is gone.
  void ReplaceAll(const std::vector<UpstreamRecord>& records, Instant now);
  /// The zones to which nothing may be sent. A zone that is taken back counts
  /// as cold until its upstreams say otherwise.
  void SetEvacuated(std::set<DataCentreId> data_centres);
  /// Upstreams of a service in this instance's region, those that may be sent
  /// to and those that may not.
  const std::vector<Ptr>& UpstreamsOf(const ServiceName& service) const;
  /// The upstream with the id, nullptr if it is not registered here.
  Ptr Find(const UpstreamId& id) const;
  /// The same by its short form.
  Ptr Find(UpstreamShortId tag) const;
  /// All upstreams of this region.
  const std::map<UpstreamId, Ptr>& all() const { return by_id_; }
  /// Whether a request may be sent to it now, apart from its load.
  bool CanSendTo(const Upstream& upstream, Instant now) const;
  /// A call was sent to one of the service's upstreams.
  void OnSend(const ServiceName& service, Instant now);
  /// A prompt was sent to the upstream, which then keeps its pieces.
  void OnPromptSent(Upstream& upstream, const std::vector<PromptPart>& parts,
                    uint32_t prefill_tokens, uint64_t memory_tokens);
  /// Own, neighbours' and reported work of an upstream.
  LoadShare LoadOf(const Upstream& upstream, Instant now) const;
  /// A neighbour sent a prompt with these shared pieces there.
  void OnNeighbourCacheUpdate(const PromptCacheUpdate& cache_update,
                              uint64_t memory_tokens);
  /// What this instance sent since the last call and neighbours do not know.
  std::vector<PromptCacheUpdate> TakeCacheUpdates();
  /// What was learned of a service; made on first use.
  ServiceProfile& ProfileOf(const ServiceName& service);
  /// Events of a stream came `us_per_token` after the one before.
  void LearnTimePerToken(Upstream& upstream, double us_per_token, Instant now);
  /// What is known of a kind; made from what a call declares on first use.
  RankProfile& RankProfileOf(const ServiceName& service, int rank,
                             double declared_tokens, Micros limit);
  /// A call of the kind was refused, or not.
  void LearnRefusal(const ServiceName& service, int rank, bool is_refused);
  /// A whole call of the kind generated this many tokens.
  void LearnOutput(const ServiceName& service, int rank, double tokens);
  /// A first event came after `took`, with `tokens` to read before it.
  void LearnPrefillSpeed(const ServiceName& service, double tokens,
                         Micros took);

 private:
  RegionId own_region_;
  std::map<UpstreamId, Ptr> by_id_;
  std::map<UpstreamShortId, Ptr> by_tag_;
  std::map<ServiceName, std::vector<Ptr>> by_service_;
  std::set<DataCentreId> evacuated_;
  std::map<ServiceName, ServiceProfile> profiles_;
  std::vector<PromptCacheUpdate> news_;
};

}  // namespace basilvalve::flow
