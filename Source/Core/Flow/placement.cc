#include "Core/Flow/placement.h"

#include <algorithm>
#include <cmath>

#include "Core/Common/hash.h"

namespace basilvalve::flow {
namespace {

// Upstreams on which the shared pieces of one prompt are kept: the first takes
// the calls, the second their overflow.
constexpr size_t kKeepers = 2;
// Copying fewer tokens than this is not worth a transfer.
constexpr uint32_t kLeastFetchTokens = 200;
// A copied token against a read one: a transfer is short, but it is not free
// and the source's memory is not certain to hold it still.
constexpr double kFetchWeight = 0.15;
// How long an upstream's own pace is trusted; then the service's mean counts.
constexpr Millis kPaceLifetime{2000};
// A slow pace counts this much when upstreams are compared.
constexpr double kPaceWeight = 0.5;
// What is known of neighbours' sends is as old as their last beats: if all
// instances took the least loaded of all upstreams, they would take the same
// one. The better of two drawn is enough to even out the load.
constexpr size_t kLeastSample = 2;
// One send that may have gone to each upstream makes a look at a fifth of them
// as good as at all.
constexpr double kUntoldWeight = 4;
// Time that other calls lose counts like time of the call itself.
constexpr double kBurdenWeight = 1;
// Objectives count at least this much, so that a call that is late already
// still goes where it is served soonest.
constexpr Micros kLeastObjective{Millis(100)};
// Share of an engine's memory that running calls may claim; above it the
// engine begins to evict running calls.
constexpr double kMemoryShare = 0.85;
// Work of a plain call at one slot, microseconds, when queueing is predicted.
constexpr double kPlainWorkUs = 40'000;

uint64_t Rank(uint64_t key, const Upstream& upstream) {
  return Hash64(upstream.record.id.value(), key);
}

// The first `n` of the candidates in the order that the key gives them.
std::vector<const Upstream*> Drawn(uint64_t key, size_t n,
                                   std::vector<const Upstream*> candidates) {
  n = std::min(n, candidates.size());
  std::partial_sort(
      candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(n),
      candidates.end(), [key](const Upstream* left, const Upstream* right) {
        return Rank(key, *left) > Rank(key, *right);
      });
  candidates.resize(n);
  return candidates;
}

// The upstreams that should keep the pieces, best first, whatever their load:
// every instance of the region comes to the same answer.
std::vector<const Upstream*> KeepersOf(
    uint64_t key, const std::vector<UpstreamRegistry::Ptr>& candidates) {
  std::vector<const Upstream*> lasting;
  for (const auto& upstream : candidates) {
    if (!upstream->record.is_draining) {
      lasting.push_back(upstream.get());
    }
  }
  return Drawn(key, kKeepers, std::move(lasting));
}

// Among how many upstreams one call looks for the best: the more is unknown of
// them, the fewer.
size_t SampleSize(size_t upstreams, double unreported_sends) {
  double n =
      static_cast<double>(upstreams) / (1 + kUntoldWeight * unreported_sends);
  return std::max(kLeastSample, static_cast<size_t>(std::ceil(n)));
}

bool Holds(const std::vector<const Upstream*>& list, const Upstream* upstream) {
  return std::find(list.begin(), list.end(), upstream) != list.end();
}

// Whether another upstream may copy pieces of prompts from this one: one that
// fails would hold up who asks it.
bool CanLend(const Upstream& upstream, Instant now) {
  return !upstream.is_misdirected && upstream.breaker.Allows(now);
}

uint32_t SharedTokens(const CallSize& size) {
  uint32_t tokens = 0;
  for (size_t i = 0; i + 1 < size.parts.size(); ++i) {
    tokens += size.parts[i].tokens;
  }
  return tokens;
}

// How far a forecast uses up what the call may take: its first byte against
// the objective, its end against the limit.
double StrainOn(const PlacementRequest& need, const Forecast& forecast) {
  auto target = std::max(need.to_target, kLeastObjective);
  auto limit = std::max(need.to_limit, kLeastObjective);
  return static_cast<double>(forecast.first_byte.count()) /
             static_cast<double>(target.count()) +
         static_cast<double>(forecast.finish.count()) /
             static_cast<double>(limit.count()) +
         kPaceWeight * forecast.time_per_token_ratio +
         kBurdenWeight * forecast.burden +
         kFailureWeight * forecast.failure_rate;
}

}  // namespace

// Where the shared pieces of one prompt are.
struct Placer::Keeping {
  /// Upstreams that should keep them when none does, best first.
  std::vector<const Upstream*> keepers;
  UpstreamRegistry::Ptr source;
  uint32_t source_tokens = 0;
  uint32_t shared_tokens = 0;

