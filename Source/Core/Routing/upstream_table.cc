#include "Core/Routing/upstream_table.h"

#include <algorithm>
#include <set>

namespace basilvalve::routing {
namespace {

// Weight of a new observation in the exponential moving averages.
constexpr double kSmoothing = 0.2;
// Factor by which each load report shrinks the deviation of the slowness
// from 1.
constexpr double kSlownessDecayPerReport = 0.98;
// Bounds the memory for an upstream that has stopped reporting.
constexpr size_t kMaxSentCalls = 256;
// Assumed report age of an upstream that has not reported; old enough that the
// default load has no weight in predictions.
constexpr Micros kNoReportAge = Seconds(3600);
// Initial concurrency limit per decode slot of the first load report.
constexpr double kLimitPerSlot = 2;
constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 50;
// Shorter times are raised to this before comparing prediction and observation,
// because their ratio would mostly be noise.
constexpr Micros kMinComparedLatency{5000};

double Smooth(double old_value, double new_value) {
  return old_value + kSmoothing * (new_value - old_value);
}

}  // namespace

UpstreamTable::UpstreamTable(const admission::BreakerSettings& breaker,
                             const admission::ConcurrencySettings& concurrency)
    : breaker_(breaker), concurrency_(concurrency) {}

std::optional<uint32_t> UpstreamTable::HandleOf(const UpstreamId& id) const {
  std::lock_guard lock(handles_mutex_);
  auto it = handles_.find(id);
  return it == handles_.end() ? std::nullopt : std::make_optional(it->second);
}

void UpstreamTable::Refresh(
    const std::vector<platform::ListedInstance>& listed) {
  std::set<uint32_t> listed_handles;
  for (const platform::ListedInstance& it : listed) {
    if (it.kind == platform::ListedKind::kGateway) {
      continue;
    }
    uint32_t handle = 0;
    {
      std::lock_guard lock(handles_mutex_);
      auto [pos, added] = handles_.try_emplace(UpstreamId(it.id), next_handle_);
      next_handle_ += added ? 1 : 0;
      handle = pos->second;
    }
    listed_handles.insert(handle);
    Shard& shard = ShardOf(handle);
    std::lock_guard lock(shard.mutex);
    auto [pos, added] =
        shard.entries.try_emplace(handle, breaker_, concurrency_);
    pos->second.listed = it;
    pos->second.in_list = true;
  }
  for (Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex);
    for (auto& [handle, entry] : shard.entries) {
      entry.in_list = listed_handles.contains(handle);
    }
  }
}

void UpstreamTable::OnReport(const UpstreamId& id, const LoadReport& report,
                             Instant now) {
  std::optional<uint32_t> handle = HandleOf(id);
  if (!handle) {
    return;
  }
  Shard& shard = ShardOf(*handle);
  std::lock_guard lock(shard.mutex);
  Entry& entry = shard.entries.at(*handle);
  bool first_report = entry.report_taken_at == Instant();
  if (first_report) {
    // The default initial limit would throttle an upstream with many slots.
    admission::ConcurrencySettings settings = concurrency_;
    settings.initial = std::max(settings.initial, kLimitPerSlot * report.slots);
    settings.max = std::max(settings.max, settings.initial);
    entry.limit = admission::ConcurrencyLimit(settings);
  }
  entry.report = report;
  entry.report_taken_at = now - report.lag;
  while (!entry.sent_since_report.empty() &&
         entry.sent_since_report.front().at <= entry.report_taken_at) {
    entry.sent_since_report.pop_front();
  }
  // An upstream avoided as slow gets no calls that would update its slowness;
  // without this decay it would never be chosen again.
  entry.slowness = 1 + (entry.slowness - 1) * kSlownessDecayPerReport;
}

bool UpstreamTable::MarkLeaving(const UpstreamId& id, Instant now,
                                Millis hold) {
  std::optional<uint32_t> handle = HandleOf(id);
  if (!handle) {
    return false;
  }
  Shard& shard = ShardOf(*handle);
  std::lock_guard lock(shard.mutex);
  Entry& entry = shard.entries.at(*handle);
  bool newly_marked = entry.leaving_until <= now;
  entry.leaving_until = std::max(entry.leaving_until, now + hold);
  return newly_marked;
}

bool UpstreamTable::AcceptsCalls(const Entry& entry, Instant now) {
  return entry.in_list && entry.listed.state == platform::ListedState::kLive &&
         !entry.report.draining && entry.leaving_until <= now &&
         entry.breaker.Allows(now) && entry.limit.Admits(entry.in_flight);
}

bool UpstreamTable::ServesModel(const Entry& entry, const std::string& model) {
  const std::vector<ModelName>& models = entry.listed.models;
  return entry.listed.kind == platform::ListedKind::kModel &&
         std::find(models.begin(), models.end(), ModelName(model)) !=
             models.end();
}

bool UpstreamTable::ServesService(const Entry& entry,
                                  const std::string& service) {
  return entry.listed.kind == platform::ListedKind::kService &&
         entry.listed.service.value() == service;
}

Candidate UpstreamTable::MakeCandidate(uint32_t handle, const Entry& entry,
                                       Instant now) {
  Candidate candidate;
  candidate.handle = handle;
  candidate.running = entry.report.running;
  candidate.queued = entry.report.queued;
  candidate.backlog_tokens = entry.report.backlog_tokens;
  candidate.slots = std::max(1.0, entry.report.slots);
  candidate.prefill_rate = std::max(1.0, entry.report.prefill_rate);
  candidate.mean_service_time = entry.mean_service_time;
  candidate.age = entry.report_taken_at == Instant()
                      ? kNoReportAge
                      : now - entry.report_taken_at;
  candidate.calls_since_report =
      static_cast<double>(entry.sent_since_report.size());
  for (const SentCall& it : entry.sent_since_report) {
    candidate.tokens_since_report += it.tokens;
  }
  candidate.own_pending_tokens = entry.pending_tokens;
  candidate.own_in_flight = entry.in_flight;
  candidate.slowness = entry.slowness;
  return candidate;
}

