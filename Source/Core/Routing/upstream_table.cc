#include "Core/Routing/upstream_table.h"

#include <algorithm>
#include <set>

namespace basilvalve::routing {
namespace {

// Weight of a new observation in the moving averages.
constexpr double kSmoothing = 0.2;
constexpr double kSlownessKeptByReport = 0.98;
// Bound on the calls remembered since a report, for an upstream that stopped
// reporting.
constexpr size_t kMaxSent = 256;
// Stands for the age of a report that never came: nothing of it is believed.
constexpr Micros kNoReportAge = Seconds(3600);
// Calls in flight at the start, for each slot that the first report tells of.
constexpr double kLimitPerSlot = 2;
constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 50;
// Below this prediction the ratio says more about noise than about the
// upstream.
constexpr Micros kMinPredicted{5000};

double Smooth(double old_value, double new_value) {
  return old_value + kSmoothing * (new_value - old_value);
}

}  // namespace

UpstreamTable::UpstreamTable(const admission::BreakerSettings& breaker,
                             const admission::ConcurrencySettings& concurrency)
    : breaker_(breaker), concurrency_(concurrency) {}

std::optional<uint32_t> UpstreamTable::HandleOf(const UpstreamId& id) const {
  std::lock_guard lock(names_mutex_);
  auto it = handles_.find(id);
  return it == handles_.end() ? std::nullopt : std::make_optional(it->second);
}

void UpstreamTable::Refresh(
    const std::vector<platform::ListedInstance>& listed) {
  std::set<uint32_t> present;
  for (const platform::ListedInstance& it : listed) {
    if (it.kind == platform::ListedKind::kGateway) {
      continue;
    }
    uint32_t handle = 0;
    {
      std::lock_guard lock(names_mutex_);
      auto [slot, added] =
          handles_.try_emplace(UpstreamId(it.id), next_handle_);
      next_handle_ += added ? 1 : 0;
      handle = slot->second;
    }
    present.insert(handle);
    Shard& shard = ShardOf(handle);
    std::lock_guard lock(shard.mutex);
    auto [slot, added] =
        shard.entries.try_emplace(handle, breaker_, concurrency_);
    slot->second.listed = it;
    slot->second.listed_now = true;
  }
  for (Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex);
    for (auto& [handle, entry] : shard.entries) {
      entry.listed_now = present.contains(handle);
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
  bool first_report = entry.report_taken == Instant();
  if (first_report) {
    // An upstream with many slots is not throttled to the default at the start.
    admission::ConcurrencySettings settings = concurrency_;
    settings.initial = std::max(settings.initial, kLimitPerSlot * report.slots);
    settings.max = std::max(settings.max, settings.initial);
    entry.limit = admission::ConcurrencyLimit(settings);
  }
  entry.report = report;
  entry.report_taken = now - report.lag;
  while (!entry.sent.empty() && entry.sent.front().at <= entry.report_taken) {
    entry.sent.pop_front();
  }
  // An upstream that is avoided is not observed any more; without this it would
  // never be tried again.
  entry.slowness = 1 + (entry.slowness - 1) * kSlownessKeptByReport;
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
  bool news = entry.leaving_until <= now;
  entry.leaving_until = std::max(entry.leaving_until, now + hold);
  return news;
}

bool UpstreamTable::TakesWork(const Entry& entry, Instant now) {
  return entry.listed_now &&
         entry.listed.state == platform::ListedState::kLive &&
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

Candidate UpstreamTable::CandidateOf(uint32_t handle, const Entry& entry,
                                     Instant now) {
  Candidate candidate;
  candidate.handle = handle;
  candidate.running = entry.report.running;
  candidate.queued = entry.report.queued;
  candidate.backlog_tokens = entry.report.backlog_tokens;
  candidate.slots = std::max(1.0, entry.report.slots);
  candidate.prefill_rate = std::max(1.0, entry.report.prefill_rate);
  candidate.mean_service_time = entry.mean_service_time;
  candidate.age =
      entry.report_taken == Instant() ? kNoReportAge : now - entry.report_taken;
  candidate.own_calls = static_cast<double>(entry.sent.size());
  for (const Sent& it : entry.sent) {
    candidate.own_tokens += it.tokens;
  }
  candidate.own_pending_tokens = entry.pending_tokens;
  candidate.own_in_flight = entry.in_flight;
  candidate.slowness = entry.slowness;
  return candidate;
}

std::vector<Candidate> UpstreamTable::Candidates(
    Filter filter, const std::string& wanted,
    const std::vector<uint32_t>& except, Instant now) const {
  std::vector<Candidate> preferred;
  std::vector<Candidate> tried;
  for (const Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex);
    for (const auto& [handle, entry] : shard.entries) {
      if (!filter(entry, wanted) || !TakesWork(entry, now)) {
        continue;
      }
      bool was_tried =
          std::find(except.begin(), except.end(), handle) != except.end();
      (was_tried ? tried : preferred)
          .push_back(CandidateOf(handle, entry, now));
    }
  }
  return preferred.empty() ? tried : preferred;
}

std::vector<Candidate> UpstreamTable::ModelCandidates(
    const ModelName& model, const std::vector<uint32_t>& except,
    Instant now) const {
  return Candidates(&ServesModel, model.value(), except, now);
}

std::vector<Candidate> UpstreamTable::ServiceCandidates(
    const ServiceName& service, const std::vector<uint32_t>& except,
    Instant now) const {
  return Candidates(&ServesService, service.value(), except, now);
}

std::optional<UpstreamTarget> UpstreamTable::Start(uint32_t handle,
                                                   double uncached_tokens,
                                                   Instant now) {
  Shard& shard = ShardOf(handle);
  std::lock_guard lock(shard.mutex);
  auto it = shard.entries.find(handle);
  if (it == shard.entries.end() || !TakesWork(it->second, now)) {
    return std::nullopt;
  }
  Entry& entry = it->second;
  entry.breaker.OnStart(now);
  entry.in_flight += 1;
  entry.pending_tokens += uncached_tokens;
  if (entry.sent.size() >= kMaxSent) {
    entry.sent.pop_front();
  }
  entry.sent.push_back({now, uncached_tokens});
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
  // The prediction contains the slowness already known, which is taken out
  // again.
  double plain =
      static_cast<double>(std::max(predicted, kMinPredicted).count()) /
      entry.slowness;
  double ratio =
      static_cast<double>(std::max(observed, kMinPredicted).count()) / plain;
  entry.slowness =
      std::clamp(Smooth(entry.slowness, ratio), kMinSlowness, kMaxSlowness);
  entry.limit.OnResult(met_target, entry.in_flight, now);
}

void UpstreamTable::End(uint32_t handle, double pending_tokens,
                        UpstreamCallResult verdict, Micros duration,
                        Instant now) {
  Shard& shard = ShardOf(handle);
  std::lock_guard lock(shard.mutex);
  Entry& entry = shard.entries.at(handle);
  entry.in_flight -= 1;
  entry.pending_tokens = std::max(0.0, entry.pending_tokens - pending_tokens);
  switch (verdict) {
    case UpstreamCallResult::kSuccess: {
      entry.breaker.OnSuccess();
      auto micros = static_cast<double>(duration.count());
      bool first = entry.mean_service_time.count() == 0;
      double mean =
          first ? micros
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
      if (entry.listed_now) {
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
      bool leaving = !entry.listed_now || entry.report.draining ||
                     entry.leaving_until > now ||
                     entry.listed.state == platform::ListedState::kLeaving;
      Micros age = entry.report_taken == Instant() ? Micros(0)
                                                   : now - entry.report_taken;
      status.push_back({UpstreamId(entry.listed.id), leaving,
                        entry.breaker.StateAt(now), entry.in_flight,
                        entry.limit.limit(), entry.slowness, age});
    }
  }
  return status;
}

}  // namespace basilvalve::routing
