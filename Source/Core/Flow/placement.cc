#include "Core/Flow/placement.h"

#include <algorithm>

#include "Core/Common/hash.h"

namespace basilvalve::flow {
namespace {

// Upstreams on which the shared pieces of one prompt are kept: the first takes
// the calls, the second their overflow.
constexpr size_t kKeepers = 2;
// A token's time before any was seen: a step of a half-full batch.
constexpr double kInitialPaceUs = 8'000;
// How long a seen pace is trusted.
constexpr Millis kPaceLifetime{3000};
// Share of an engine's memory that running calls may claim; above it the
// engine begins to evict running calls.
constexpr double kMemoryShare = 0.85;
// Work of a plain call at one slot, microseconds, when queueing is predicted.
constexpr double kPlainWorkUs = 40'000;

uint64_t Rank(uint64_t key, const Upstream& upstream) {
  return Hash64(upstream.record.id.value(), key);
}

// The upstreams that should keep the pieces, best first, whatever their load:
// every instance of the region comes to the same answer.
std::vector<const Upstream*> KeepersOf(
    uint64_t key, const std::vector<UpstreamRegistry::Ptr>& candidates) {
  std::vector<const Upstream*> ranked;
  for (const auto& upstream : candidates) {
    if (!upstream->record.is_draining) {
      ranked.push_back(upstream.get());
    }
  }
  size_t n = std::min(kKeepers, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<long>(n),
                    ranked.end(),
                    [key](const Upstream* left, const Upstream* right) {
                      return Rank(key, *left) > Rank(key, *right);
                    });
  ranked.resize(n);
  return ranked;
}

uint32_t SharedTokens(const CallSize& size) {
  uint32_t tokens = 0;
  for (size_t i = 0; i + 1 < size.parts.size(); ++i) {
    tokens += size.parts[i].tokens;
  }
  return tokens;
}

}  // namespace

Forecast Placer::Predict(const PlacementNeed& need, const Upstream& upstream,
                         uint32_t kept_tokens, Instant now) const {
  const ServiceProfile& profile = registry_->ProfileOf(need.service);
  LoadShare load = upstream.TotalLoad(now);
  Forecast forecast;
  if (!need.size->IsModelCall()) {
    double slots = std::max(1U, upstream.record.slots);
    double waiting = std::max(0.0, load.running + 1 - slots);
    double us = kPlainWorkUs * (1 + waiting / slots);
    forecast.first_byte = forecast.finish = Micros(static_cast<int64_t>(us));
    return forecast;
  }
  double own = need.size->tokens_in > kept_tokens
                   ? need.size->tokens_in - kept_tokens
                   : 0;
  forecast.tokens_ahead = static_cast<double>(load.unread_tokens) + own;
  double first = profile.base_us +
                 forecast.tokens_ahead / profile.read_tokens_per_ms * 1000;
  double pace = upstream.token_pace_us > 0 &&
                        now - upstream.pace_at < kPaceLifetime
                    ? upstream.token_pace_us
                    : kInitialPaceUs;
  forecast.first_byte = Micros(static_cast<int64_t>(first));
  forecast.finish =
      Micros(static_cast<int64_t>(first + pace * need.size->tokens_out));
  return forecast;
}

bool Placer::HasRoom(const PlacementNeed& need, const Upstream& upstream,
                     Instant now) const {
  LoadShare load = upstream.TotalLoad(now);
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
  double claimed = static_cast<double>(load.held_tokens) +
                   need.size->tokens_in + need.size->tokens_out;
  return load.running == 0 ||
         claimed <=
             kMemoryShare * static_cast<double>(need.traits->memory_tokens);
}

std::optional<Placement> Placer::Choose(const PlacementNeed& need,
                                        Instant now) const {
  const auto& all = registry_->OfService(need.service);
  std::vector<const Upstream*> keepers;
  uint32_t shared = 0;
  if (need.size->IsModelCall()) {
    keepers = KeepersOf(need.size->AffinityKey(), all);
    shared = SharedTokens(*need.size);
  }
  std::optional<Placement> best;
  for (const auto& upstream : all) {
    if (!registry_->MayBeSent(*upstream, now) ||
        need.tried->contains(upstream->record.id) ||
        !HasRoom(need, *upstream, now)) {
      continue;
    }
    if (upstream->IsCold(now) && !cold_gate_(cold_context_, *upstream)) {
      continue;
    }
    uint32_t kept = upstream->cache.KeptTokens(need.size->parts);
    bool is_keeper = std::find(keepers.begin(), keepers.end(),
                               upstream.get()) != keepers.end();
    if (is_keeper) {
      kept = std::max(kept, shared);
    }
    Forecast forecast = Predict(need, *upstream, kept, now);
    bool is_better =
        !best || forecast.first_byte < best->forecast.first_byte ||
        (forecast.first_byte == best->forecast.first_byte &&
         upstream->last_given < best->upstream->last_given);
    if (is_better) {
      best = Placement{upstream, forecast};
    }
  }
  return best;
}

}  // namespace basilvalve::flow