std::vector<Candidate> UpstreamTable::Candidates(
    Filter filter, const std::string& wanted,
    const std::vector<uint32_t>& excluded, Instant now) const {
  std::vector<Candidate> preferred;
  std::vector<Candidate> excluded_candidates;
  for (const Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex);
    for (const auto& [handle, entry] : shard.entries) {
      if (!filter(entry, wanted) || !AcceptsCalls(entry, now)) {
        continue;
      }
      bool is_excluded =
          std::find(excluded.begin(), excluded.end(), handle) != excluded.end();
      (is_excluded ? excluded_candidates : preferred)
          .push_back(MakeCandidate(handle, entry, now));
    }
  }
  return preferred.empty() ? excluded_candidates : preferred;
}

std::vector<Candidate> UpstreamTable::ModelCandidates(
    const ModelName& model, const std::vector<uint32_t>& excluded,
    Instant now) const {
  return Candidates(&ServesModel, model.value(), excluded, now);
}

std::vector<Candidate> UpstreamTable::ServiceCandidates(
    const ServiceName& service, const std::vector<uint32_t>& excluded,
    Instant now) const {
  return Candidates(&ServesService, service.value(), excluded, now);
}

std::optional<UpstreamTarget> UpstreamTable::Start(uint32_t handle,
                                                   double uncached_tokens,
                                                   Instant now) {
  Shard& shard = ShardOf(handle);
  std::lock_guard lock(shard.mutex);
  auto it = shard.entries.find(handle);
  if (it == shard.entries.end() || !AcceptsCalls(it->second, now)) {
    return std::nullopt;
  }
  Entry& entry = it->second;
  entry.breaker.OnStart(now);
  entry.in_flight += 1;
  entry.pending_tokens += uncached_tokens;
  if (entry.sent_since_report.size() >= kMaxSentCalls) {
    entry.sent_since_report.pop_front();
  }
  entry.sent_since_report.push_back({now, uncached_tokens});
  return UpstreamTarget{handle, UpstreamId(entry.listed.id),
                        entry.listed.endpoint};
}

void UpstreamTable::OnFirstToken(uint32_t handle, double uncached_tokens,
                                 Micros predicted, Micros observed,
                                 bool met_target, Instant now) {
  Shard& shard = ShardOf(handle);
  std::lock_guard lock(shard.mutex);
  Entry& entry = shard.entries.at(handle);
  entry.pending_tokens = std::max(0.0, entry.pending_tokens - uncached_tokens);
  // The prediction already includes the current slowness factor; divide it out.
  double unadjusted =
      static_cast<double>(std::max(predicted, kMinComparedLatency).count()) /
      entry.slowness;
  double ratio =
      static_cast<double>(std::max(observed, kMinComparedLatency).count()) /
      unadjusted;
  entry.slowness =
      std::clamp(Smooth(entry.slowness, ratio), kMinSlowness, kMaxSlowness);
  entry.limit.OnResult(met_target, entry.in_flight, now);
}

void UpstreamTable::End(uint32_t handle, double pending_tokens,
                        UpstreamCallResult result, Micros duration,
                        Instant now) {
  Shard& shard = ShardOf(handle);
  std::lock_guard lock(shard.mutex);
  Entry& entry = shard.entries.at(handle);
  entry.in_flight -= 1;
  entry.pending_tokens = std::max(0.0, entry.pending_tokens - pending_tokens);
  switch (result) {
    case UpstreamCallResult::kSuccess: {
      entry.breaker.OnSuccess();
      auto micros = static_cast<double>(duration.count());
      bool first_sample = entry.mean_service_time.count() == 0;
      double mean =
          first_sample
              ? micros
              : Smooth(static_cast<double>(entry.mean_service_time.count()),
                       micros);
      entry.mean_service_time = Micros(static_cast<int64_t>(mean));
      break;
    }
    case UpstreamCallResult::kFailed:
      entry.breaker.OnFailure(now);
      break;
    case UpstreamCallResult::kNeutral:
    case UpstreamCallResult::kDraining:
      entry.breaker.OnNeutral();
      break;
  }
}

std::vector<platform::ListedInstance> UpstreamTable::Listed() const {
  std::vector<platform::ListedInstance> listed;
  for (const Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex);
    for (const auto& [handle, entry] : shard.entries) {
      if (entry.in_list) {
        listed.push_back(entry.listed);
      }
    }
  }
  return listed;
}

std::vector<UpstreamStatus> UpstreamTable::Status(Instant now) const {
  std::vector<UpstreamStatus> status;
  for (const Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex);
    for (const auto& [handle, entry] : shard.entries) {
      bool leaving = !entry.in_list || entry.report.draining ||
                     entry.leaving_until > now ||
                     entry.listed.state == platform::ListedState::kLeaving;
      Micros age = entry.report_taken_at == Instant()
                       ? Micros(0)
                       : now - entry.report_taken_at;
      status.push_back({UpstreamId(entry.listed.id), leaving,
                        entry.breaker.StateAt(now), entry.in_flight,
                        entry.limit.limit(), entry.slowness, age});
    }
  }
  return status;
}

}  // namespace basilvalve::routing
