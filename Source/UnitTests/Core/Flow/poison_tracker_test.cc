// Evidence, verdicts and probes of one prompt part.
#include "Core/Flow/poison_tracker.h"

#include <array>
#include <catch2/catch.hpp>

namespace basilvalve::flow {
namespace {

constexpr Instant kStart{Seconds(1000)};

PromptPartId Part(uint64_t n) { return PromptPartId(n); }

// Three crashes under part 2, which follows part 1, and sound calls beside
// them.
void CrashThrice(PoisonTracker* tracker, Instant* now) {
  for (uint64_t i = 1; i <= 3; ++i) {
    tracker->OnCrash(CrashId(i), UpstreamShortId(i), {{Part(1), Part(2)}},
                     *now);
    *now += Millis(700);
  }
  for (uint64_t other = 10; other <= 12; ++other) {
    tracker->OnSurvival({Part(1), Part(other)}, *now);
  }
  tracker->Update(*now);
}

PoisonTracker MakeBlocked(Instant* now) {
  PoisonTracker tracker;
  CrashThrice(&tracker, now);
  return tracker;
}

TEST_CASE("a blocked part gets two probes at most, then stays blocked") {
  Instant now = kStart;
  PoisonTracker tracker = MakeBlocked(&now);
  std::vector<PromptPartId> call = {Part(1), Part(2)};
  REQUIRE(tracker.FindBlocked(call, now));
  CHECK(tracker.FindBlocked(call, now)->part == Part(2));
  CHECK(tracker.FindBlocked(call, now)->time_left <= Micros(Seconds(60)));
  CHECK_FALSE(tracker.FindBlocked({Part(1), Part(10)}, now));
  int probes = 0;
  for (int s = 0; s < 4000; ++s, now += Seconds(1)) {
    auto blocked = tracker.FindBlocked(call, now);
    REQUIRE(blocked);
    if (blocked->is_probe_due) {
      tracker.OnProbe(blocked->part, now);
      ++probes;
    }
    tracker.Update(now);
  }
  CHECK(probes == 2);
}

TEST_CASE("a probe that survives clears the part everywhere") {
  Instant now = kStart;
  PoisonTracker tracker = MakeBlocked(&now);
  PoisonTracker other;
  other.OnReport(tracker.MakeReport(now), now);
  REQUIRE(other.FindBlocked({Part(2)}, now));
  now += Seconds(61);
  REQUIRE(tracker.FindBlocked({Part(2)}, now)->is_probe_due);
  tracker.OnProbe(Part(2), now);
  other.OnReport(tracker.MakeReport(now), now);
  CHECK_FALSE(other.FindBlocked({Part(2)}, now)->is_probe_due);
  tracker.OnSurvival({Part(1), Part(2)}, now);
  CHECK_FALSE(tracker.FindBlocked({Part(2)}, now));
  other.OnReport(tracker.MakeReport(now), now);
  CHECK_FALSE(other.FindBlocked({Part(2)}, now));
  // The older block of a third instance does not come back.
  PoisonTracker third = MakeBlocked(&now);
  other.OnReport(third.MakeReport(now), now);
  CHECK_FALSE(other.FindBlocked({Part(2)}, now));
}

// Guards against BUDGET: a part that comes again after a long time is new.
TEST_CASE("a block does not end because no call with the part comes") {
  Instant now = kStart;
  PoisonTracker first = MakeBlocked(&now);
  PoisonTracker second;
  for (int s = 0; s < 4000; ++s, now += Seconds(1)) {
    second.OnReport(first.MakeReport(now), now);
    first.OnReport(second.MakeReport(now), now);
  }
  for (PoisonTracker* tracker : {&first, &second}) {
    CHECK(tracker->verdicts() == 1);
    CHECK(tracker->FindBlocked({Part(1), Part(2)}, now));
  }
}

TEST_CASE("a cleared part is forgotten by all when no call with it comes") {
  Instant now = kStart;
  PoisonTracker first = MakeBlocked(&now);
  first.OnSurvival({Part(1), Part(2)}, now);
  PoisonTracker second;
  for (int s = 0; s < 610; ++s, now += Seconds(1)) {
    second.OnReport(first.MakeReport(now), now);
    first.OnReport(second.MakeReport(now), now);
  }
  CHECK(first.verdicts() == 0);
  CHECK(second.verdicts() == 0);
}

// Other calls that get past their first events.
void BeginOthers(PoisonTracker* tracker, Instant now) {
  for (uint64_t other = 0; other < 3; ++other) {
    tracker->OnSurvival({Part(50 + other), Part(60 + other)}, now);
  }
  tracker->Update(now);
}

void CrashUnder(PoisonTracker* tracker, uint64_t second, uint64_t upstream,
                Instant* now) {
  tracker->OnCrash(
      CrashId(static_cast<uint64_t>(now->time_since_epoch().count())),
      UpstreamShortId(upstream), {{Part(1), Part(second)}}, *now);
  *now += Millis(700);
}

TEST_CASE("no part is blocked while no other calls begin") {
  Instant now = kStart;
  PoisonTracker tracker;
  for (uint64_t i = 0; i < 5; ++i) {
    CrashUnder(&tracker, 2, i, &now);
  }
  CHECK_FALSE(tracker.FindBlocked({Part(1), Part(2)}, now));
  BeginOthers(&tracker, now);
  CHECK(tracker.FindBlocked({Part(1), Part(2)}, now)->part == Part(2));
}

TEST_CASE("an upstream that keeps crashing blocks its parts later") {
  Instant now = kStart;
  PoisonTracker tracker;
  for (int i = 0; i < 5; ++i) {
    CrashUnder(&tracker, 2, 1, &now);
  }
  BeginOthers(&tracker, now);
  CHECK_FALSE(tracker.FindBlocked({Part(2)}, now));
  CrashUnder(&tracker, 2, 1, &now);
  CHECK(tracker.FindBlocked({Part(2)}, now));
}

// Guards against LOST: an upstream with a new id after each crash looks like
// several, so that a sound part that affinity sends there is blocked.
TEST_CASE("an upstream that restarts under new ids blocks its parts later") {
  Instant now = kStart;
  PoisonTracker tracker;
  UpstreamRecord upstream;
  upstream.host = "10.0.0.1";
  upstream.port = 8000;
  for (uint64_t i = 1; i <= 5; ++i, now += Seconds(4)) {
    upstream.id = UpstreamId("u" + std::to_string(i));
    tracker.OnCrash(CrashId(i), CrashSiteOf(upstream), {{Part(1), Part(2)}},
                    now);
  }
  BeginOthers(&tracker, now);
  CHECK_FALSE(tracker.FindBlocked({Part(2)}, now));
  upstream.port = 8001;
  tracker.OnCrash(CrashId(6), CrashSiteOf(upstream), {{Part(1), Part(2)}}, now);
  CHECK(tracker.FindBlocked({Part(2)}, now));
}

TEST_CASE("a shared first part is not blamed for the parts that follow it") {
  Instant now = kStart;
  PoisonTracker tracker;
  uint64_t upstream = 0;
  for (uint64_t second : {2, 2, 2, 2, 3, 3, 3, 4, 4}) {
    CrashUnder(&tracker, second, ++upstream, &now);
    BeginOthers(&tracker, now);
  }
  CHECK(tracker.FindBlocked({Part(1), Part(2)}, now));
  CHECK(tracker.FindBlocked({Part(1), Part(3)}, now));
  CHECK_FALSE(tracker.FindBlocked({Part(1), Part(9)}, now));
  CHECK_FALSE(tracker.FindBlocked({Part(1), Part(4)}, now));
}

TEST_CASE("a shared first part is not blamed for two deadly ones at once") {
  Instant now = kStart;
  PoisonTracker tracker;
  uint64_t upstream = 0;
  for (uint64_t second : {2, 3, 2, 3}) {
    CrashUnder(&tracker, second, ++upstream, &now);
    BeginOthers(&tracker, now);
  }
  CHECK_FALSE(tracker.FindBlocked({Part(1), Part(9)}, now));
}

TEST_CASE("a deadly first part is blocked whatever follows it") {
  Instant now = kStart;
  PoisonTracker tracker;
  for (uint64_t i = 0; i < 3; ++i) {
    CrashUnder(&tracker, 10 + i, i, &now);
  }
  BeginOthers(&tracker, now);
  CHECK(tracker.FindBlocked({Part(1), Part(20)}, now)->part == Part(1));
}

TEST_CASE("a survived call wins over a probe of the same generation") {
  Instant now = kStart;
  PoisonTracker first = MakeBlocked(&now);
  PoisonTracker second;
  second.OnReport(first.MakeReport(now), now);
  now += Seconds(61);
  first.OnSurvival({Part(1), Part(2)}, now);
  second.OnProbe(Part(2), now);
  PoisonReport from_first = first.MakeReport(now);
  first.OnReport(second.MakeReport(now), now);
  second.OnReport(from_first, now);
  CHECK_FALSE(first.FindBlocked({Part(2)}, now));
  CHECK_FALSE(second.FindBlocked({Part(2)}, now));
}

TEST_CASE("a part that was sound before and is deadly now is blocked") {
  Instant now = kStart;
  PoisonTracker tracker;
  tracker.OnCrash(CrashId(100), UpstreamShortId(9), {{Part(1), Part(2)}}, now);
  for (int i = 0; i < 20; ++i, now += Millis(50)) {
    tracker.OnSurvival({Part(1), Part(2)}, now);
  }
  tracker.Update(now);
  CHECK_FALSE(tracker.FindBlocked({Part(2)}, now));
  CrashThrice(&tracker, &now);
  CHECK(tracker.FindBlocked({Part(2)}, now));
}

// Guards against BUDGET: an instance that has just started takes no notice of
// crashes before its clock began.
TEST_CASE("crashes from before the clock of an instance count") {
  Instant now{Seconds(20)};
  PoisonTracker tracker;
  PoisonReport report;
  for (uint64_t i = 1; i <= 3; ++i) {
    report.crashed_calls.push_back(
        {CrashId(i), UpstreamShortId(i), Seconds(600 * i), {Part(1), Part(2)}});
  }
  tracker.OnReport(report, now);
  BeginOthers(&tracker, now);
  CHECK(tracker.FindBlocked({Part(2)}, now));
}

// Guards against BUDGET: a report holds 20 crashes, and always the same ones.
TEST_CASE("each instance learns each of many crashes at once") {
  Instant now = kStart;
  PoisonTracker tracker;
  for (uint64_t i = 0; i < 40; ++i) {
    tracker.OnCrash(CrashId(i), UpstreamShortId(i), {{Part(1), Part(10 + i)}},
                    now);
  }
  // Reports go to two instances in turn.
  std::array<PoisonTracker, 2> others;
  for (int i = 0; i < 28; ++i, now += Millis(100)) {
    others[i % 2].OnReport(tracker.MakeReport(now), now);
  }
  CHECK(others[0].crashed_calls() == 40);
  CHECK(others[1].crashed_calls() == 40);
}

// Guards against LOST: crashes that a survival cleared count again.
TEST_CASE("a survival is kept as long as the crash that it clears") {
  Instant now = kStart;
  PoisonTracker tracker;
  tracker.OnCrash(CrashId(1), UpstreamShortId(1), {{Part(1), Part(2)}}, now);
  tracker.OnSurvival({Part(1)}, now + Millis(1));
  for (uint64_t i = 0; i < 5000; ++i) {
    tracker.OnSurvival({Part(100 + i)}, now + Millis(2 + i));
  }
  CHECK(tracker.EvidenceOf(Part(1)).events == 0);
  CHECK(tracker.EvidenceOf(Part(2)).events == 1);
}

// Calls with `n` shared parts, of which only the deadly ones never survive.
std::vector<PromptPartId> LongPrompt(uint64_t n, uint64_t deadly,
                                     size_t position) {
  std::vector<PromptPartId> parts;
  for (uint64_t i = 0; i < n; ++i) {
    parts.push_back(Part(1000 + i));
  }
  parts[position] = Part(deadly);
  return parts;
}

TEST_CASE("two deadly parts of long prompts are blocked, sound ones are not") {
  Instant now = kStart;
  PoisonTracker tracker;
  for (uint64_t i = 1; i <= 4; ++i) {
    for (auto [deadly, position] : {std::pair{7, 0}, std::pair{8, 20}}) {
      for (uint64_t other = 0; other < 4; ++other) {
        tracker.OnSurvival(LongPrompt(40, 50 + other, other), now);
      }
      now += Millis(700);
      tracker.OnCrash(CrashId(i * 10 + deadly), UpstreamShortId(i),
                      {LongPrompt(40, deadly, position)}, now);
      now += Millis(700);
    }
  }
  for (uint64_t other = 0; other < 4; ++other) {
    tracker.OnSurvival(LongPrompt(40, 50 + other, other), now);
  }
  tracker.Update(now);
  CHECK(tracker.FindBlocked(LongPrompt(40, 7, 0), now)->part == Part(7));
  CHECK(tracker.FindBlocked(LongPrompt(40, 8, 20), now)->part == Part(8));
  CHECK_FALSE(tracker.FindBlocked(LongPrompt(40, 50, 0), now));
  CHECK(tracker.blocked_parts() == 2);
}

// Guards against silent cuts: what is beyond a bound counts as proven.
TEST_CASE("parts beyond the bound of a call are not proven by it") {
  Instant now = kStart;
  PoisonTracker tracker;
  std::vector<PromptPartId> stable = {Part(1), Part(2)};
  tracker.OnSurvival(stable, now);
  std::vector<PromptPartId> huge = LongPrompt(5000, 7, 0);
  tracker.OnSurvival(huge, now);
  CHECK_FALSE(tracker.AreProven(huge));
  CHECK(tracker.AreProven(stable));
}

TEST_CASE("the reports of calls with many parts are bounded") {
  Instant now = kStart;
  PoisonTracker tracker;
  for (uint64_t i = 0; i < 40; ++i) {
    std::vector<PromptPartId> parts = LongPrompt(300, 7, 299);
    for (uint64_t n = 0; n < 299; ++n) {
      parts[n] = Part(10'000 + 1000 * i + n);
    }
    tracker.OnCrash(CrashId(i), UpstreamShortId(i), {parts}, now);
    now += Millis(10);
  }
  size_t reported = 0;
  for (const CrashedCall& call : tracker.MakeReport(now).crashed_calls) {
    reported += call.parts.size();
  }
  CHECK(reported > 0);
  CHECK(reported <= 80);
}

TEST_CASE("a call is suspected after an earlier crash, until one survives") {
  Instant now = kStart;
  PoisonTracker tracker;
  std::vector<PromptPartId> call = {Part(1), Part(2)};
  tracker.OnCrash(CrashId(1), UpstreamShortId(1), {call}, now);
  CHECK_FALSE(tracker.IsSuspected(call, now + Millis(300)));
  now += Millis(900);
  CHECK(tracker.IsSuspected(call, now));
  CHECK_FALSE(tracker.IsSuspected({Part(1), Part(3)}, now));
  tracker.OnSurvival(call, now);
  CHECK_FALSE(tracker.IsSuspected(call, now + Millis(10)));
}

TEST_CASE("the last part of a prompt is never held against a call") {
  CallSize size;
  CHECK(SharedPartsOf(size).empty());
  size.parts = {{1, 10}};
  CHECK(SharedPartsOf(size).empty());
  size.parts = {{1, 10}, {2, 10}, {3, 10}};
  CHECK(SharedPartsOf(size) == std::vector<PromptPartId>{Part(1), Part(2)});
  size.parts.resize(10, {4, 10});
  CHECK(SharedPartsOf(size).size() == 9);
}

}  // namespace
}  // namespace basilvalve::flow
