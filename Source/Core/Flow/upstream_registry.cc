#include "Core/Flow/upstream_registry.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace basilvalve::flow {
namespace {

// Assumed speed of an engine until calls were measured. It is low, so that the
// first calls are distributed over several engines.
constexpr double kInitialPrefillTokensPerMs = 40;
constexpr double kInitialBaseLatencyUs = 15'000;
// Assumed time of a plain call until calls were measured.
constexpr double kInitialServiceTimeUs = 40'000;
// An upstream whose service time differs less than this from that of its
// service counts as equal. Otherwise chance alone would send all calls to one
// of several equal upstreams until its slots are used up.
constexpr double kEqualTimeShare = 0.25;
constexpr double kEqualTimeUs = 5'000;
// Weight of one observation in the moving averages; they settle after some
// dozens of calls.
constexpr double kSampleWeight = 0.04;
// Weight of a speed that another instance measured.
constexpr double kAdoptedSpeedWeight = 0.1;
// Shorter prefills are dominated by the duration of an engine step.
constexpr double kMinTokensToLearnSpeed = 1500;
constexpr double kMinPrefillTokensPerMs = 4;
constexpr double kMaxPrefillTokensPerMs = 400;

// Time constant of the call rate.
constexpr double kSendRateWindowSeconds = 1;
// Weight of one call in the refusal rate.
constexpr double kRefusalWeight = 0.05;
// Assumed until measured: the step duration of a half-full batch.
constexpr double kInitialTimePerTokenUs = 8'000;
// Share of the declared output length that is expected until a call has
// completed.
constexpr double kInitialOutputShare = 0.4;
// A call of mean length has to finish within this share of its limit, so that
// longer ones finish in time, too.
constexpr double kMeanCallLimitShare = 0.6;
// Weights of one interval in the time per token of an upstream and of a
// service.
constexpr double kUpstreamTimePerTokenWeight = 0.2;
constexpr double kServiceTimePerTokenWeight = 0.02;
// Share of an engine's memory that is assumed to cache prompts; running calls
// use the rest.
constexpr double kPromptCacheShare = 0.6;
// Weights of a stated limit above or below the estimate. Shorter limits count
// little because retrying callers state only the time that they have left.
constexpr double kLongerLimitWeight = 0.1;
constexpr double kShorterLimitWeight = 0.005;
// Maximum number of cache updates per heartbeat; each lost update costs an
// additional prefill.
constexpr size_t kMaxPendingCacheUpdates = 64;
// An upstream whose registration returns within this time is what it was. One
// that leaves has ended by then.
constexpr Seconds kNoticeMemory{600};

uint64_t CacheTokens(uint64_t memory_tokens) {
  return static_cast<uint64_t>(kPromptCacheShare *
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
    RestoreNotice(upstream.get());
    by_service_[record.service].push_back(upstream);
    by_short_id_[ShortIdOf(record.id)] = upstream;
    it = by_id_.emplace(record.id, std::move(upstream)).first;
  }
  Upstream& upstream = *it->second;
  if (upstream.record.started_at_ms != record.started_at_ms) {
    upstream.OnRestarted();
  }
  if (!upstream.notice->Matches(record.started_at_ms)) {
    upstream.notice = std::make_shared<UpstreamNotice>(record.started_at_ms);
  }
  upstream.notice->SetStart(record.started_at_ms);
  bool has_changed = upstream.notice->OnRegistered(record.is_draining, now);
  upstream.record = record;
  upstream.cold_until = record.cold_remaining > Millis::zero()
                            ? now + record.cold_remaining
                            : Instant();
  if (has_changed && leaving_handler_) {
    leaving_handler_(upstream, now);
  }
}

void UpstreamRegistry::RestoreNotice(Upstream* upstream) {
  auto it = removed_notices_.find(upstream->record.id);
  if (it == removed_notices_.end()) {
    return;
  }
  if (it->second.record.service == upstream->record.service &&
      it->second.notice->Matches(upstream->record.started_at_ms)) {
    upstream->notice = std::move(it->second.notice);
  }
  removed_notices_.erase(it);
}

void UpstreamRegistry::Sweep(Instant now) {
  for (auto& [id, removed] : removed_notices_) {
    if (removed.first_swept_at == Instant()) {
      removed.first_swept_at = now;
    }
  }
  std::erase_if(removed_notices_, [now](const auto& entry) {
    return now - entry.second.first_swept_at > kNoticeMemory;
  });
}

std::optional<Instant> UpstreamRegistry::PausedUntil(const ServiceName& service,
                                                     Instant now) const {
  std::optional<Instant> earliest;
  for (const Ptr& upstream : UpstreamsOf(service)) {
    const UpstreamNotice& notice = *upstream->notice;
    if (upstream->is_misdirected || notice.IsLeaving() ||
        IsEvacuated(*upstream)) {
      continue;
    }
    if (!notice.IsPaused(now)) {
      return std::nullopt;
    }
    earliest = earliest ? std::min(*earliest, notice.paused_until())
                        : notice.paused_until();
  }
  return earliest;
}

void UpstreamRegistry::Remove(const UpstreamId& id) {
  auto it = by_id_.find(id);
  if (it == by_id_.end()) {
    return;
  }
  it->second->is_removed = true;
  removed_notices_[id] = {it->second->record, it->second->notice, {}};
  auto& list = by_service_[it->second->record.service];
  list.erase(std::remove(list.begin(), list.end(), it->second), list.end());
  by_short_id_.erase(ShortIdOf(id));
  by_id_.erase(it);
}

void UpstreamRegistry::ReplaceAll(const std::vector<UpstreamRecord>& records,
                                  Instant now) {
  std::set<UpstreamId> present;
  for (const UpstreamRecord& record : records) {
    present.insert(record.id);
    Upsert(record, now);
  }
  std::vector<UpstreamId> removed;
  for (const auto& [id, upstream] : by_id_) {
    if (!present.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const UpstreamId& id : removed) {
    Remove(id);
  }
}

void UpstreamRegistry::Restore(const std::vector<UpstreamRecord>& records,
                               Instant now) {
  for (const UpstreamRecord& record : records) {
    auto known = by_id_.find(record.id);
    auto removed = removed_notices_.find(record.id);
    bool is_outdated = known != by_id_.end()
                           ? record.IsEarlierThan(known->second->record)
                           : removed != removed_notices_.end() &&
                                 !removed->second.record.IsEarlierThan(record);
    if (!is_outdated) {
      Upsert(record, now);
    }
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

UpstreamRegistry::Ptr UpstreamRegistry::Find(UpstreamShortId short_id) const {
  auto it = by_short_id_.find(short_id);
  return it == by_short_id_.end() ? nullptr : it->second;
}

LoadShare UpstreamRegistry::LoadOf(const Upstream& upstream,
                                   Instant now) const {
  auto it = profiles_.find(upstream.record.service);
  return upstream.TotalLoad(
      now, it == profiles_.end() ? 0 : it->second.mean_prefill_tokens);
}

void UpstreamRegistry::OnReportedLoad(Upstream& upstream, ReportedLoad load,
                                      Instant now) {
  load.at = now;
  upstream.reported = load;
  upstream.queue.OnReport(load.running + load.waiting, now);
  if (load.slowness) {
    upstream.slowness.OnReport(*load.slowness, now);
  }
}

double UpstreamRegistry::PlainServiceTimeUs(const Upstream& upstream,
                                            Instant now) const {
  auto it = profiles_.find(upstream.record.service);
  double usual_us = it == profiles_.end() ? kInitialServiceTimeUs
                                          : it->second.service_time.At(
                                                kInitialServiceTimeUs, now);
  double own_us = upstream.service_time.At(usual_us, now);
  if (std::abs(own_us - usual_us) <
      std::max(kEqualTimeShare * usual_us, kEqualTimeUs)) {
    own_us = usual_us;
  }
  return own_us * upstream.slowness.At(now);
}

Micros UpstreamRegistry::SlotTimeOf(const Upstream& upstream,
                                    Instant now) const {
  return Micros(static_cast<int64_t>(PlainServiceTimeUs(upstream, now) /
                                     std::max(1U, upstream.record.slots)));
}

void UpstreamRegistry::LearnServiceTime(Upstream& upstream, Micros took,
                                        double queue_factor, Instant now) {
  ServiceTime& service_time = ProfileOf(upstream.record.service).service_time;
  double us = static_cast<double>(took.count()) /
              (std::max(1.0, queue_factor) * upstream.slowness.At(now));
  upstream.service_time.Learn(us, service_time.At(kInitialServiceTimeUs, now),
                              now);
  service_time.Learn(us, kInitialServiceTimeUs, now);
}

void UpstreamRegistry::OnFull(Upstream& upstream,
                              std::optional<uint32_t> waiting, Instant now) {
  upstream.full_pause.OnRefused(SlotTimeOf(upstream, now), waiting, now);
}

PlainForecast UpstreamRegistry::PredictPlain(const Upstream& upstream,
                                             Instant now) const {
  PlainForecast forecast;
  double slots = std::max(1U, upstream.record.slots);
  double calls = upstream.PlainCalls(now);
  forecast.queue_factor = 1 + std::max(0.0, calls + 1 - slots) / slots;
  forecast.finish = Micros(static_cast<int64_t>(
      PlainServiceTimeUs(upstream, now) * forecast.queue_factor));
  auto it = profiles_.find(upstream.record.service);
  forecast.is_reliable =
      it != profiles_.end() && it->second.service_time.is_reliable();
  return forecast;
}

bool UpstreamRegistry::HasPlainCapacity(const Upstream& upstream,
                                        Instant now) const {
  return upstream.full_pause.HasEnded(now) &&
         upstream.PlainCalls(now) < upstream.MaxPlainCalls();
}

Micros UpstreamRegistry::PlainSlotTimeOf(const ServiceName& service,
                                         Instant now) const {
  auto it = profiles_.find(service);
  const std::vector<Ptr>& upstreams = UpstreamsOf(service);
  if (it == profiles_.end() || it->second.mean_prefill_tokens > 0 ||
      !it->second.service_time.is_reliable() || upstreams.empty()) {
    return Micros::zero();
  }
  Micros sum{0};
  for (const Ptr& upstream : upstreams) {
    sum += SlotTimeOf(*upstream, now);
  }
  return sum / static_cast<int64_t>(upstreams.size());
}

std::map<ServiceName, ServiceSpeed> UpstreamRegistry::Speeds(
    Instant now) const {
  std::map<ServiceName, ServiceSpeed> speeds;
  for (const auto& [id, upstream] : by_id_) {
    const ServiceName& service = upstream->record.service;
    ServiceSpeed& speed = speeds[service];
    speed.highest_slowness =
        std::max(speed.highest_slowness, upstream->slowness.At(now));
    auto it = profiles_.find(service);
    if (it != profiles_.end() && it->second.service_time.is_reliable()) {
      speed.service_time = Micros(static_cast<int64_t>(
          it->second.service_time.At(kInitialServiceTimeUs, now)));
    }
    if (it != profiles_.end() && !it->second.rank_profiles.empty()) {
      speed.time_per_token_us = it->second.time_per_token_us;
      speed.prefill_tokens_per_ms = it->second.prefill_tokens_per_ms;
    }
  }
  return speeds;
}

bool UpstreamRegistry::CanSendTo(const Upstream& upstream, Instant now) const {
  return !upstream.is_removed && !upstream.is_misdirected &&
         upstream.notice->Allows(now) && !IsEvacuated(upstream) &&
         upstream.breaker.Allows(now);
}

void UpstreamRegistry::OnSend(const ServiceName& service, Instant now) {
  ServiceProfile& profile = ProfileOf(service);
  double s = static_cast<double>((now - profile.last_send).count()) / 1e6;
  profile.sends_per_second =
      profile.sends_per_second * std::exp(-s / kSendRateWindowSeconds) +
      1 / kSendRateWindowSeconds;
  profile.last_send = now;
}

void UpstreamRegistry::OnPromptSent(Upstream& upstream,
                                    const std::vector<PromptPart>& parts,
                                    uint32_t prefill_tokens,
                                    uint64_t memory_tokens) {
  double& mean = ProfileOf(upstream.record.service).mean_prefill_tokens;
  mean += kSampleWeight * (prefill_tokens - mean);
  if (parts.size() > 1) {
    // The last part belongs to this call and is not shared.
    std::vector<PromptPart> shared(parts.begin(), parts.end() - 1);
    uint32_t tokens = 0;
    for (const PromptPart& part : shared) {
      tokens += part.tokens;
    }
    bool is_newly_cached = upstream.cache.CachedPrefixTokens(shared) < tokens;
    if (is_newly_cached && cache_updates_.size() < kMaxPendingCacheUpdates) {
      cache_updates_.push_back(
          {ShortIdOf(upstream.record.id), std::move(shared)});
    }
  }
  upstream.cache.MarkUsed(parts, CacheTokens(memory_tokens));
}

void UpstreamRegistry::OnNeighbourCacheUpdate(
    const PromptCacheUpdate& cache_update, uint64_t memory_tokens) {
  if (Ptr upstream = Find(cache_update.upstream)) {
    upstream->cache.MarkUsed(cache_update.parts, CacheTokens(memory_tokens));
  }
}

std::vector<PromptCacheUpdate> UpstreamRegistry::TakeCacheUpdates() {
  return std::exchange(cache_updates_, {});
}

ServiceProfile& UpstreamRegistry::ProfileOf(const ServiceName& service) {
  auto [it, is_new] = profiles_.try_emplace(service);
  if (is_new) {
    it->second.prefill_tokens_per_ms = kInitialPrefillTokensPerMs;
    it->second.base_latency_us = kInitialBaseLatencyUs;
    it->second.time_per_token_us = kInitialTimePerTokenUs;
  }
  return it->second;
}

void UpstreamRegistry::AdoptSpeeds(const ServiceName& service,
                                   double prefill_tokens_per_ms,
                                   double time_per_token_us) {
  ServiceProfile& profile = ProfileOf(service);
  if (prefill_tokens_per_ms > 0) {
    profile.prefill_tokens_per_ms +=
        kAdoptedSpeedWeight *
        (prefill_tokens_per_ms - profile.prefill_tokens_per_ms);
  }
  if (time_per_token_us > 0) {
    profile.time_per_token_us +=
        kAdoptedSpeedWeight * (time_per_token_us - profile.time_per_token_us);
  }
}

void UpstreamRegistry::LearnTimePerToken(Upstream& upstream,
                                         double us_per_token, Instant now) {
  // At the usual speed; the forecast applies the slowness at its own time.
  us_per_token /= upstream.slowness.At(now);
  double& own_estimate = upstream.time_per_token_us;
  Evidence& own_evidence = upstream.time_per_token_evidence;
  bool replaces_own = own_estimate == 0 || (us_per_token < own_estimate &&
                                            !own_evidence.IsRecent(now));
  own_estimate +=
      own_evidence.OnSample(replaces_own, kUpstreamTimePerTokenWeight, now) *
      (us_per_token - own_estimate);
  upstream.time_per_token_at = now;
  ServiceProfile& profile = ProfileOf(upstream.record.service);
  double& mean = profile.time_per_token_us;
  Evidence& evidence = profile.time_per_token_evidence;
  bool replaces_mean = us_per_token < mean && !evidence.IsRecent(now);
  mean += evidence.OnSample(replaces_mean, kServiceTimePerTokenWeight, now) *
          (us_per_token - mean);
}

SpeedConfidence UpstreamRegistry::ConfidenceIn(const ServiceName& service,
                                               Instant now) {
  ServiceProfile& profile = ProfileOf(service);
  return {profile.prefill_evidence.ConfidenceAt(now),
          profile.time_per_token_evidence.ConfidenceAt(now)};
}

void UpstreamRegistry::OnTrial(const ServiceName& service, Instant now) {
  ServiceProfile& profile = ProfileOf(service);
  profile.prefill_evidence.OnTrial(now);
  profile.time_per_token_evidence.OnTrial(now);
}

double UpstreamRegistry::ReportedPrefillSpeed(const ServiceName& service,
                                              Instant now) {
  const ServiceProfile& profile = ProfileOf(service);
  return profile.IsMeasuredLately(now) ? profile.prefill_tokens_per_ms
                                       : std::max(profile.prefill_tokens_per_ms,
                                                  kInitialPrefillTokensPerMs);
}

double UpstreamRegistry::ReportedTimePerTokenUs(const Upstream& upstream,
                                                Instant now) const {
  return upstream.time_per_token_evidence.IsRecent(now)
             ? upstream.time_per_token_us
             : std::min(upstream.time_per_token_us, kInitialTimePerTokenUs);
}

RankProfile& UpstreamRegistry::RankProfileOf(const ServiceName& service,
                                             int rank, double declared_tokens,
                                             Micros limit) {
  auto [it, is_new] = ProfileOf(service).rank_profiles.try_emplace(rank);
  if (is_new) {
    it->second.output_tokens = kInitialOutputShare * declared_tokens;
    it->second.first_attempt_limit_us = static_cast<double>(limit.count());
  }
  it->second.limit = limit;
  double& estimate = it->second.first_attempt_limit_us;
  auto stated = static_cast<double>(limit.count());
  estimate += (stated > estimate ? kLongerLimitWeight : kShorterLimitWeight) *
              (stated - estimate);
  return it->second;
}

void UpstreamRegistry::LearnRefusal(const ServiceName& service, int rank,
                                    bool is_refused) {
  auto& rank_profiles = ProfileOf(service).rank_profiles;
  auto it = rank_profiles.find(rank);
  if (it != rank_profiles.end()) {
    double& share = it->second.refusal_rate;
    share += kRefusalWeight * ((is_refused ? 1.0 : 0.0) - share);
  }
}

void UpstreamRegistry::LearnOutput(const ServiceName& service, int rank,
                                   double tokens) {
  auto& rank_profiles = ProfileOf(service).rank_profiles;
  auto it = rank_profiles.find(rank);
  if (it != rank_profiles.end()) {
    it->second.output_tokens +=
        kSampleWeight * (tokens - it->second.output_tokens);
  }
}

double ServiceProfile::ExpectedOutput(int rank,
                                      uint32_t estimated_tokens) const {
  auto it = rank_profiles.find(rank);
  if (it == rank_profiles.end()) {
    return estimated_tokens;
  }
  double mean = it->second.output_tokens;
  return estimated_tokens > 0 ? std::sqrt(mean * estimated_tokens) : mean;
}

bool ServiceProfile::IsMeasuredLately(Instant now) const {
  return prefill_evidence.IsRecent(now) ||
         time_per_token_evidence.IsRecent(now);
}

Micros ServiceProfile::LongestLimit() const {
  Micros longest{0};
  for (const auto& [rank, rank_profile] : rank_profiles) {
    longest = std::max(longest, rank_profile.limit);
  }
  return longest;
}

double ServiceProfile::MaxTimePerTokenUs() const {
  double tolerated = std::numeric_limits<double>::max();
  for (const auto& [rank, rank_profile] : rank_profiles) {
    if (rank_profile.output_tokens > 0) {
      tolerated = std::min(tolerated,
                           kMeanCallLimitShare *
                               static_cast<double>(rank_profile.limit.count()) /
                               rank_profile.output_tokens);
    }
  }
  return tolerated;
}

void UpstreamRegistry::LearnPrefillSpeed(const ServiceName& service,
                                         double tokens, Micros took,
                                         Instant now, double slowness) {
  ServiceProfile& profile = ProfileOf(service);
  double elapsed_us =
      static_cast<double>(took.count()) - profile.base_latency_us;
  if (tokens < kMinTokensToLearnSpeed || elapsed_us <= 0) {
    return;
  }
  double measured = std::clamp(tokens * 1000 / elapsed_us * slowness,
                               kMinPrefillTokensPerMs, kMaxPrefillTokensPerMs);
  double& mean = profile.prefill_tokens_per_ms;
  bool replaces_mean = measured > mean && !profile.IsMeasuredLately(now);
  mean += profile.prefill_evidence.OnSample(replaces_mean, kSampleWeight, now) *
          (measured - mean);
}

}  // namespace basilvalve::flow
