// Prompt parts that crash upstreams and come seldom, played over virtual time.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

#include "Core/Common/random.h"
#include "Core/Flow/poison_tracker.h"

namespace basilvalve::flow {
namespace {

constexpr Instant kStart{Seconds(1000)};
constexpr Micros kStableWindow{Seconds(5)};
// Calls with a deadly part that may reach upstreams after that.
constexpr size_t kMaxLateSends = 3;
constexpr size_t kInstances = 8;

PromptPartId Part(uint64_t n) { return PromptPartId(n); }

struct Play {
  const char* name;
  /// Between two calls with a deadly part.
  Micros gap{Seconds(15)};
  /// Distance of the instances that they come to, one after the other.
  size_t stride = 3;
  /// Deadly parts that come in turn.
  size_t deadly_parts = 1;
  bool is_first_part = false;
  /// The caller's second try comes to another instance.
  bool retries_elsewhere = false;
  /// Calls with a deadly part that come at the same time at first.
  size_t burst = 1;
  /// Other crashes, of upstreams with many calls whose parts are all new.
  bool has_other_crashes = false;
  /// One instance restarts every ten seconds.
  bool has_restarts = false;
};

struct Outcome {
  std::map<PromptPartId, std::vector<Instant>> sends;
  std::map<PromptPartId, std::vector<Instant>> crashes;
  std::set<PromptPartId> wrongly_blocked;
  size_t sound_calls = 0;
  size_t refused_sound_calls = 0;

  /// Sends later than the stable window after the part's fifth crash.
  size_t LateSends(PromptPartId part) const {
    const std::vector<Instant>& times = crashes.at(part);
    if (times.size() < 5) {
      return 0;
    }
    const std::vector<Instant>& sent = sends.at(part);
    return static_cast<size_t>(std::count_if(
        sent.begin(), sent.end(),
        [&](Instant at) { return at > times[4] + kStableWindow; }));
  }
};

// Instances that exchange reports, and one caller that tries twice.
class Fleet {
 public:
  Fleet(const Play& play, uint64_t seed)
      : play_(play), random_(seed), trackers_(kInstances) {
    for (size_t i = 0; i < play.deadly_parts; ++i) {
      deadly_.push_back(Part(900 + i));
      outcome_.sends[deadly_[i]] = {};
      outcome_.crashes[deadly_[i]] = {};
    }
  }

  Outcome Run(size_t requests) {
    Advance(Seconds(3));
    for (size_t i = 0; i < play_.burst; ++i) {
      Request(i);
    }
    for (size_t i = play_.burst; i < play_.burst + requests; ++i) {
      Advance(play_.gap);
      Request(i);
    }
    // Long after, when probes are due.
    for (size_t i = 0; i < 6; ++i) {
      Advance(Seconds(700));
      Request(i * 5);
    }
    return outcome_;
  }

  const std::vector<PromptPartId>& deadly() const { return deadly_; }

 private:
  std::vector<PromptPartId> SoundParts() {
    return {Part(1 + random_.Below(3)), Part(100 + random_.Below(152))};
  }

  void Advance(Micros length) {
    Instant until = now_ + length;
    Instant fine_until = now_ + Seconds(5);
    while (now_ < until) {
      // Coarser steps once all reports of the last crash are out.
      Micros coarse = play_.has_restarts ? Seconds(1) : Seconds(10);
      Micros step = now_ < fine_until ? Micros(Millis(200)) : coarse;
      now_ = std::min(until, now_ + step);
      if (play_.has_restarts && now_ >= restart_at_) {
        restart_at_ = now_ + Seconds(10);
        trackers_[restarts_++ % kInstances] = PoisonTracker();
      }
      if (play_.has_other_crashes) {
        std::vector<std::vector<PromptPartId>> calls;
        for (int i = 0; i < 12; ++i) {
          calls.push_back({Part(1), Part(++next_new_part_)});
        }
        Crash(random_.Below(kInstances), calls);
      }
      SoundCalls();
      Exchange();
    }
  }

  void SoundCalls() {
    for (PoisonTracker& tracker : trackers_) {
      for (int i = 0; i < 3; ++i) {
        std::vector<PromptPartId> parts = SoundParts();
        ++outcome_.sound_calls;
        if (tracker.FindBlocked(parts, now_)) {
          ++outcome_.refused_sound_calls;
        } else {
          tracker.OnSurvival(parts, now_);
        }
      }
    }
  }

