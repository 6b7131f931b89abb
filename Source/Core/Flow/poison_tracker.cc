#include "Core/Flow/poison_tracker.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <tuple>

#include "Core/Common/hash.h"

namespace basilvalve::flow {
namespace {

// One cause, such as a lost machine, may end several upstreams at once.
constexpr Millis kEventSpan{500};
constexpr uint32_t kEventsToBlock = 3;
// An upstream that keeps crashing by itself also crashes under one part, which
// affinity sends there again and again.
constexpr uint32_t kEventsToBlockOnOneUpstream = 6;
// Two events are enough if this many upstreams crashed in them.
constexpr uint32_t kManyUpstreams = 5;
// Calls without the part that must have got past their first events meanwhile.
constexpr size_t kMinBegunWithout = 3;
constexpr size_t kMinBegunWithoutForTwoEvents = 10;
constexpr Millis kBlockTime{60'000};
constexpr Millis kLongBlockTime{600'000};
constexpr uint32_t kMaxProbes = 2;
// How long a cleared part is reported, so that no older block of it comes back.
constexpr Millis kForgetClearedAfter{600'000};
// How long a crash is reported: several heartbeats, as some are lost.
constexpr Millis kReportFor{3000};
// One report in so many repeats an older crash, for instances that joined.
constexpr uint64_t kReportsPerOldCrash = 4;

// Parts of one crashed call that are recorded.
constexpr size_t kMaxRecordedParts = 16;
// A call with more shared parts proves only those that are under evidence, so
// that it cannot displace what others have proven.
constexpr size_t kMaxProvenParts = 256;
constexpr size_t kMaxCallsPerCrash = 8;
constexpr size_t kMaxCrashedCalls = 128;
constexpr size_t kMaxSurvivals = 8192;
constexpr size_t kMaxVerdicts = 64;
constexpr size_t kMaxBegunCalls = 32;
constexpr size_t kMaxReportedCalls = 20;
// In all of them together.
constexpr size_t kMaxReportedParts = 80;
// Of these, the ones with most evidence are in each report.
constexpr size_t kMaxCallsInEachReport = 10;
constexpr size_t kMaxReportedSurvivals = 12;
constexpr size_t kMaxReportedVerdicts = 16;

bool Contains(const std::vector<PromptPartId>& parts, PromptPartId part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

}  // namespace

UpstreamShortId CrashSiteOf(const UpstreamRecord& upstream) {
  return ShortIdOf(
      UpstreamId(upstream.host + ":" + std::to_string(upstream.port)));
}

std::vector<PromptPartId> SharedPartsOf(const CallSize& size) {
  std::vector<PromptPartId> parts;
  for (size_t i = 0; i + 1 < size.parts.size(); ++i) {
    parts.emplace_back(size.parts[i].id);
  }
  return parts;
}

void PoisonTracker::OnCrash(CrashId crash, UpstreamShortId upstream,
                            const std::vector<std::vector<PromptPartId>>& calls,
                            Instant at) {
  // Those with parts that are under evidence already are kept first, then those
  // with parts that no call has survived.
  std::set<PromptPartId> recorded = RecordedParts();
  std::vector<std::tuple<uint32_t, size_t, size_t>> order;
  for (size_t i = 0; i < calls.size(); ++i) {
    uint32_t most = 0;
    size_t unproven = 0;
    for (PromptPartId part : calls[i]) {
      if (recorded.contains(part)) {
        most = std::max(most, EvidenceOf(part).events);
      }
      unproven += survivals_.contains(part) ? 0 : 1;
    }
    order.emplace_back(most, unproven, i);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) {
                     return std::tie(std::get<0>(a), std::get<1>(a)) >
                            std::tie(std::get<0>(b), std::get<1>(b));
                   });
  order.resize(std::min(order.size(), kMaxCallsPerCrash));
  for (const auto& [events, unproven, i] : order) {
    AddRecord({crash, upstream, at, MostSuspicious(calls[i]),
               /*is_own=*/true});
  }
  Trim();
  Update(at);
}

std::vector<PromptPartId> PoisonTracker::MostSuspicious(
    const std::vector<PromptPartId>& parts) const {
  if (parts.size() <= kMaxRecordedParts) {
    return parts;
  }
  // Most evidence first, then those that no call has survived for longest. Of
  // the rest, all instances choose the same ones.
  std::set<PromptPartId> recorded = RecordedParts();
  std::vector<std::tuple<uint32_t, Instant, uint64_t, size_t>> order;
  for (size_t i = 0; i < parts.size(); ++i) {
    uint32_t events =
        recorded.contains(parts[i]) ? EvidenceOf(parts[i]).events : 0;
    auto survival = survivals_.find(parts[i]);
    order.emplace_back(
        std::numeric_limits<uint32_t>::max() - events,
        survival == survivals_.end() ? Instant::min() : survival->second,
        Hash64("part", parts[i].value()), i);
  }
  std::partial_sort(
      order.begin(),
      order.begin() + static_cast<std::ptrdiff_t>(kMaxRecordedParts),
      order.end());
  std::vector<size_t> chosen;
  for (size_t n = 0; n < kMaxRecordedParts; ++n) {
    chosen.push_back(std::get<3>(order[n]));
  }
  std::sort(chosen.begin(), chosen.end());
  std::vector<PromptPartId> suspicious;
  for (size_t i : chosen) {
    suspicious.push_back(parts[i]);
  }
  return suspicious;
}

void PoisonTracker::AddRecord(Record record) {
  if (record.parts.empty()) {
    return;
  }
  auto at = std::upper_bound(
      crashed_calls_.begin(), crashed_calls_.end(), record.at,
      [](Instant time, const Record& it) { return time < it.at; });
  crashed_calls_.insert(at, std::move(record));
  needs_decision_ = true;
}

void PoisonTracker::Trim() {
  if (crashed_calls_.size() <= kMaxCrashedCalls) {
    return;
  }
  ForgetSettled(/*until=*/crashed_calls_.back().at);
  // Crashes against each part, and calls of each crash: one of many calls says
  // little about each of them.
  std::map<PromptPartId, std::set<CrashId>> crashes;
  std::map<CrashId, size_t> calls;
  for (const Record& record : crashed_calls_) {
    ++calls[record.crash];
    for (PromptPartId part : record.parts) {
      if (CountsAgainst(record, part)) {
        crashes[part].insert(record.crash);
      }
    }
  }
  // Most crashes against a part first, then fewest calls lost with it, then
  // the latest.
  std::vector<std::tuple<size_t, int64_t, Instant, size_t>> order;
  for (size_t i = 0; i < crashed_calls_.size(); ++i) {
    const Record& record = crashed_calls_[i];
    size_t most = 0;
    for (PromptPartId part : record.parts) {
      auto it = crashes.find(part);
      most = std::max(most, it == crashes.end() ? 0 : it->second.size());
    }
    order.emplace_back(most, -static_cast<int64_t>(calls[record.crash]),
                       record.at, i);
  }
  std::sort(order.begin(), order.end(), std::greater<>());
  order.resize(std::min(order.size(), kMaxCrashedCalls));
  std::vector<size_t> kept;
  for (const auto& row : order) {
    kept.push_back(std::get<3>(row));
  }
  std::sort(kept.begin(), kept.end());
  std::deque<Record> records;
  for (size_t i : kept) {
    records.push_back(std::move(crashed_calls_[i]));
  }
  crashed_calls_ = std::move(records);
}

void PoisonTracker::ForgetSettled(Instant until) {
  std::erase_if(crashed_calls_, [&](const Record& record) {
    return record.at <= until &&
           std::none_of(
               record.parts.begin(), record.parts.end(),
               [&](PromptPartId part) { return CountsAgainst(record, part); });
  });
}

void PoisonTracker::OnSurvival(const std::vector<PromptPartId>& parts,
                               Instant now) {
  begun_calls_.push_back({now, parts});
  if (begun_calls_.size() > kMaxBegunCalls) {
    begun_calls_.pop_front();
  }
  std::set<PromptPartId> recorded = RecordedParts();
  for (PromptPartId part : parts) {
    bool is_recorded = recorded.contains(part);
    if (is_recorded) {
      reported_survivals_[part] = now + kReportFor;
    }
    if (is_recorded || parts.size() <= kMaxProvenParts) {
      AddSurvival(part, now);
    }
    if (IsBlocked(part)) {
      Decide(part, /*is_blocked=*/false, now, now);
    }
  }
}

void PoisonTracker::AddSurvival(PromptPartId part, Instant at) {
  Instant& latest = survivals_.try_emplace(part, at).first->second;
  latest = std::max(latest, at);
  if (survivals_.size() <= kMaxSurvivals) {
    return;
  }
  // The older half at once, as each time costs a pass over all. The crashes
  // that a survival cleared would count again without it.
  std::set<PromptPartId> recorded = RecordedParts();
  std::vector<Instant> times;
  for (const auto& [survivor, time] : survivals_) {
    times.push_back(time);
  }
  auto middle = times.begin() + static_cast<ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(survivals_, [&](const auto& it) {
    return it.second <= *middle && !recorded.contains(it.first);
  });
}

Instant PoisonTracker::AccusedSince(PromptPartId part) const {
  // A crash that a neighbour remembers may be older than this instance's clock.
  Instant since = Instant::min();
  if (auto it = survivals_.find(part); it != survivals_.end()) {
    since = it->second;
  }
  if (auto it = verdicts_.find(part);
      it != verdicts_.end() && !it->second.is_blocked) {
    since = std::max(since, it->second.decided_at);
  }
  return since;
}

bool PoisonTracker::CountsAgainst(const Record& record,
                                  PromptPartId part) const {
  return record.at > AccusedSince(part) && !IsExplained(record, part);
}

PartEvidence PoisonTracker::EvidenceOf(PromptPartId part) const {
  Instant since = AccusedSince(part);
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
    // A part that calls have survived since is no other cause.
    auto next = std::find_if(
        std::next(it), record.parts.end(),
        [&](PromptPartId later) { return record.at > AccusedSince(later); });
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

bool PoisonTracker::HasEnoughEvents(const PartEvidence& evidence) const {
  if (evidence.upstreams == 1) {
    return evidence.events >= kEventsToBlockOnOneUpstream;
  }
  return evidence.events >= kEventsToBlock ||
         (evidence.events == 2 && evidence.upstreams >= kManyUpstreams);
}

bool PoisonTracker::HasContrast(PromptPartId part,
                                const PartEvidence& evidence) const {
  size_t needed = evidence.events < kEventsToBlock
                      ? kMinBegunWithoutForTwoEvents
                      : kMinBegunWithout;
  return BegunWithout(part, evidence.first) >= needed;
}

std::set<PromptPartId> PoisonTracker::RecordedParts() const {
  std::set<PromptPartId> parts;
  for (const Record& record : crashed_calls_) {
    parts.insert(record.parts.begin(), record.parts.end());
  }
  return parts;
}

std::set<PromptPartId> PoisonTracker::RepeatedParts() const {
  std::set<PromptPartId> seen;
  std::set<PromptPartId> repeated;
  for (const Record& record : crashed_calls_) {
    for (PromptPartId part : record.parts) {
      if (!seen.insert(part).second) {
        repeated.insert(part);
      }
    }
  }
  return repeated;
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
  while (needs_decision_) {
    needs_decision_ = false;
    // The part latest in the prompt is blocked first, as it may explain the
    // crashes under the parts before it.
    std::optional<PromptPartId> chosen;
    size_t depth = 0;
    for (PromptPartId part : RepeatedParts()) {
      PartEvidence evidence = EvidenceOf(part);
      if (IsBlocked(part) || !HasEnoughEvents(evidence)) {
        continue;
      }
      needs_decision_ = true;
      if (HasContrast(part, evidence) && (!chosen || DepthOf(part) > depth)) {
        chosen = part;
        depth = DepthOf(part);
      }
    }
    if (!chosen) {
      return;
    }
    uint32_t upstreams = EvidenceOf(*chosen).upstreams;
    Decide(*chosen, /*is_blocked=*/true, now + kBlockTime, now);
    // The more upstreams crashed, the fewer are risked.
    verdicts_[*chosen].probes = upstreams >= kManyUpstreams ? 1 : 0;
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
  needs_decision_ = true;
  EvictVerdicts();
}

void PoisonTracker::EvictVerdicts() {
  while (verdicts_.size() > kMaxVerdicts) {
    // Cleared parts first.
    verdicts_.erase(std::min_element(
        verdicts_.begin(), verdicts_.end(), [](const auto& a, const auto& b) {
          return std::pair(a.second.is_blocked, a.second.last_call) <
                 std::pair(b.second.is_blocked, b.second.last_call);
        }));
  }
}

void PoisonTracker::Update(Instant now) {
  std::erase_if(verdicts_, [&](const auto& it) {
    return !it.second.is_blocked &&
           now - it.second.last_call > kForgetClearedAfter;
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
    PartEvidence evidence = EvidenceOf(parts[i]);
    // The first parts are in many calls, so that one crash says little.
    uint32_t needed = i + 1 == parts.size() ? 1 : 2;
    if (evidence.events >= needed && now - evidence.first > kEventSpan) {
      return true;
    }
  }
  return false;
}

bool PoisonTracker::AreProven(const std::vector<PromptPartId>& parts) const {
  return std::all_of(parts.begin(), parts.end(), [&](PromptPartId part) {
    return survivals_.contains(part) && EvidenceOf(part).events == 0;
  });
}

void PoisonTracker::OnReport(const PoisonReport& report, Instant now) {
  for (const PartVerdict& verdict : report.verdicts) {
    ApplyVerdict(verdict, now);
  }
  for (const PartSurvival& survival : report.survivals) {
    AddSurvival(survival.part, now - survival.age);
  }
  for (const CrashedCall& call : report.crashed_calls) {
    bool is_known = std::any_of(
        crashed_calls_.begin(), crashed_calls_.end(), [&](const Record& it) {
          return it.crash == call.crash && it.parts == call.parts;
        });
    if (is_known || call.parts.size() > kMaxRecordedParts) {
      continue;
    }
    Record record{call.crash, call.upstream, now - call.age, call.parts,
                  /*is_own=*/false};
    for (PromptPartId part : call.parts) {
      // The sender has missed a survival.
      auto it = survivals_.find(part);
      if (it != survivals_.end() && it->second > record.at) {
        reported_survivals_[part] = now + kReportFor;
      }
    }
    AddRecord(std::move(record));
  }
  Trim();
  Update(now);
}

void PoisonTracker::ApplyVerdict(const PartVerdict& report, Instant now) {
  if (!report.is_blocked && report.idle >= kForgetClearedAfter) {
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
      needs_decision_ = true;
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

std::vector<const PoisonTracker::Record*> PoisonTracker::RecordsToReport(
    Instant now) {
  std::vector<std::pair<uint32_t, const Record*>> fresh;
  std::vector<const Record*> old;
  for (const Record& record : crashed_calls_) {
    if (!record.is_own || now - record.at >= kReportFor) {
      old.push_back(&record);
      continue;
    }
    uint32_t most = 0;
    for (PromptPartId part : record.parts) {
      most = std::max(most, EvidenceOf(part).events);
    }
    fresh.emplace_back(most, &record);
  }
  std::stable_sort(
      fresh.begin(), fresh.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  // Reports go to different instances in turn, so that a fixed order could
  // leave out the same crashes at the same instances again and again.
  for (size_t i = kMaxCallsInEachReport;
       i < std::min(kMaxReportedCalls, fresh.size()); ++i) {
    std::swap(fresh[i], fresh[i + random_.Below(fresh.size() - i)]);
  }
  fresh.resize(std::min(fresh.size(), kMaxReportedCalls));
  std::vector<const Record*> records;
  size_t parts = 0;
  auto add = [&](const Record* record) {
    if (parts + record->parts.size() <= kMaxReportedParts) {
      parts += record->parts.size();
      records.push_back(record);
    }
  };
  for (const auto& [events, record] : fresh) {
    add(record);
  }
  if (!old.empty() && records.size() < kMaxReportedCalls &&
      ++reports_with_old_ % kReportsPerOldCrash == 0) {
    add(old[random_.Below(old.size())]);
  }
  return records;
}

PoisonReport PoisonTracker::MakeReport(Instant now) {
  ForgetSettled(now - kReportFor);
  Update(now);
  PoisonReport report;
  for (const Record* record : RecordsToReport(now)) {
    report.crashed_calls.push_back(
        {record->crash, record->upstream, now - record->at, record->parts});
  }
  std::vector<PartSurvival> survivals;
  std::erase_if(reported_survivals_,
                [&](const auto& it) { return it.second < now; });
  for (const auto& [part, until] : reported_survivals_) {
    if (auto it = survivals_.find(part); it != survivals_.end()) {
      survivals.push_back({part, now - it->second});
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
