#include "Core/Flow/upstream_registry.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace basilvalve::flow {
namespace {

// Assumed of an engine until a call has shown its speed: a slow one, so that
// the first calls are spread.
constexpr double kInitialTokensPerMs = 40;
constexpr double kInitialBaseUs = 15'000;
// Weight of one observation; some dozens of calls settle the figure.
constexpr double kLearnWeight = 0.04;
// Shorter readings say more about the step than about the speed.
constexpr double kLeastTokensToLearn = 1500;
constexpr double kSlowestTokensPerMs = 4;
constexpr double kFastestTokensPerMs = 400;

// Time over which the rate of sends is taken.
constexpr double kSendRateSeconds = 1;
// Weight of one call in the share that is refused.
constexpr double kRefusalWeight = 0.05;
// A token's time before any was seen: a step of a half-full batch.
constexpr double kInitialPaceUs = 8'000;
// Share of the declared output that is expected before a call has ended.
constexpr double kInitialOutputShare = 0.4;
// Share of its limit in which a call of mean length has to end, so that longer
// ones end at all.
constexpr double kToleratedLimitShare = 0.6;
// Weights of one pause in the estimates of an upstream's and a service's pace.
constexpr double kPaceWeight = 0.2;
constexpr double kServicePaceWeight = 0.02;
// Share of an engine's memory that is thought to keep prompts; running calls
// hold the rest.
constexpr double kCacheShare = 0.6;
// Weights of one caller's stated limit, longer or shorter than what is known:
// callers that come back state what they have left, which says nothing about
// how long such a call may take.
constexpr double kLongerLimitWeight = 0.1;
constexpr double kShorterLimitWeight = 0.005;
// Most news kept between two beats; what is lost costs one more reading.
constexpr size_t kMostNews = 64;

uint64_t CacheTokens(uint64_t memory_tokens) {
  return static_cast<uint64_t>(kCacheShare *
                               static_cast<double>(memory_tokens));
}

}  // namespace

void UpstreamRegistry::Upsert(const UpstreamRecord& record, Instant now) {
  if (record.region != own_region_) {
    Remove(record.id);
    return;
  }
  auto it = by_id_.find(record.id);
  if (it != by_id_.end() && (it->second->record.service != record.service ||
                             it->second->record.host != record.host ||
                             it->second->record.port != record.port)) {
    Remove(record.id);
    it = by_id_.end();
  }
  if (it == by_id_.end()) {
    auto upstream = std::make_shared<Upstream>(record);
    by_service_[record.service].push_back(upstream);
    by_tag_[ShortIdOf(record.id)] = upstream;
    it = by_id_.emplace(record.id, std::move(upstream)).first;
  }
  Upstream& upstream = *it->second;
  if (upstream.record.started_at_ms != record.started_at_ms) {
    // It started again under its name and remembers nothing.
    upstream.cache.Clear();
    upstream.is_misdirected = false;
  }
  upstream.record = record;
  upstream.cold_until = record.cold_remaining > Millis::zero()
                            ? now + record.cold_remaining
                            : Instant();
}

void UpstreamRegistry::Remove(const UpstreamId& id) {
  auto it = by_id_.find(id);
  if (it == by_id_.end()) {
    return;
  }
  it->second->is_gone = true;
  auto& list = by_service_[it->second->record.service];
  list.erase(std::remove(list.begin(), list.end(), it->second), list.end());
  by_tag_.erase(ShortIdOf(id));
  by_id_.erase(it);
}

