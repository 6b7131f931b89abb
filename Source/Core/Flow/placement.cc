#include "Core/Flow/placement.h"

#include <algorithm>
#include <cmath>

#include "Core/Common/hash.h"
#include "Core/Flow/dispatcher_set.h"

namespace basilvalve::flow {
namespace {

// Number of upstreams that cache the shared parts of one prompt: the first
// receives the calls, the second their overflow.
constexpr size_t kCacheOwners = 2;
// For fewer tokens, prefill costs less than a transfer.
constexpr uint32_t kMinCopyTokens = 200;
// Cost of copying a token relative to prefilling it: transfers are fast but not
// free, and the source may have evicted the tokens.
constexpr double kCopiedTokenWeight = 0.15;
// The same for a copy from an upstream that probably has the tokens, but whose
// cache another instance knows.
constexpr double kPresumedTokenWeight = 0.4;
// A home of the prompt takes the call as long as its forecast stays below these
// bounds. What other upstreams would have to read again is capacity that all
// callers lack at the peak.
constexpr double kHomeTargetShare = 0.6;
constexpr double kMaxHomeTimePerTokenRatio = 0.6;
constexpr double kMaxHomeFailureRate = 0.3;
// An older time per token of an upstream is replaced by the mean of the
// service.
constexpr Millis kTimePerTokenLifetime{2000};
// Weight of the time per token in the cost of a placement.
constexpr double kTimePerTokenWeight = 0.5;
// Loads from other instances are as old as their last heartbeats, so choosing
// the least loaded of all upstreams would send all instances to the same one.
// The better of two random candidates is enough to balance the load.
constexpr size_t kMinSampleSize = 2;
// With one unreported send per upstream, a sample of a fifth of them does as
// well as a full search.
constexpr double kUnreportedSendWeight = 4;
// Delay of other calls counts like delay of the call itself.
constexpr double kInterferenceWeight = 1;
// Cost of using one call of a stated limit for a call without a prompt, which
// takes little load off the other upstreams.
constexpr double kLimitedCost = 1;
// Lower bound for the time to objective and deadline, so that a call that is
// already late still goes to the fastest upstream.
constexpr Micros kMinObjective{Millis(100)};
// Share of an engine's memory that calls may reserve; above it the engine
// starts to evict running calls.
constexpr double kMaxMemoryShare = 0.85;

uint64_t RendezvousScore(uint64_t key, const Upstream& upstream) {
  return Hash64(upstream.record.id.value(), key);
}

// The `n` candidates with the highest rendezvous score for the key.
std::vector<const Upstream*> RendezvousSample(
    uint64_t key, size_t n, std::vector<const Upstream*> candidates) {
  n = std::min(n, candidates.size());
  std::partial_sort(
      candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(n),
      candidates.end(), [key](const Upstream* left, const Upstream* right) {
        return RendezvousScore(key, *left) > RendezvousScore(key, *right);
      });
  candidates.resize(n);
  return candidates;
}

// The upstreams that should cache the shared prompt parts, best first. The
// result is independent of their load, so that every instance of the region
// gets the same.
std::vector<const Upstream*> CacheOwnersOf(
    uint64_t key, size_t n, const UpstreamRegistry& registry,
    const std::vector<UpstreamRegistry::Ptr>& candidates, Instant now) {
  std::vector<const Upstream*> available;
  for (const auto& upstream : candidates) {
    if (!upstream->notice->IsLeaving() && !registry.IsEvacuated(*upstream) &&
        !upstream->IsCold(now)) {
      available.push_back(upstream.get());
    }
  }
  return RendezvousSample(key, n, std::move(available));
}

bool IsExclusive(const PlacementRequest& request) {
  return request.dispatchers != nullptr &&
         request.dispatchers->is_exclusive() && request.size->IsModelCall();
}

// Number of candidates per call; the more sends are unreported, the fewer.
size_t SampleSize(size_t upstreams, double unreported_sends) {
  double n = static_cast<double>(upstreams) /
             (1 + kUnreportedSendWeight * unreported_sends);
  return std::max(kMinSampleSize, static_cast<size_t>(std::ceil(n)));
}

bool Contains(const std::vector<const Upstream*>& list,
              const Upstream* upstream) {
  return std::find(list.begin(), list.end(), upstream) != list.end();
}

// Whether other upstreams may copy prompt parts from this one; a failing source
// would delay them.
bool CanServeCopy(const Upstream& upstream, Instant now) {
  return !upstream.is_misdirected && upstream.breaker.Allows(now);
}

uint32_t SharedTokens(const CallSize& size) {
  uint32_t tokens = 0;
  for (size_t i = 0; i + 1 < size.parts.size(); ++i) {
    tokens += size.parts[i].tokens;
  }
  return tokens;
}

// Cost of a placement: predicted first byte relative to the objective and
// completion relative to the deadline, plus penalties for slow tokens, delay of
// other calls and failures.
double PlacementCost(const PlacementRequest& request,
                     const Forecast& forecast) {
  auto target = std::max(request.time_to_target, kMinObjective);
  auto limit = std::max(request.time_to_deadline, kMinObjective);
  return static_cast<double>(forecast.first_byte.count()) /
             static_cast<double>(target.count()) +
         static_cast<double>(forecast.finish.count()) /
             static_cast<double>(limit.count()) +
         kTimePerTokenWeight * forecast.time_per_token_ratio +
         kInterferenceWeight * forecast.interference +
         kFailureWeight * forecast.failure_rate;
}

}  // namespace

Forecast DiscountForecast(const Forecast& forecast,
                          const SpeedConfidence& confidence) {
  Forecast discounted = forecast;
  // Behind other prompts, a call would not measure the prefill speed.
  if (forecast.queued_prefill_tokens == 0) {
    Micros time(static_cast<int64_t>(
        confidence.prefill *
        static_cast<double>(forecast.own_prefill_time.count())));
    discounted.first_byte -= forecast.own_prefill_time - time;
    discounted.own_prefill_time = time;
  }
  discounted.finish =
      discounted.first_byte +
      Micros(static_cast<int64_t>(
          confidence.time_per_token *
          static_cast<double>(
              (forecast.finish - forecast.first_byte).count())));
  discounted.time_per_token_us *= confidence.time_per_token;
  discounted.time_per_token_ratio *= confidence.time_per_token;
  return discounted;
}

// Where the shared parts of one prompt are cached.
struct Placer::PromptLocations {
  /// Upstreams that should cache them if no upstream has all of them, best
  /// first.
  std::vector<const Upstream*> cache_owners;
  UpstreamRegistry::Ptr copy_source;
  uint32_t source_tokens = 0;
  /// The source is where the parts belong; its cache is not known here.
  bool is_presumed = false;
  uint32_t shared_tokens = 0;

