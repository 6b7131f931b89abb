// Finds prompt parts that crash upstreams and decides which calls are blocked.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Flow/upstream.h"

namespace basilvalve::flow {

using PromptPartId = StrongNumber<struct PromptPartIdTag>;
/// Identifies one crash of one upstream, as seen by one instance.
using CrashId = StrongNumber<struct CrashIdTag>;

/// Identifies an upstream in reports of crashes by its address, since it has
/// another id after a crash. Thread safe.
UpstreamShortId CrashSiteOf(const UpstreamRecord& upstream);

/// Ids of the parts that other calls may share: all but the last. Thread safe.
std::vector<PromptPartId> SharedPartsOf(const CallSize& size);

/// A call that had not got past its first events when its upstream crashed.
struct CrashedCall {
  CrashId crash;
  /// Its crash site.
  UpstreamShortId upstream;
  /// Time since the crash.
  Micros age{0};
  /// Its most suspicious shared parts, in the order of the prompt.
  std::vector<PromptPartId> parts;
};

/// When a call with a part of crashed calls last got past its first events.
struct PartSurvival {
  PromptPartId part;
  Micros age{0};
};

/// What is decided about a part.
struct PartVerdict {
  PromptPartId part;
  /// Raised by each decision; the highest one holds.
  uint32_t generation = 0;
  /// False once a call with the part has survived.
  bool is_blocked = true;
  /// Time until a call may be let through as a probe; zero if it is over.
  Micros time_left{0};
  /// Calls that were let through so far.
  uint32_t probes = 0;
  /// Time since a call with the part arrived at any instance.
  Micros idle{0};
};

/// What one instance tells the others about parts that crash upstreams.
struct PoisonReport {
  std::vector<CrashedCall> crashed_calls;
  std::vector<PartSurvival> survivals;
  std::vector<PartVerdict> verdicts;

  bool empty() const {
    return crashed_calls.empty() && survivals.empty() && verdicts.empty();
  }
};

/// Crashes that count against a part since a call with it last survived.
struct PartEvidence {
  /// Crashes within half a second of the first of them are one event.
  uint32_t events = 0;
  uint32_t upstreams = 0;
  Instant first;
};

/// A blocked part of a call.
struct BlockedPart {
  PromptPartId part;
  /// Until when calls with it are refused.
  Micros time_left{0};
  /// Whether one call may be let through now, by the instance elected for it.
  bool is_probe_due = false;
};

/// Collects the crashes of upstreams that calls of this and other instances
/// were lost in. Evidence has no age: a crash counts against a part until a
/// call with the part survives. Its memory is bounded by number, and the
/// weakest evidence is forgotten first. Not thread safe.
class PoisonTracker {
 public:
  /// Records that an upstream, given by its crash site, crashed while these
  /// calls, given by their shared parts, had not got past their first events.
  void OnCrash(CrashId crash, UpstreamShortId upstream,
               const std::vector<std::vector<PromptPartId>>& calls, Instant at);
  /// Records that a call with these shared parts got past its first events.
  void OnSurvival(const std::vector<PromptPartId>& parts, Instant now);
  /// Applies the report of another instance.
  void OnReport(const PoisonReport& report, Instant now);
  /// The report for other instances, of bounded size.
  PoisonReport MakeReport(Instant now);

  /// The blocked part of a call, if it has one; records that the call came.
  std::optional<BlockedPart> FindBlocked(const std::vector<PromptPartId>& parts,
                                         Instant now);
  /// Records that a call with a blocked part is let through as a probe. Blocks
  /// the part for longer unless the call survives.
  void OnProbe(PromptPartId part, Instant now);
  /// Whether a call of this kind was lost in an earlier crash and none has
  /// survived since, so that one more attempt might crash another upstream.
  bool IsSuspected(const std::vector<PromptPartId>& parts, Instant now) const;
  /// Whether calls with each of these parts have survived, and no upstream
  /// has crashed under one of them since.
  bool AreProven(const std::vector<PromptPartId>& parts) const;
  /// The evidence against a part.
  PartEvidence EvidenceOf(PromptPartId part) const;
  /// Parts that were blocked or cleared since the last call, for the log.
  std::vector<PartVerdict> TakeChanges(Instant now);
  /// Blocks parts on the evidence so far and forgets what counts against none.
  void Update(Instant now);
  /// Number of parts that are blocked.
  size_t blocked_parts() const;
  /// Number of verdicts and of crashed calls held.
  size_t verdicts() const { return verdicts_.size(); }
  size_t crashed_calls() const { return crashed_calls_.size(); }

 private:
  struct Record {
    CrashId crash;
    UpstreamShortId upstream;
    Instant at;
    std::vector<PromptPartId> parts;
    bool is_own = false;
  };
  struct Verdict {
    uint32_t generation = 0;
    bool is_blocked = true;
    Instant blocked_until;
    uint32_t probes = 0;
    Instant last_call;
    Instant decided_at;
  };
  struct BegunCall {
    Instant at;
    std::vector<PromptPartId> parts;
  };

  /// The parts of a crashed call that are recorded, in the order of the prompt.
  std::vector<PromptPartId> MostSuspicious(
      const std::vector<PromptPartId>& parts) const;
  void AddRecord(Record record);
  /// Forgets the weakest evidence beyond the bound.
  void Trim();
  /// Forgets crashes up to then that count against no part.
  void ForgetSettled(Instant until);
  void AddSurvival(PromptPartId part, Instant at);
  /// Since when crashes count against the part.
  Instant AccusedSince(PromptPartId part) const;
  bool IsBlocked(PromptPartId part) const;
  bool IsExplained(const Record& record, PromptPartId part) const;
  bool CountsAgainst(const Record& record, PromptPartId part) const;
  bool HasEnoughEvents(const PartEvidence& evidence) const;
  bool HasContrast(PromptPartId part, const PartEvidence& evidence) const;
  size_t BegunWithout(PromptPartId part, Instant since) const;
  std::set<PromptPartId> RecordedParts() const;
  /// The parts of more than one crashed call; a single one blocks no part.
  std::set<PromptPartId> RepeatedParts() const;
  size_t DepthOf(PromptPartId part) const;
  void BlockGuilty(Instant now);
  void Decide(PromptPartId part, bool is_blocked, Instant until, Instant now);
  void ApplyVerdict(const PartVerdict& report, Instant now);
  void EvictVerdicts();
  std::vector<const Record*> RecordsToReport(Instant now);

  // Oldest first.
  std::deque<Record> crashed_calls_;
  // When calls with the parts that came last survived, here or elsewhere.
  std::map<PromptPartId, Instant> survivals_;
  // Survivals that cleared a part of crashed calls, and until when they are
  // reported.
  std::map<PromptPartId, Instant> reported_survivals_;
  std::map<PromptPartId, Verdict> verdicts_;
  // The latest calls that got past their first events here.
  std::deque<BegunCall> begun_calls_;
  std::vector<PromptPartId> changes_;
  // Whether the evidence may suffice for a block that is not decided yet.
  bool needs_decision_ = false;
  size_t next_verdict_ = 0;
  // Reports in which there was an older crash to repeat.
  uint64_t reports_with_old_ = 0;
  Random random_{1};
};

}  // namespace basilvalve::flow