  void Exchange() {
    for (size_t i = 0; i < kInstances; ++i) {
      PoisonReport report = trackers_[i].MakeReport(now_);
      for (size_t to = 0; to < kInstances; ++to) {
        if (to != i) {
          trackers_[to].OnReport(report, now_);
        }
      }
    }
    for (PoisonTracker& tracker : trackers_) {
      for (const PartVerdict& it : tracker.TakeChanges(now_)) {
        if (it.is_blocked && std::find(deadly_.begin(), deadly_.end(),
                                       it.part) == deadly_.end()) {
          outcome_.wrongly_blocked.insert(it.part);
        }
      }
    }
  }

  void Request(size_t n) {
    PromptPartId deadly = deadly_[n % deadly_.size()];
    std::vector<PromptPartId> parts = SoundParts();
    parts[play_.is_first_part ? 0 : 1] = deadly;
    for (size_t attempt = 0; attempt < 2; ++attempt) {
      size_t shift = attempt > 0 && play_.retries_elsewhere ? 1 : 0;
      if (!Try((n * play_.stride + shift) % kInstances, deadly, parts)) {
        return;
      }
    }
  }

  // Whether the call failed, so that the caller tries again.
  bool Try(size_t instance, PromptPartId deadly,
           const std::vector<PromptPartId>& parts) {
    PoisonTracker& tracker = trackers_[instance];
    for (size_t send = 0; send < 2; ++send) {
      auto blocked = tracker.FindBlocked(parts, now_);
      // Instance 0 is the elected one.
      if (blocked && (!blocked->is_probe_due || instance != 0)) {
        return send > 0;
      }
      if (blocked) {
        tracker.OnProbe(blocked->part, now_);
      }
      outcome_.sends[deadly].push_back(now_);
      now_ += Millis(50);
      outcome_.crashes[deadly].push_back(now_);
      bool is_suspected = tracker.IsSuspected(parts, now_);
      Crash(instance, {parts, SoundParts(), SoundParts()});
      if (is_suspected) {
        return true;
      }
    }
    return true;
  }

  void Crash(size_t instance,
             const std::vector<std::vector<PromptPartId>>& calls) {
    ++crash_;
    trackers_[instance].OnCrash(CrashId(crash_), UpstreamShortId(crash_), calls,
                                now_);
  }

  Play play_;
  Random random_;
  std::vector<PoisonTracker> trackers_;
  std::vector<PromptPartId> deadly_;
  Instant now_ = kStart;
  Instant restart_at_ = kStart;
  size_t restarts_ = 0;
  uint64_t crash_ = 0;
  uint64_t next_new_part_ = 10'000;
  Outcome outcome_;
};

std::vector<Play> Plays() {
  std::vector<Play> plays;
  for (Micros gap : {Micros(Seconds(1)), Micros(Millis(15'500)),
                     Micros(Seconds(60)), Micros(Seconds(600))}) {
    for (size_t stride : {0, 3}) {
      for (bool is_first_part : {false, true}) {
        Play play{"alone", gap, stride};
        play.is_first_part = is_first_part;
        plays.push_back(play);
        play.name = "second try elsewhere";
        play.retries_elsewhere = true;
        plays.push_back(play);
      }
      Play play{"two parts in turn", gap, stride};
      play.deadly_parts = 2;
      plays.push_back(play);
      play.name = "three parts in turn";
      play.deadly_parts = 3;
      plays.push_back(play);
      play = {"after a burst", gap, stride};
      play.burst = 3;
      plays.push_back(play);
      play.name = "after a larger burst";
      play.burst = 6;
      plays.push_back(play);
      play = {"beside other crashes", gap, stride};
      play.has_other_crashes = true;
      plays.push_back(play);
      play = {"beside restarts", gap, stride};
      play.has_restarts = true;
      plays.push_back(play);
    }
  }
  return plays;
}

// Guards against BUDGET: a deadly part that comes seldom is never blocked.
TEST_CASE("a deadly prompt part is blocked however seldom it comes") {
  for (const Play& play : Plays()) {
    for (uint64_t seed = 1; seed <= 2; ++seed) {
      INFO(play.name << ", gap " << play.gap.count() / 1000 << " ms, stride "
                     << play.stride << ", first part " << play.is_first_part
                     << ", seed " << seed);
      Fleet fleet(play, seed);
      Outcome outcome = fleet.Run(4 * play.deadly_parts);
      for (PromptPartId part : fleet.deadly()) {
        CAPTURE(part.value(), outcome.crashes[part].size());
        CHECK(outcome.LateSends(part) <= kMaxLateSends);
      }
      CHECK(outcome.wrongly_blocked.empty());
      CHECK(outcome.refused_sound_calls == 0);
    }
  }
}

}  // namespace
}  // namespace basilvalve::flow