  bool Includes(const Upstream& upstream) const {
    return copy_source.get() == &upstream || Contains(cache_owners, &upstream);
  }
};

Placer::PromptLocations Placer::LocatePrompt(const PlacementRequest& request,
                                             Instant now) const {
  PromptLocations locations;
  if (!request.size->IsModelCall()) {
    return locations;
  }
  const auto& all = registry_->UpstreamsOf(request.service);
  locations.shared_tokens = SharedTokens(*request.size);
  for (const auto& upstream : all) {
    if (!CanServeCopy(*upstream, now)) {
      continue;
    }
    uint32_t cached_tokens =
        upstream->cache.CachedPrefixTokens(request.size->parts);
    if (cached_tokens > locations.source_tokens) {
      locations.source_tokens = cached_tokens;
      locations.copy_source = upstream;
    }
  }
  if (locations.source_tokens >= locations.shared_tokens) {
    return locations;
  }
  locations.cache_owners = CacheOwnersOf(request.size->AffinityKey(),
                                         kCacheOwners, *registry_, all, now);
  if (IsExclusive(request) && !locations.cache_owners.empty()) {
    // Where dispatchers own the upstreams, none of them knows all caches.
    const Upstream* home = locations.cache_owners.front();
    locations.copy_source = registry_->Find(home->record.id);
    locations.source_tokens = locations.shared_tokens;
    locations.is_presumed = true;
  }
  return locations;
}

Placement Placer::Evaluate(const PlacementRequest& request,
                           const UpstreamRegistry::Ptr& upstream,
                           const PromptLocations& locations,
                           Instant now) const {
  Placement placement{upstream, {}, 0, nullptr};
  if (!request.size->IsModelCall()) {
    placement.forecast = Predict(request, *upstream, 0, now);
    return placement;
  }
  uint32_t tokens_in = request.size->tokens_in;
  uint32_t cached_tokens =
      upstream->cache.CachedPrefixTokens(request.size->parts);
  double copied_tokens = 0;
  if (request.traits != nullptr && request.traits->supports_prompt_copy &&
      locations.copy_source != upstream &&
      locations.source_tokens >= cached_tokens + kMinCopyTokens) {
    copied_tokens = locations.source_tokens - cached_tokens;
    cached_tokens = locations.source_tokens;
    placement.prompt_source = locations.copy_source;
  }
  placement.prefill_tokens =
      tokens_in > cached_tokens ? tokens_in - cached_tokens : 0;
  double weighted_prefill_tokens =
      placement.prefill_tokens +
      (locations.is_presumed ? kPresumedTokenWeight : kCopiedTokenWeight) *
          copied_tokens;
  // In a large region the first home has the parts, and the others copy them.
  bool is_cache_owner = locations.is_presumed
                            ? locations.copy_source == upstream
                            : Contains(locations.cache_owners, upstream.get());
  if (is_cache_owner && cached_tokens < locations.shared_tokens) {
    // Some upstream has to prefill them; the discount makes all instances
    // choose the same one.
    weighted_prefill_tokens -= locations.shared_tokens - cached_tokens;
  }
  placement.forecast =
      Predict(request, *upstream, std::max(0.0, weighted_prefill_tokens), now);
  return placement;
}

Forecast Placer::Predict(const PlacementRequest& request,
                         const Upstream& upstream, double prefill_tokens,
                         Instant now) const {
  const ServiceProfile& profile = registry_->ProfileOf(request.service);
  Forecast forecast;
  if (!request.size->IsModelCall()) {
    PlainForecast plain = registry_->PredictPlain(upstream, now);
    forecast.first_byte = forecast.finish = plain.finish;
    forecast.queue_factor = plain.queue_factor;
    forecast.is_reliable = plain.is_reliable;
    return forecast;
  }
  LoadShare load = registry_->LoadOf(upstream, now);
  double slowness = upstream.slowness.At(now);
  forecast.queued_prefill_tokens = static_cast<double>(load.prefill_tokens);
  forecast.own_prefill_tokens = prefill_tokens;
  double us_per_token = slowness * 1000 / profile.prefill_tokens_per_ms;
  forecast.own_prefill_time =
      Micros(static_cast<int64_t>(prefill_tokens * us_per_token));
  double first_byte_us =
      profile.base_latency_us +
      (forecast.queued_prefill_tokens + prefill_tokens) * us_per_token;
  double expected_time_per_token_us =
      slowness *
      (upstream.time_per_token_us > 0 &&
               now - upstream.time_per_token_at < kTimePerTokenLifetime
           ? upstream.time_per_token_us
           : profile.time_per_token_us);
  forecast.first_byte = Micros(static_cast<int64_t>(first_byte_us));
  forecast.finish = Micros(static_cast<int64_t>(
      first_byte_us + expected_time_per_token_us * request.output_tokens));
  forecast.time_per_token_us = expected_time_per_token_us;
  forecast.time_per_token_ratio =
      expected_time_per_token_us / profile.MaxTimePerTokenUs();
  if (Micros longest = profile.LongestLimit(); longest > Micros::zero()) {
    forecast.interference =
        load.running * static_cast<double>(forecast.own_prefill_time.count()) /
        static_cast<double>(longest.count());
  }
  return forecast;
}

bool Placer::HasCapacity(const PlacementRequest& request,
                         const Upstream& upstream, Instant now) const {
  if (!request.size->IsModelCall()) {
    return registry_->HasPlainCapacity(upstream, now);
  }
  LoadShare load = registry_->LoadOf(upstream, now);
  uint32_t slots = request.traits != nullptr && request.traits->batch_slots > 0
                       ? request.traits->batch_slots
                       : upstream.record.slots;
  if (load.running >= slots) {
    return false;
  }
  if (request.traits == nullptr || request.traits->memory_tokens == 0) {
    return true;
  }
  double claimed = static_cast<double>(load.reserved_tokens) +
                   request.size->tokens_in + request.size->tokens_out;
  return load.running == 0 ||
         claimed <= kMaxMemoryShare *
                        static_cast<double>(request.traits->memory_tokens);
}

// Whether this instance may send the call to the upstream, or pass it on to
// the upstream's owner.
bool Placer::IsReachable(const PlacementRequest& request,
                         const Upstream& upstream, Instant now) const {
  if (!IsExclusive(request) || request.dispatchers->Owns(upstream.record)) {
    return true;
  }
  if (request.is_last_hop) {
    return upstream.record.id == request.suggested_upstream;
  }
  const InstanceRecord* owner = request.dispatchers->OwnerOf(upstream.record);
  return owner != nullptr && !upstream.IsRejectedBy(owner->id, now) &&
         (request.tried_dispatchers == nullptr ||
          !request.tried_dispatchers->contains(owner->id));
}

bool Placer::IsUsable(const PlacementRequest& request, const Upstream& upstream,
                      Instant now) const {
  return registry_->CanSendTo(upstream, now) &&
         !request.tried_upstreams->contains(upstream.record.id) &&
         IsReachable(request, upstream, now) &&
         HasCapacity(request, upstream, now) &&
         ((!upstream.IsCold(now) && !upstream.IsLimited()) ||
          send_check_(send_context_, upstream));
}

// The limit that an upstream states counts calls, whatever their size, so the
// shorter ones go elsewhere if that is possible.
double Placer::LimitedCost(const PlacementRequest& request,
                           const Upstream& upstream) const {
  double mean = registry_->ProfileOf(request.service).mean_prefill_tokens;
  if (!upstream.IsLimited() || !request.size->IsModelCall() || mean <= 0) {
    return 0;
  }
  return kLimitedCost * std::max(0.0, 1 - request.size->tokens_in / mean);
}

std::optional<Placement> Placer::ChooseHome(const PlacementRequest& request,
                                            const PromptLocations& locations,
                                            Instant now) const {
  if (!IsExclusive(request)) {
    return std::nullopt;
  }
  for (const Upstream* home : locations.cache_owners) {
    if (!IsUsable(request, *home, now)) {
      continue;
    }
    Placement placement =
        Evaluate(request, registry_->Find(home->record.id), locations, now);
    placement.forecast.failure_rate = home->failures.At(now);
    auto target = static_cast<double>(request.time_to_target.count());
    if (static_cast<double>(placement.forecast.first_byte.count()) <=
            kHomeTargetShare * target &&
        placement.forecast.time_per_token_ratio <= kMaxHomeTimePerTokenRatio &&
        placement.forecast.failure_rate <= kMaxHomeFailureRate) {
      return placement;
    }
  }
  return std::nullopt;
}

std::optional<Placement> Placer::Choose(const PlacementRequest& request,
                                        Instant now) const {
  PromptLocations locations = LocatePrompt(request, now);
  if (auto home = ChooseHome(request, locations, now)) {
    return home;
  }
  const auto& all = registry_->UpstreamsOf(request.service);
  std::vector<const Upstream*> usable;
  for (const auto& upstream : all) {
    if (IsUsable(request, *upstream, now)) {
      usable.push_back(upstream.get());
    }
  }
  size_t n = SampleSize(usable.size(), request.unreported_sends);
  usable = RendezvousSample(request.sampling_seed, n, std::move(usable));
  std::optional<Placement> best;
  double lowest_cost = 0;
  for (const auto& upstream : all) {
    bool is_candidate =
        Contains(usable, upstream.get()) ||
        (locations.Includes(*upstream) && IsUsable(request, *upstream, now));
    if (!is_candidate) {
      continue;
    }
    Placement placement = Evaluate(request, upstream, locations, now);
    placement.forecast.failure_rate = upstream->failures.At(now);
    double cost = PlacementCost(request, placement.forecast) +
                  LimitedCost(request, *upstream);
    bool is_better =
        !best || cost < lowest_cost ||
        (cost == lowest_cost &&
         upstream->last_assigned_at < best->upstream->last_assigned_at);
    if (is_better) {
      best = std::move(placement);
      lowest_cost = cost;
    }
  }
  return best;
}

}  // namespace basilvalve::flow
