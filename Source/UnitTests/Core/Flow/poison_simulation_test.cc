// Instances that share their evidence against prompt parts, played over virtual
// time with crashes of several causes.
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>

#include "Core/Common/random.h"
#include "Core/Flow/poison_tracker.h"

namespace basilvalve::flow {
namespace {

constexpr Instant kStart{Seconds(1000)};
constexpr Micros kStep{Millis(10)};

PromptPartId Part(uint64_t n) { return PromptPartId(n); }

// A kind of call: shared first parts, second parts of a skewed distribution.
struct Kind {
  uint64_t base;
  uint64_t first_parts;
  uint64_t second_parts;
  double calls_per_second;
  uint64_t second_step = 1;
};

constexpr Kind kReport{1000, 1, 171, 24};
constexpr Kind kExplain{5000, 8, 440, 94};

struct Play {
  size_t instances = 8;
  size_t upstreams = 60;
  size_t regions = 3;
  std::vector<Kind> kinds = {kReport, kExplain};
  // Deadly second parts, each with a share of its kind's calls.
  std::vector<std::pair<size_t, double>> deadly;
  double report_loss = 0;
  Micros report_delay{Millis(60)};
  // Region whose instances exchange no reports with the others.
  std::optional<size_t> cut_region;
  // Restarts without a crash, each of one upstream.
  Micros drain_every{0};
  // Crashes of single upstreams, from the same few of them.
  Micros flap_every{0};
  size_t flapping = 0;
  // Crashes of many upstreams at once: time, number.
  std::vector<std::pair<Micros, size_t>> mass_crashes;
  // Every call has parts of its own.
  bool has_unique_parts = false;
  // Instances that start later.
  size_t late_instances = 0;
  Micros late_start{Seconds(12)};
  Micros length{Seconds(22)};
};

struct Outcome {
  // Calls with a deadly part that reached upstreams later than this after the
  // fifth crash.
  size_t sent_late = 0;
  size_t crashes = 0;
  std::set<uint64_t> blocked;
  // When the last instance in touch blocked the first deadly part.
  std::optional<Instant> blocked_everywhere_at;
  // When the first instance had evidence of three events, or blocked earlier.
  std::optional<Instant> evidence_at;
  size_t largest_report = 0;
  size_t most_crashed_calls = 0;
  size_t most_verdicts = 0;
  size_t late_instances_without_verdict = 0;
};

constexpr Millis kStableWindow{3000};

// Instances with a tracker each, upstreams that crash, and reports that are
// lost and late.
class Simulation {
 public:
  Simulation(const Play& play, uint64_t seed)
      : play_(play),
        random_(seed),
        trackers_(play.instances),
        upstreams_(play.upstreams) {
    for (size_t i = 0; i < play.deadly.size(); ++i) {
      const Kind& kind = play.kinds[play.deadly[i].first];
      deadly_.push_back(Part(kind.base + 100 + kind.second_parts + i));
    }
  }

  Outcome Run() {
    for (now_ = kStart; now_ < kStart + play_.length; now_ += kStep) {
      Step();
    }
    for (size_t i = 0; i < trackers_.size(); ++i) {
      if (IsLate(i) && !deadly_.empty() &&
          !trackers_[i].FindBlocked({deadly_[0]}, now_)) {
        ++outcome_.late_instances_without_verdict;
      }
    }
    return outcome_;
  }

 private:
  struct Call {
    size_t instance;
    std::vector<PromptPartId> parts;
    bool is_deadly;
    Instant begins;
    bool is_retry;
  };
  struct UpstreamState {
    Instant up_at;
    std::vector<Call> calls;
  };
  struct Sent {
    Instant arrives;
    size_t to;
    PoisonReport report;
  };

  double Chance() {
    return static_cast<double>(random_.Below(1'000'000)) / 1e6;
  }
  bool IsLate(size_t i) const {
    return i + play_.late_instances >= play_.instances;
  }
  bool IsRunning(size_t i) const {
    return !IsLate(i) || now_ >= kStart + play_.late_start;
  }
  size_t RegionOf(size_t i) const { return i % play_.regions; }

  void Step() {
    for (const auto& [at, n] : play_.mass_crashes) {
      if (now_ - kStart >= at && now_ - kStart < at + kStep) {
        for (size_t i = 0; i < n; ++i) {
          Crash((i * 7 + static_cast<size_t>(at.count())) % upstreams_.size());
        }
      }
    }
    Micros elapsed = now_ - kStart;
    if (play_.flap_every > Micros(0) && elapsed % play_.flap_every < kStep) {
      Crash(random_.Below(std::max<size_t>(1, play_.flapping)));
    }
    if (play_.drain_every > Micros(0) && elapsed % play_.drain_every < kStep) {
      // Its calls end before it does, so that no crash is seen.
      UpstreamState& upstream =
          upstreams_[static_cast<size_t>(elapsed / play_.drain_every) %
                     upstreams_.size()];
      for (const Call& call : upstream.calls) {
        trackers_[call.instance].OnSurvival(call.parts, now_);
      }
      upstream.calls.clear();
      upstream.up_at = now_ + Seconds(3);
    }
    BeginAnswers();
    Arrive();
    Exchange();
    Measure();
  }

