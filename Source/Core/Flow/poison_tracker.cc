#include "Core/Flow/poison_tracker.h"

#include <algorithm>
#include <set>

namespace basilvalve::flow {
namespace {

constexpr Millis kEvidenceWindow{30'000};
// One cause, such as a lost machine, may end several upstreams at once.
constexpr Millis kEventSpan{500};
constexpr uint32_t kEventsToBlock = 3;
// An upstream that keeps crashing by itself also crashes under one part, which
// affinity sends there again and again.
constexpr uint32_t kEventsToBlockOnOneUpstream = 6;
// Calls without the part that must have got past their first events meanwhile.
constexpr size_t kMinBegunWithout = 3;
constexpr Millis kBlockTime{60'000};
constexpr Millis kLongBlockTime{600'000};
constexpr uint32_t kMaxProbes = 2;
constexpr Millis kForgetAfter{600'000};
// How long a crash is reported: several heartbeats, as some are lost.
constexpr Millis kReportFor{3000};

constexpr size_t kMaxSharedParts = 4;
constexpr size_t kMaxCallsPerCrash = 8;
constexpr size_t kMaxCrashedCalls = 128;
constexpr size_t kMaxVerdicts = 64;
constexpr size_t kMaxBegunCalls = 32;
constexpr size_t kMaxReportedCalls = 20;
constexpr size_t kMaxReportedSurvivals = 12;
constexpr size_t kMaxReportedVerdicts = 16;

bool Contains(const std::vector<PromptPartId>& parts, PromptPartId part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

}  // namespace

std::vector<PromptPartId> SharedPartsOf(const CallSize& size) {
  std::vector<PromptPartId> parts;
  size_t n = size.parts.empty() ? 0 : size.parts.size() - 1;
  for (size_t i = n - std::min(n, kMaxSharedParts); i < n; ++i) {
    parts.emplace_back(size.parts[i].id);
  }
  return parts;
}

void PoisonTracker::OnCrash(CrashId crash, UpstreamShortId upstream,
                            const std::vector<std::vector<PromptPartId>>& calls,
                            Instant at) {
  // Those with parts that are under evidence already are kept first.
  std::vector<std::pair<uint32_t, size_t>> order;
  for (size_t i = 0; i < calls.size(); ++i) {
    uint32_t most = 0;
    for (PromptPartId part : calls[i]) {
      most = std::max(most, EvidenceOf(part, at).events);
    }
    order.emplace_back(most, i);
  }
  std::stable_sort(
      order.begin(), order.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  order.resize(std::min(order.size(), kMaxCallsPerCrash));
  for (const auto& [events, i] : order) {
    AddRecord({crash, upstream, at, calls[i], /*is_own=*/true});
  }
  Update(at);
}

void PoisonTracker::AddRecord(Record record) {
  if (record.parts.empty()) {
    return;
  }
  auto at = std::upper_bound(
      crashed_calls_.begin(), crashed_calls_.end(), record.at,
      [](Instant time, const Record& it) { return time < it.at; });
  crashed_calls_.insert(at, std::move(record));
  if (crashed_calls_.size() > kMaxCrashedCalls) {
    crashed_calls_.pop_front();
  }
}

void PoisonTracker::OnSurvival(const std::vector<PromptPartId>& parts,
                               Instant now) {
  begun_calls_.push_back({now, parts});
  if (begun_calls_.size() > kMaxBegunCalls) {
    begun_calls_.pop_front();
  }
  for (PromptPartId part : parts) {
    bool is_recorded = std::any_of(
        crashed_calls_.begin(), crashed_calls_.end(),
        [&](const Record& record) { return Contains(record.parts, part); });
    if (is_recorded) {
      survivals_[part] = {now, /*is_own=*/true};
    }
    if (IsBlocked(part)) {
      Decide(part, /*is_blocked=*/false, now, now);
    }
  }
}

PartEvidence PoisonTracker::EvidenceOf(PromptPartId part, Instant now) const {
  Instant since = now - kEvidenceWindow;
  if (auto it = survivals_.find(part); it != survivals_.end()) {
    since = std::max(since, it->second.at);
  }
  if (auto it = verdicts_.find(part);
      it != verdicts_.end() && !it->second.is_blocked) {
    since = std::max(since, it->second.decided_at);
  }
  PartEvidence evidence;
  Instant event_start;
  std::set<UpstreamShortId> upstreams;
  // A part that different later parts follow is only to blame if it crashes
  // upstreams with several of them.
  std::set<uint64_t> continuations;
  for (const Record& record : crashed_calls_) {
    auto it = std::find(record.parts.begin(), record.parts.end(), part);
    if (it == record.parts.end() || record.at <= since ||
        IsExplained(record, part)) {
      continue;
    }
    auto next = std::next(it);
    continuations.insert(next == record.parts.end() ? record.crash.value()
                                                    : next->value());
    upstreams.insert(record.upstream);
    if (evidence.events == 0 || record.at - event_start > kEventSpan) {
      event_start = record.at;
      evidence.first = evidence.events == 0 ? record.at : evidence.first;
      ++evidence.events;
    }
  }
  evidence.events =
      std::min(evidence.events, static_cast<uint32_t>(continuations.size()));
  evidence.upstreams = static_cast<uint32_t>(upstreams.size());
  return evidence;
}

bool PoisonTracker::IsBlocked(PromptPartId part) const {
  auto it = verdicts_.find(part);
  return it != verdicts_.end() && it->second.is_blocked;
}

bool PoisonTracker::IsExplained(const Record& record, PromptPartId part) const {
  return std::any_of(
      record.parts.begin(), record.parts.end(),
      [&](PromptPartId other) { return other != part && IsBlocked(other); });
}

size_t PoisonTracker::blocked_parts() const {
  return static_cast<size_t>(
      std::count_if(verdicts_.begin(), verdicts_.end(),
                    [](const auto& it) { return it.second.is_blocked; }));
}

size_t PoisonTracker::BegunWithout(PromptPartId part, Instant since) const {
  return static_cast<size_t>(std::count_if(
      begun_calls_.begin(), begun_calls_.end(), [&](const BegunCall& call) {
        return call.at > since && !Contains(call.parts, part);
      }));
}

bool PoisonTracker::IsGuilty(PromptPartId part, Instant now) const {
  PartEvidence evidence = EvidenceOf(part, now);
  uint32_t needed =
      evidence.upstreams > 1 ? kEventsToBlock : kEventsToBlockOnOneUpstream;
  return evidence.events >= needed &&
         BegunWithout(part, evidence.first) >= kMinBegunWithout;
}

std::vector<PromptPartId> PoisonTracker::FrequentParts() const {
  std::map<PromptPartId, uint32_t> counts;
  for (const Record& record : crashed_calls_) {
    for (PromptPartId part : record.parts) {
      ++counts[part];
    }
  }
  std::vector<PromptPartId> frequent;
  for (const auto& [part, n] : counts) {
    if (n >= kEventsToBlock && !IsBlocked(part)) {
      frequent.push_back(part);
    }
  }
  return frequent;
}

size_t PoisonTracker::DepthOf(PromptPartId part) const {
  size_t depth = 0;
  for (const Record& record : crashed_calls_) {
    auto it = std::find(record.parts.begin(), record.parts.end(), part);
    if (it != record.parts.end()) {
      depth = std::max(depth, static_cast<size_t>(it - record.parts.begin()));
    }
  }
  return depth;
}

void PoisonTracker::BlockGuilty(Instant now) {
  for (;;) {
    // The part latest in the prompt is blocked first, as it may explain the
    // crashes under the parts before it.
    std::optional<PromptPartId> chosen;
    size_t depth = 0;
    for (PromptPartId part : FrequentParts()) {
      if (IsGuilty(part, now) && (!chosen || DepthOf(part) > depth)) {
        chosen = part;
        depth = DepthOf(part);
      }
    }
    if (!chosen) {
      return;
    }
    Decide(*chosen, /*is_blocked=*/true, now + kBlockTime, now);
  }
}

void PoisonTracker::Decide(PromptPartId part, bool is_blocked, Instant until,
                           Instant now) {
  Verdict& verdict = verdicts_[part];
  ++verdict.generation;
  verdict.is_blocked = is_blocked;
  verdict.blocked_until = until;
  verdict.probes = 0;
  verdict.last_call = now;
  verdict.decided_at = now;
  changes_.push_back(part);
  EvictVerdicts();
}

void PoisonTracker::EvictVerdicts() {
  while (verdicts_.size() > kMaxVerdicts) {
    verdicts_.erase(std::min_element(
        verdicts_.begin(), verdicts_.end(), [](const auto& a, const auto& b) {
          return a.second.last_call < b.second.last_call;
        }));
  }
}

void PoisonTracker::Update(Instant now) {
  while (!crashed_calls_.empty() &&
         now - crashed_calls_.front().at > kEvidenceWindow) {
    crashed_calls_.pop_front();
  }
  if (!survivals_.empty()) {
    std::set<PromptPartId> recorded;
    for (const Record& record : crashed_calls_) {
      recorded.insert(record.parts.begin(), record.parts.end());
    }
    std::erase_if(survivals_,
                  [&](const auto& it) { return !recorded.contains(it.first); });
  }
  std::erase_if(verdicts_, [&](const auto& it) {
    return now - it.second.last_call > kForgetAfter;
  });
  BlockGuilty(now);
}

std::optional<BlockedPart> PoisonTracker::FindBlocked(
    const std::vector<PromptPartId>& parts, Instant now) {
  std::optional<BlockedPart> found;
  for (PromptPartId part : parts) {
    auto it = verdicts_.find(part);
    if (it == verdicts_.end() || !it->second.is_blocked) {
      continue;
    }
    Verdict& verdict = it->second;
    verdict.last_call = std::max(verdict.last_call, now);
    Micros left = std::max(Micros(0), verdict.blocked_until - now);
    if (found) {
      // A call with two blocked parts is no probe for either.
      found->is_probe_due = false;
      found->time_left = std::max(found->time_left, left);
      continue;
    }
    found = BlockedPart{part, left,
                        left == Micros(0) && verdict.probes < kMaxProbes};
  }
  return found;
}

void PoisonTracker::OnProbe(PromptPartId part, Instant now) {
  auto it = verdicts_.find(part);
  if (it == verdicts_.end()) {
    return;
  }
  ++it->second.generation;
  ++it->second.probes;
  it->second.blocked_until = now + kLongBlockTime;
}

bool PoisonTracker::IsSuspected(const std::vector<PromptPartId>& parts,
                                Instant now) const {
  for (size_t i = 0; i < parts.size(); ++i) {
    PartEvidence evidence = EvidenceOf(parts[i], now);
    // The first parts are in many calls, so that one crash says little.
    uint32_t needed = i + 1 == parts.size() ? 1 : 2;
    if (evidence.events >= needed && now - evidence.first > kEventSpan) {
      return true;
    }
  }
  return false;
}

void PoisonTracker::OnReport(const PoisonReport& report, Instant now) {
  for (const PartVerdict& verdict : report.verdicts) {
    ApplyVerdict(verdict, now);
  }
  for (const CrashedCall& call : report.crashed_calls) {
    bool is_known = std::any_of(
        crashed_calls_.begin(), crashed_calls_.end(), [&](const Record& it) {
          return it.crash == call.crash && it.parts == call.parts;
        });
    if (!is_known && call.age < kEvidenceWindow &&
        call.parts.size() <= kMaxSharedParts) {
      AddRecord({call.crash, call.upstream, now - call.age, call.parts,
                 /*is_own=*/false});
    }
  }
  for (const PartSurvival& survival : report.survivals) {
    Survival& known_survival = survivals_[survival.part];
    if (now - survival.age > known_survival.at) {
      known_survival = {now - survival.age, /*is_own=*/false};
    }
  }
  Update(now);
}

void PoisonTracker::ApplyVerdict(const PartVerdict& report, Instant now) {
  if (report.idle >= kForgetAfter) {
    return;
  }
  auto [it, is_new] = verdicts_.try_emplace(report.part);
  Verdict& verdict = it->second;
  Instant until = now + report.time_left;
  Instant last_call = now - report.idle;
  // A call that survived is proof, so it wins over a block of its generation.
  bool is_later = is_new || report.generation > verdict.generation ||
                  (report.generation == verdict.generation &&
                   verdict.is_blocked && !report.is_blocked);
  if (is_later) {
    if (is_new || verdict.is_blocked != report.is_blocked) {
      changes_.push_back(report.part);
      verdict.decided_at = now;
    }
    verdict.generation = report.generation;
    verdict.is_blocked = report.is_blocked;
    verdict.blocked_until = until;
    verdict.probes = report.probes;
  } else if (report.generation == verdict.generation &&
             report.is_blocked == verdict.is_blocked) {
    verdict.blocked_until = std::max(verdict.blocked_until, until);
    verdict.probes = std::max(verdict.probes, report.probes);
  }
  verdict.last_call =
      is_new ? last_call : std::max(verdict.last_call, last_call);
  EvictVerdicts();
}

PoisonReport PoisonTracker::MakeReport(Instant now) {
  Update(now);
  PoisonReport report;
  std::vector<std::pair<uint32_t, const Record*>> own;
  for (auto it = crashed_calls_.rbegin(); it != crashed_calls_.rend(); ++it) {
    if (it->is_own && now - it->at < kReportFor) {
      uint32_t most = 0;
      for (PromptPartId part : it->parts) {
        most = std::max(most, EvidenceOf(part, now).events);
      }
      own.emplace_back(most, &*it);
    }
  }
  std::stable_sort(own.begin(), own.end(), [](const auto& a, const auto& b) {
    return a.first > b.first;
  });
  own.resize(std::min(own.size(), kMaxReportedCalls));
  for (const auto& [events, record] : own) {
    report.crashed_calls.push_back(
        {record->crash, record->upstream, now - record->at, record->parts});
  }
  std::vector<PartSurvival> survivals;
  for (const auto& [part, survival] : survivals_) {
    if (survival.is_own) {
      survivals.push_back({part, now - survival.at});
    }
  }
  std::sort(survivals.begin(), survivals.end(),
            [](const auto& a, const auto& b) { return a.age < b.age; });
  survivals.resize(std::min(survivals.size(), kMaxReportedSurvivals));
  report.survivals = std::move(survivals);
  size_t n = std::min(verdicts_.size(), kMaxReportedVerdicts);
  for (size_t i = 0; i < n; ++i) {
    auto it =
        std::next(verdicts_.begin(),
                  static_cast<ptrdiff_t>(next_verdict_++ % verdicts_.size()));
    const Verdict& verdict = it->second;
    report.verdicts.push_back({it->first, verdict.generation,
                               verdict.is_blocked,
                               std::max(Micros(0), verdict.blocked_until - now),
                               verdict.probes, now - verdict.last_call});
  }
  return report;
}

std::vector<PartVerdict> PoisonTracker::TakeChanges(Instant now) {
  std::vector<PartVerdict> changes;
  for (PromptPartId part : changes_) {
    auto it = verdicts_.find(part);
    if (it != verdicts_.end()) {
      const Verdict& verdict = it->second;
      changes.push_back({part, verdict.generation, verdict.is_blocked,
                         std::max(Micros(0), verdict.blocked_until - now),
                         verdict.probes, now - verdict.last_call});
    }
  }
  changes_.clear();
  return changes;
}

}  // namespace basilvalve::flow