void UpstreamRegistry::ReplaceAll(const std::vector<UpstreamRecord>& records,
                                  Instant now) {
  std::set<UpstreamId> present;
  for (const UpstreamRecord& record : records) {
    present.insert(record.id);
    Upsert(record, now);
  }
  std::vector<UpstreamId> gone;
  for (const auto& [id, upstream] : by_id_) {
    if (!present.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const UpstreamId& id : gone) {
    Remove(id);
  }
}

void UpstreamRegistry::SetEvacuated(std::set<DataCentreId> data_centres) {
  evacuated_ = std::move(data_centres);
}

const std::vector<UpstreamRegistry::Ptr>& UpstreamRegistry::UpstreamsOf(
    const ServiceName& service) const {
  static const std::vector<Ptr> kNone;
  auto it = by_service_.find(service);
  return it == by_service_.end() ? kNone : it->second;
}

UpstreamRegistry::Ptr UpstreamRegistry::Find(const UpstreamId& id) const {
  auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : it->second;
}

UpstreamRegistry::Ptr UpstreamRegistry::Find(UpstreamShortId tag) const {
  auto it = by_tag_.find(tag);
  return it == by_tag_.end() ? nullptr : it->second;
}

LoadShare UpstreamRegistry::LoadOf(const Upstream& upstream,
                                   Instant now) const {
  auto it = profiles_.find(upstream.record.service);
  return upstream.TotalLoad(
      now, it == profiles_.end() ? 0 : it->second.mean_unread_tokens);
}

bool UpstreamRegistry::CanSendTo(const Upstream& upstream, Instant now) const {
  return !upstream.is_gone && !upstream.is_misdirected &&
         !upstream.record.is_draining &&
         !evacuated_.contains(upstream.record.data_centre) &&
         upstream.breaker.Allows(now);
}

void UpstreamRegistry::OnSend(const ServiceName& service, Instant now) {
  ServiceProfile& profile = ProfileOf(service);
  double s = static_cast<double>((now - profile.last_send).count()) / 1e6;
  profile.sends_per_second =
      profile.sends_per_second * std::exp(-s / kSendRateSeconds) +
      1 / kSendRateSeconds;
  profile.last_send = now;
}

void UpstreamRegistry::OnPromptSent(Upstream& upstream,
                                    const std::vector<PromptPart>& parts,
                                    uint32_t prefill_tokens,
                                    uint64_t memory_tokens) {
  double& mean = ProfileOf(upstream.record.service).mean_unread_tokens;
  mean += kLearnWeight * (prefill_tokens - mean);
  if (parts.size() > 1) {
    // The last piece is the call's own and of no use to others.
    std::vector<PromptPart> shared(parts.begin(), parts.end() - 1);
    uint32_t tokens = 0;
    for (const PromptPart& part : shared) {
      tokens += part.tokens;
    }
    bool is_news = upstream.cache.KeptTokens(shared) < tokens;
    if (is_news && news_.size() < kMostNews) {
      news_.push_back({ShortIdOf(upstream.record.id), std::move(shared)});
    }
  }
  upstream.cache.Touch(parts, CacheTokens(memory_tokens));
}

void UpstreamRegistry::OnNeighbourCacheUpdate(
    const PromptCacheUpdate& cache_update, uint64_t memory_tokens) {
  if (Ptr upstream = Find(cache_update.upstream)) {
    upstream->cache.Touch(cache_update.parts, CacheTokens(memory_tokens));
  }
}

std::vector<PromptCacheUpdate> UpstreamRegistry::TakeCacheUpdates() {
  return std::exchange(news_, {});
}

ServiceProfile& UpstreamRegistry::ProfileOf(const ServiceName& service) {
  auto [it, is_new] = profiles_.try_emplace(service);
  if (is_new) {
    it->second.prefill_tokens_per_ms = kInitialTokensPerMs;
    it->second.base_us = kInitialBaseUs;
    it->second.time_per_token_us = kInitialPaceUs;
  }
  return it->second;
}

void UpstreamRegistry::LearnTimePerToken(Upstream& upstream,
                                         double us_per_token, Instant now) {
  double& own_estimate = upstream.time_per_token_us;
  own_estimate =
      own_estimate == 0
          ? us_per_token
          : own_estimate + kPaceWeight * (us_per_token - own_estimate);
  upstream.pace_at = now;
  double& mean = ProfileOf(upstream.record.service).time_per_token_us;
  mean += kServicePaceWeight * (us_per_token - mean);
}

RankProfile& UpstreamRegistry::RankProfileOf(const ServiceName& service,
                                             int rank, double declared_tokens,
                                             Micros limit) {
  auto [it, is_new] = ProfileOf(service).kinds.try_emplace(rank);
  if (is_new) {
    it->second.output_tokens = kInitialOutputShare * declared_tokens;
    it->second.first_attempt_limit_us = static_cast<double>(limit.count());
  }
  it->second.limit = limit;
  double& known = it->second.first_attempt_limit_us;
  auto stated = static_cast<double>(limit.count());
  known += (stated > known ? kLongerLimitWeight : kShorterLimitWeight) *
           (stated - known);
  return it->second;
}

void UpstreamRegistry::LearnRefusal(const ServiceName& service, int rank,
                                    bool is_refused) {
  auto& kinds = ProfileOf(service).kinds;
  auto it = kinds.find(rank);
  if (it != kinds.end()) {
    double& share = it->second.refusal_rate;
    share += kRefusalWeight * ((is_refused ? 1.0 : 0.0) - share);
  }
}

void UpstreamRegistry::LearnOutput(const ServiceName& service, int rank,
                                   double tokens) {
  auto& kinds = ProfileOf(service).kinds;
  auto it = kinds.find(rank);
  if (it != kinds.end()) {
    it->second.output_tokens +=
        kLearnWeight * (tokens - it->second.output_tokens);
  }
}

double ServiceProfile::ExpectedOutput(int rank, uint32_t hinted_tokens) const {
  auto it = kinds.find(rank);
  if (it == kinds.end()) {
    return hinted_tokens;
  }
  double mean = it->second.output_tokens;
  return hinted_tokens > 0 ? std::sqrt(mean * hinted_tokens) : mean;
}

Micros ServiceProfile::LongestLimit() const {
  Micros longest{0};
  for (const auto& [rank, kind] : kinds) {
    longest = std::max(longest, kind.limit);
  }
  return longest;
}

double ServiceProfile::MaxTimePerTokenUs() const {
  double tolerated = std::numeric_limits<double>::max();
  for (const auto& [rank, kind] : kinds) {
    if (kind.output_tokens > 0) {
      tolerated =
          std::min(tolerated, kToleratedLimitShare *
                                  static_cast<double>(kind.limit.count()) /
                                  kind.output_tokens);
    }
  }
  return tolerated;
}

void UpstreamRegistry::LearnPrefillSpeed(const ServiceName& service,
                                         double tokens, Micros took) {
  ServiceProfile& profile = ProfileOf(service);
  double us = static_cast<double>(took.count()) - profile.base_us;
  if (tokens < kLeastTokensToLearn || us <= 0) {
    return;
  }
  double seen =
      std::clamp(tokens * 1000 / us, kSlowestTokensPerMs, kFastestTokensPerMs);
  profile.prefill_tokens_per_ms +=
      kLearnWeight * (seen - profile.prefill_tokens_per_ms);
}

}  // namespace basilvalve::flow