  void BeginAnswers() {
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      std::vector<Call> due;
      std::erase_if(upstreams_[i].calls, [&](const Call& call) {
        if (call.is_deadly || call.begins > now_) {
          return false;
        }
        due.push_back(call);
        return true;
      });
      for (const Call& call : due) {
        trackers_[call.instance].OnSurvival(call.parts, now_);
      }
      bool is_lost = std::any_of(
          upstreams_[i].calls.begin(), upstreams_[i].calls.end(),
          [&](const Call& it) { return it.is_deadly && it.begins <= now_; });
      if (is_lost) {
        ++outcome_.crashes;
        if (outcome_.crashes == 5) {
          fifth_crash_at_ = now_;
        }
        Crash(i);
      }
    }
  }

  void Crash(size_t i) {
    UpstreamState& upstream = upstreams_[i];
    if (upstream.up_at > now_) {
      return;
    }
    upstream.up_at = now_ + Millis(3000 + 10 * random_.Below(60));
    std::vector<Call> calls = std::exchange(upstream.calls, {});
    std::map<size_t, std::vector<std::vector<PromptPartId>>> by_instance;
    std::vector<Call> retried;
    for (const Call& call : calls) {
      by_instance[call.instance].push_back(call.parts);
      if (!call.is_retry &&
          !trackers_[call.instance].IsSuspected(call.parts, now_)) {
        retried.push_back(call);
      }
    }
    for (const auto& [instance, parts] : by_instance) {
      trackers_[instance].OnCrash(CrashId(++crash_), UpstreamShortId(i + 1),
                                  parts, now_);
    }
    for (Call& call : retried) {
      call.is_retry = true;
      Send(std::move(call));
    }
  }

  void Arrive() {
    for (size_t k = 0; k < play_.kinds.size(); ++k) {
      const Kind& kind = play_.kinds[k];
      double per_step =
          kind.calls_per_second * static_cast<double>(kStep.count()) / 1e6;
      due_[k] += per_step;
      while (due_[k] >= 1) {
        due_[k] -= 1;
        Arrive(k);
      }
    }
  }

  void Arrive(size_t k) {
    const Kind& kind = play_.kinds[k];
    uint64_t first = kind.base + random_.Below(kind.first_parts);
    // The lower numbers are asked for more often.
    double x = Chance();
    auto second =
        static_cast<uint64_t>(x * x * static_cast<double>(kind.second_parts));
    Call call{random_.Below(trackers_.size()),
              {Part(first), Part(kind.base + 100 + second)},
              false,
              now_,
              false};
    double roll = Chance();
    for (size_t i = 0; i < play_.deadly.size(); ++i) {
      if (play_.deadly[i].first != k) {
        continue;
      }
      if (roll < play_.deadly[i].second) {
        call.parts[1] = deadly_[i];
        call.is_deadly = true;
        break;
      }
      roll -= play_.deadly[i].second;
    }
    if (play_.has_unique_parts) {
      call.parts = {Part(1'000'000 + 2 * ++unique_),
                    Part(1'000'001 + 2 * unique_)};
    }
    while (!IsRunning(call.instance)) {
      call.instance = random_.Below(trackers_.size());
    }
    Send(std::move(call));
  }

  void Send(Call call) {
    if (trackers_[call.instance].FindBlocked(call.parts, now_)) {
      return;
    }
    std::vector<size_t> up;
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      if (upstreams_[i].up_at <= now_) {
        up.push_back(i);
      }
    }
    if (up.empty()) {
      return;
    }
    bool is_late = fifth_crash_at_ && now_ > *fifth_crash_at_ + kStableWindow;
    outcome_.sent_late += call.is_deadly && is_late ? 1 : 0;
    call.begins = now_ + Millis(50 + 10 * random_.Below(40));
    upstreams_[up[random_.Below(up.size())]].calls.push_back(std::move(call));
  }