  bool Has(const Upstream& upstream) const {
    return source.get() == &upstream || Holds(keepers, &upstream);
  }
};

Placer::Keeping Placer::WhoKeeps(const PlacementRequest& need,
                                 Instant now) const {
  Keeping keeping;
  if (!need.size->IsModelCall()) {
    return keeping;
  }
  const auto& all = registry_->UpstreamsOf(need.service);
  keeping.shared_tokens = SharedTokens(*need.size);
  for (const auto& upstream : all) {
    if (!CanLend(*upstream, now)) {
      continue;
    }
    uint32_t kept = upstream->cache.KeptTokens(need.size->parts);
    if (kept > keeping.source_tokens) {
      keeping.source_tokens = kept;
      keeping.source = upstream;
    }
  }
  if (keeping.source_tokens < keeping.shared_tokens) {
    keeping.keepers = KeepersOf(need.size->AffinityKey(), all);
  }
  return keeping;
}

Placement Placer::Consider(const PlacementRequest& need,
                           const UpstreamRegistry::Ptr& upstream,
                           const Keeping& keeping, Instant now) const {
  Placement placement{upstream, {}, 0, nullptr};
  if (!need.size->IsModelCall()) {
    placement.forecast = Predict(need, *upstream, 0, now);
    return placement;
  }
  uint32_t tokens_in = need.size->tokens_in;
  uint32_t kept = upstream->cache.KeptTokens(need.size->parts);
  double fetched = 0;
  if (need.traits != nullptr && need.traits->supports_prompt_copy &&
      keeping.source_tokens >= kept + kLeastFetchTokens) {
    fetched = keeping.source_tokens - kept;
    kept = keeping.source_tokens;
    placement.prompt_source = keeping.source;
  }
  placement.prefill_tokens = tokens_in > kept ? tokens_in - kept : 0;
  double unread = placement.prefill_tokens + kFetchWeight * fetched;
  bool is_keeper = Holds(keeping.keepers, upstream.get());
  if (is_keeper && kept < keeping.shared_tokens) {
    // Somebody has to read them; the instances agree on who does.
    unread -= keeping.shared_tokens - kept;
  }
  placement.forecast = Predict(need, *upstream, std::max(0.0, unread), now);
  return placement;
}

Forecast Placer::Predict(const PlacementRequest& need, const Upstream& upstream,
                         double prefill_tokens, Instant now) const {
  const ServiceProfile& profile = registry_->ProfileOf(need.service);
  LoadShare load = registry_->LoadOf(upstream, now);
  Forecast forecast;
  if (!need.size->IsModelCall()) {
    double slots = std::max(1U, upstream.record.slots);
    double waiting = std::max(0.0, load.running + 1 - slots);
    double us = kPlainWorkUs * (1 + waiting / slots);
    forecast.first_byte = forecast.finish = Micros(static_cast<int64_t>(us));
    return forecast;
  }
  forecast.queued_prefill_tokens = static_cast<double>(load.prefill_tokens);
  forecast.own_prefill_tokens = prefill_tokens;
  double us_per_token = 1000 / profile.prefill_tokens_per_ms;
  forecast.own_prefill_time =
      Micros(static_cast<int64_t>(prefill_tokens * us_per_token));
  double first =
      profile.base_us +
      (forecast.queued_prefill_tokens + prefill_tokens) * us_per_token;
  double pace =
      upstream.time_per_token_us > 0 && now - upstream.pace_at < kPaceLifetime
          ? upstream.time_per_token_us
          : profile.time_per_token_us;
  forecast.first_byte = Micros(static_cast<int64_t>(first));
  forecast.finish =
      Micros(static_cast<int64_t>(first + pace * need.output_tokens));
  forecast.time_per_token_ratio = pace / profile.MaxTimePerTokenUs();
  if (Micros longest = profile.LongestLimit(); longest > Micros::zero()) {
    forecast.burden = load.running *
                      static_cast<double>(forecast.own_prefill_time.count()) /
                      static_cast<double>(longest.count());
  }
  return forecast;
}

bool Placer::HasRoom(const PlacementRequest& need, const Upstream& upstream,
                     Instant now) const {
  LoadShare load = registry_->LoadOf(upstream, now);
  if (!need.size->IsModelCall()) {
    // Half as many again as it runs at once may wait there.
    return load.running < upstream.record.slots + upstream.record.slots / 2 + 1;
  }
  uint32_t slots = need.traits != nullptr && need.traits->batch_slots > 0
                       ? need.traits->batch_slots
                       : upstream.record.slots;
  if (load.running >= slots) {
    return false;
  }
  if (need.traits == nullptr || need.traits->memory_tokens == 0) {
    return true;
  }
  double claimed = static_cast<double>(load.reserved_tokens) +
                   need.size->tokens_in + need.size->tokens_out;
  return load.running == 0 ||
         claimed <=
             kMemoryShare * static_cast<double>(need.traits->memory_tokens);
}

bool Placer::IsUsable(const PlacementRequest& need, const Upstream& upstream,
                      Instant now) const {
  return registry_->CanSendTo(upstream, now) &&
         !need.tried->contains(upstream.record.id) &&
         HasRoom(need, upstream, now) &&
         (!upstream.IsCold(now) || cold_gate_(cold_context_, upstream));
}

std::optional<Placement> Placer::Choose(const PlacementRequest& need,
                                        Instant now) const {
  const auto& all = registry_->UpstreamsOf(need.service);
  std::vector<const Upstream*> usable;
  for (const auto& upstream : all) {
    if (IsUsable(need, *upstream, now)) {
      usable.push_back(upstream.get());
    }
  }
  size_t n = SampleSize(usable.size(), need.unreported_sends);
  usable = Drawn(need.sampling_seed, n, std::move(usable));
  Keeping keeping = WhoKeeps(need, now);
  std::optional<Placement> best;
  double least_strain = 0;
  for (const auto& upstream : all) {
    bool is_candidate =
        Holds(usable, upstream.get()) ||
        (keeping.Has(*upstream) && IsUsable(need, *upstream, now));
    if (!is_candidate) {
      continue;
    }
    Placement placement = Consider(need, upstream, keeping, now);
    placement.forecast.failure_rate = upstream->failures.At(now);
    double strain = StrainOn(need, placement.forecast);
    bool is_better =
        !best || strain < least_strain ||
        (strain == least_strain &&
         upstream->last_assigned_at < best->upstream->last_assigned_at);
    if (is_better) {
      best = std::move(placement);
      least_strain = strain;
    }
  }
  return best;
}

}  // namespace basilvalve::flow