  void Exchange() {
    for (size_t i = 0; i < trackers_.size(); ++i) {
      // Each instance at a time of its own.
      Micros phase = (now_ - kStart + Millis(13 * static_cast<int64_t>(i))) %
                     Micros(Millis(400));
      if (!IsRunning(i) || phase >= kStep) {
        continue;
      }
      PoisonReport report = trackers_[i].MakeReport(now_);
      outcome_.largest_report =
          std::max(outcome_.largest_report, report.crashed_calls.size() +
                                                report.survivals.size() +
                                                report.verdicts.size());
      for (size_t to = 0; to < trackers_.size() && !report.empty(); ++to) {
        bool is_cut = play_.cut_region && RegionOf(i) != RegionOf(to) &&
                      (RegionOf(i) == *play_.cut_region ||
                       RegionOf(to) == *play_.cut_region);
        if (to != i && !is_cut && Chance() >= play_.report_loss) {
          sent_.push_back({now_ + play_.report_delay, to, report});
        }
      }
    }
    std::erase_if(sent_, [&](const Sent& it) {
      if (it.arrives > now_) {
        return false;
      }
      if (IsRunning(it.to)) {
        trackers_[it.to].OnReport(it.report, now_);
      }
      return true;
    });
  }

  void Measure() {
    bool is_blocked_everywhere = !deadly_.empty();
    for (size_t i = 0; i < trackers_.size(); ++i) {
      PoisonTracker& tracker = trackers_[i];
      for (const PartVerdict& it : tracker.TakeChanges(now_)) {
        if (it.is_blocked) {
          outcome_.blocked.insert(it.part.value());
          known_blocked_[i].insert(it.part.value());
        }
      }
      outcome_.most_crashed_calls =
          std::max(outcome_.most_crashed_calls, tracker.crashed_calls());
      outcome_.most_verdicts =
          std::max(outcome_.most_verdicts, tracker.verdicts());
      if (IsRunning(i) && !IsLate(i) && !deadly_.empty()) {
        is_blocked_everywhere = is_blocked_everywhere &&
                                known_blocked_[i].contains(deadly_[0].value());
      }
      if (!deadly_.empty() && !outcome_.evidence_at &&
          (tracker.EvidenceOf(deadly_[0]).events >= 3 ||
           known_blocked_[i].contains(deadly_[0].value()))) {
        outcome_.evidence_at = now_;
      }
    }
    if (is_blocked_everywhere && !outcome_.blocked_everywhere_at) {
      outcome_.blocked_everywhere_at = now_;
    }
  }

 public:
  const std::vector<PromptPartId>& deadly() const { return deadly_; }
  std::optional<Instant> fifth_crash_at() const { return fifth_crash_at_; }

 private:
  Play play_;
  Random random_;
  std::vector<PoisonTracker> trackers_;
  std::vector<UpstreamState> upstreams_;
  std::vector<PromptPartId> deadly_;
  std::vector<Sent> sent_;
  std::map<size_t, std::set<uint64_t>> known_blocked_;
  std::map<size_t, double> due_;
  Instant now_;
  std::optional<Instant> fifth_crash_at_;
  uint64_t crash_ = 0;
  uint64_t unique_ = 0;
  Outcome outcome_;
};

// Guards against BUDGET: calls with a deadly part go on crashing upstreams.
TEST_CASE(
    "a part that crashes upstreams is blocked at all instances, and no other "
    "part") {
  struct Row {
    const char* name;
    Play play;
  };
  std::vector<Row> rows(9);
  rows[0] = {"deadly part alone", {}};
  rows[1] = {"of the frequent kind", {}};
  rows[2] = {"two at once", {}};
  rows[3] = {"rolling release", {}};
  rows[4] = {"reports lost and late", {}};
  rows[5] = {"few upstreams", {}};
  rows[6] = {"mass crash beside it", {}};
  rows[7] = {"an instance joins", {}};
  rows[8] = {"flapping upstreams beside it", {}};
  for (Row& row : rows) {
    row.play.deadly = {{0, 0.05}};
  }
  rows[1].play.deadly = {{1, 0.05}};
  rows[2].play.deadly = {{0, 0.05}, {0, 0.05}};
  rows[3].play.drain_every = Millis(400);
  rows[4].play.report_loss = 0.2;
  rows[4].play.report_delay = Millis(300);
  rows[5].play.upstreams = 18;
  rows[6].play.mass_crashes = {{Seconds(2), 20}};
  rows[7].play.late_instances = 2;
  rows[8].play.flap_every = Millis(1100);
  rows[8].play.flapping = 3;
  for (const Row& row : rows) {
    for (uint64_t seed = 1; seed <= 12; ++seed) {
      INFO(row.name << ", seed " << seed);
      Simulation simulation(row.play, seed);
      Outcome outcome = simulation.Run();
      REQUIRE(outcome.blocked_everywhere_at);
      REQUIRE(outcome.evidence_at);
      CHECK(*outcome.blocked_everywhere_at - *outcome.evidence_at <=
            Micros(Seconds(2)));
      if (simulation.fifth_crash_at()) {
        CHECK(*outcome.blocked_everywhere_at - *simulation.fifth_crash_at() <=
              Micros(Seconds(5)));
      }
      CHECK(outcome.sent_late <= 3);
      CHECK(outcome.late_instances_without_verdict == 0);
      std::set<uint64_t> deadly;
      for (PromptPartId part : simulation.deadly()) {
        deadly.insert(part.value());
      }
      CHECK(outcome.blocked == deadly);
    }
  }
}

// Guards against LOST: sound calls are refused because upstreams crashed.
TEST_CASE("crashes for other reasons block no part") {
  struct Row {
    const char* name;
    Play play;
  };
  std::vector<Row> rows(8);
  rows[0].name = "26 of 90 upstreams at once";
  rows[0].play.upstreams = 90;
  rows[0].play.mass_crashes = {{Seconds(2), 26}};
  rows[1].name = "52 of 90 in two steps";
  rows[1].play.upstreams = 90;
  rows[1].play.mass_crashes = {{Seconds(2), 26}, {Seconds(4), 26}};
  rows[2].name = "rolling release";
  rows[2].play.drain_every = Millis(300);
  rows[3].name = "flapping upstreams";
  rows[3].play.flap_every = Millis(700);
  rows[3].play.flapping = 4;
  rows[4].name = "single crashes everywhere";
  rows[4].play.flap_every = Millis(900);
  rows[4].play.flapping = 60;
  rows[5].name = "all upstreams down, twice, and cold returns";
  rows[5].play.mass_crashes = {{Seconds(2), 60}, {Seconds(8), 60}};
  rows[6].name = "every part new";
  rows[6].play.has_unique_parts = true;
  rows[6].play.flap_every = Millis(200);
  rows[6].play.flapping = 60;
  rows[7].name = "few calls, flapping upstreams";
  rows[7].play.kinds = {{1000, 1, 171, 4}, {5000, 8, 440, 6}};
  rows[7].play.flap_every = Millis(500);
  rows[7].play.flapping = 3;
  for (const Row& row : rows) {
    for (uint64_t seed = 1; seed <= 12; ++seed) {
      INFO(row.name << ", seed " << seed);
      Outcome outcome = Simulation(row.play, seed).Run();
      CHECK(outcome.blocked.empty());
    }
  }
}

// Guards against LOST: evidence without an age adds up against sound parts.
TEST_CASE("crashes for other reasons that go on for minutes block no part") {
  struct Row {
    const char* name;
    Play play;
  };
  std::vector<Row> rows(5);
  rows[0].name = "two thirds of the upstreams at once, every 20 s";
  rows[1].name = "all upstreams at once, every 20 s";
  for (int s = 2; s < 240; s += 20) {
    rows[0].play.mass_crashes.push_back({Seconds(s), 40});
    rows[1].play.mass_crashes.push_back({Seconds(s), 60});
  }
  rows[2].name = "flapping upstreams";
  rows[2].play.flap_every = Millis(700);
  rows[2].play.flapping = 4;
  rows[3].name = "single crashes everywhere, few calls";
  rows[3].play.kinds = {{1000, 1, 171, 2}, {5000, 8, 440, 6}};
  rows[3].play.flap_every = Millis(500);
  rows[3].play.flapping = 60;
  rows[4].name = "single crashes everywhere";
  rows[4].play.flap_every = Millis(200);
  rows[4].play.flapping = 60;
  for (Row& row : rows) {
    row.play.length = Seconds(240);
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      INFO(row.name << ", seed " << seed);
      Outcome outcome = Simulation(row.play, seed).Run();
      CHECK(outcome.blocked.empty());
    }
  }
}

TEST_CASE("a region that is cut off blocks a deadly part by itself") {
  Play play;
  play.kinds = {{1000, 1, 171, 48}, kExplain};
  play.deadly = {{0, 0.1}};
  play.cut_region = 2;
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    Simulation simulation(play, seed);
    Outcome outcome = simulation.Run();
    REQUIRE(outcome.blocked_everywhere_at);
    CHECK(outcome.blocked ==
          std::set<uint64_t>{simulation.deadly()[0].value()});
  }
}

TEST_CASE("memory and reports are bounded with 300 instances and new parts") {
  Play play;
  play.instances = 300;
  play.upstreams = 90;
  play.length = Seconds(6);
  play.has_unique_parts = true;
  play.flap_every = Millis(100);
  play.flapping = 90;
  Outcome outcome = Simulation(play, 1).Run();
  CHECK(outcome.blocked.empty());
  CHECK(outcome.most_crashed_calls <= 128);
  CHECK(outcome.most_verdicts <= 64);
  CHECK(outcome.largest_report <= 48);
}

}  // namespace
}  // namespace basilvalve::flow
