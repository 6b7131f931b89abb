#include "Core/Flow/quota_limiter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <functional>

namespace basilvalve::flow {
namespace {

const Instant kStart{Seconds(1000)};
const WorkspaceId kHot("hot");
constexpr Millis kTick{10};
// Bounds of the platform.
constexpr double kWindowSeconds = 8;
constexpr double kOvershoot = 0.1;
constexpr double kSlack = 140'000;

std::vector<std::shared_ptr<const Workspace>> Limits(double rate,
                                                     double burst) {
  Workspace workspace;
  workspace.name = kHot;
  workspace.quota = TokenQuota{rate, burst, 200};
  return {std::make_shared<const Workspace>(workspace)};
}

/// One play: regions of instances, and the calls of one workspace.
struct Play {
  int regions = 3;
  int per_region = 28;
  double rate = 1'300'000;
  double burst = 1'300'000;
  uint64_t max_call_tokens = 4'000;
  double loss = 0.01;
  uint64_t seed = 1;
  int seconds = 60;
  /// Offered tokens a second at all instances, at a time since the start.
  std::function<double(double)> demand;
  /// Whether the first instance's reports reach the second.
  std::function<bool(int, int, double)> is_linked = [](int, int, double) {
    return true;
  };
  Micros silence_time = Seconds(60);
  /// Set at 30 s if positive.
  double lowered_rate = 0;
  /// Instance that restarts at 30 s; -1: none.
  int restarted = -1;
};

struct Outcome {
  /// Highest use in a window relative to the bound.
  double worst_window = 0;
  double refused_share = 0;
};

/// Runs limiters that exchange reports with the lag of heartbeats.
class Fleet {
 public:
  explicit Fleet(const Play& play) : play_(play), random_(play.seed) {
    for (int i = 0; i < Size(); ++i) {
      nodes_.push_back({});
      Start(i, kStart);
    }
  }

  Outcome Run() {
    Outcome outcome;
    double offered = 0;
    double refused = 0;
    std::deque<double> window;
    double sum = 0;
    auto ticks = static_cast<int>(Millis(Seconds(play_.seconds)) / kTick);
    for (int tick = 0; tick < ticks; ++tick) {
      Instant now = kStart + kTick * tick;
      double at = static_cast<double>(tick) * 0.01;
      if (at == 30 && play_.lowered_rate > 0) {
        play_.rate = play_.burst = play_.lowered_rate;
        for (Node& it : nodes_) {
          it.limiter->SetLimits(Limits(play_.rate, play_.burst), now);
        }
      }
      if (at == 30 && play_.restarted >= 0) {
        Start(play_.restarted, now);
      }
      Deliver(now);
      double admitted = 0;
      for (int i = 0; i < Size(); ++i) {
        SendReports(i, now, at);
      }
      double mean_calls = play_.demand(at) * 0.01 * 2 /
                          static_cast<double>(play_.max_call_tokens);
      for (int n = Poisson(mean_calls); n > 0; --n) {
        uint64_t tokens = random_.Below(play_.max_call_tokens) + 1;
        Node& node = nodes_[random_.Below(nodes_.size())];
        bool is_admitted = node.limiter->Offer(kHot, tokens, now).is_admitted;
        (is_admitted ? admitted : refused) += static_cast<double>(tokens);
        offered += static_cast<double>(tokens);
      }
      window.push_back(admitted);
      sum += admitted;
      if (window.size() > static_cast<size_t>(kWindowSeconds * 100)) {
        sum -= window.front();
        window.pop_front();
      }
      // A new limit is in force one window later.
      if (play_.lowered_rate == 0 || at < 30 || at > 38 + kWindowSeconds) {
        double bound =
            (play_.rate * kWindowSeconds + play_.burst) * (1 + kOvershoot) +
            kSlack;
        outcome.worst_window = std::max(outcome.worst_window, sum / bound);
      }
    }
    outcome.refused_share = refused / offered;
    return outcome;
  }

 private:
  struct Node {
    std::unique_ptr<Random> random;
    std::unique_ptr<QuotaLimiter> limiter;
    uint64_t incarnation = 0;
    Instant next_near;
    Instant next_far;
    int next_far_peer = 0;
  };
  struct Datagram {
    Instant at;
    int to;
    QuotaReport report;
    bool operator<(const Datagram& other) const { return at > other.at; }
  };

  int Size() const { return play_.regions * play_.per_region; }
  int RegionOf(int node) const { return node / play_.per_region; }
  RegionId Region(int node) const {
    return RegionId("r" + std::to_string(RegionOf(node)));
  }
  static InstanceId Id(int node) {
    return InstanceId("i" + std::to_string(node));
  }
  int Poisson(double mean) {
    double p = random_.UniformDouble();
    int n = 0;
    for (double limit = std::exp(-mean); p > limit; ++n) {
      p *= random_.UniformDouble();
    }
    return n;
  }

  Micros NearInterval() const { return Millis(150 + 10 * play_.per_region); }
  Micros FarGap() const {
    int far = (play_.regions - 1) * play_.per_region;
    return std::max<Micros>(Millis(25), Micros(400'000 / std::max(1, far)));
  }

  void Start(int i, Instant now) {
    Node& node = nodes_[static_cast<size_t>(i)];
    node.random = std::make_unique<Random>(random_.Next());
    node.limiter = std::make_unique<QuotaLimiter>(Id(i), Region(i),
                                                  node.random.get(), now);
    node.limiter->SetLimits(Limits(play_.rate, play_.burst), now);
    node.limiter->SetSilenceTime(play_.silence_time);
    std::vector<QuotaMember> members;
    for (int other = 0; other < Size(); ++other) {
      int far = Size() - play_.per_region;
      members.push_back({Id(other), Region(other), true,
                         RegionOf(i) == RegionOf(other)
                             ? NearInterval()
                             : NearInterval() + FarGap() * far});
    }
    node.limiter->SetMembers(members, now);
    ++node.incarnation;
    node.next_near = now + Micros(random_.Below(400'000));
    node.next_far = now + Micros(random_.Below(400'000));
    node.next_far_peer = static_cast<int>(random_.Below(nodes_.size()));
  }

  void Send(int from, int to, const QuotaReport& report, Instant now,
            double at) {
    if (to == from || random_.UniformDouble() < play_.loss ||
        !play_.is_linked(from, to, at)) {
      return;
    }
    Micros delay = RegionOf(from) == RegionOf(to) ? Millis(1) : Millis(55);
    queue_.push_back({now + delay + Micros(random_.Below(10'000)), to, report});
    std::push_heap(queue_.begin(), queue_.end());
  }

  void SendReports(int i, Instant now, double at) {
    Node& node = nodes_[static_cast<size_t>(i)];
    if (now < node.next_near) {
      return;
    }
    node.next_near = now + NearInterval();
    node.limiter->Sweep(now);
    QuotaReport report{Id(i), Region(i), node.incarnation,
                       false, 0,         node.limiter->Report(now)};
    for (int k = 0; k < Size(); ++k) {
      if (RegionOf(k) == RegionOf(i)) {
        Send(i, k, report, now, at);
      }
    }
    auto due = std::min<int64_t>((now - node.next_far) / FarGap(),
                                 Size() - play_.per_region);
    for (int64_t n = std::max<int64_t>(0, due); n > 0; --n) {
      do {
        node.next_far_peer = (node.next_far_peer + 1) % Size();
      } while (RegionOf(node.next_far_peer) == RegionOf(i));
      Send(i, node.next_far_peer, report, now, at);
      node.next_far = now;
    }
  }

  void Deliver(Instant now) {
    while (!queue_.empty() && queue_.front().at <= now) {
      std::pop_heap(queue_.begin(), queue_.end());
      const Datagram& it = queue_.back();
      nodes_[static_cast<size_t>(it.to)].limiter->OnReport(it.report, false,
                                                           now);
      queue_.pop_back();
    }
  }

  Play play_;
  Random random_;
  std::vector<Node> nodes_;
  std::vector<Datagram> queue_;
};

// From 20 s on for 20 s.
std::function<double(double)> Surge(double usual, double factor) {
  return
      [=](double at) { return at >= 20 && at < 40 ? usual * factor : usual; };
}

// Guards against use above the limit where instances do not know yet what the
// others admit.
TEST_CASE("a surge of a workspace stays within the bound in each window") {
  auto [rate, factor, call] =
      GENERATE(table<double, double, uint64_t>({{1'300'000, 5, 4'000},
                                                {1'300'000, 20, 4'000},
                                                {1'300'000, 10, 60'000},
                                                {240'000, 20, 60'000},
                                                {60'000, 10, 60'000}}));
  CAPTURE(rate, factor, call);
  Play play;
  play.rate = play.burst = rate;
  play.max_call_tokens = call;
  play.demand = Surge(rate / 1.8, factor);
  play.seconds = 45;
  CHECK(Fleet(play).Run().worst_window < 1);
}

// Guards against refusals of calls that the limit permits.
TEST_CASE("at 0.8 of the limit hardly any call is refused") {
  auto [rate, call] = GENERATE(table<double, uint64_t>({{1'300'000, 4'000},
                                                        {1'300'000, 60'000},
                                                        {240'000, 8'000},
                                                        {60'000, 4'000}}));
  CAPTURE(rate, call);
  Play play;
  play.rate = play.burst = rate;
  play.max_call_tokens = call;
  play.demand = [rate = rate](double) { return 0.8 * rate; };
  Outcome outcome = Fleet(play).Run();
  CHECK(outcome.refused_share < 0.01);
  CHECK(outcome.worst_window < 1);
}

bool IsCut(double at) { return at >= 20 && at < 45; }
bool WithinRegion(int from, int to, double at) {
  return !IsCut(at) || from / 28 == to / 28;
}
bool WithoutFirst(int from, int to, double at) {
  return !IsCut(at) || (from != 0 && to != 0);
}
bool HalfRegionApart(int from, int to, double at) {
  return !IsCut(at) || (from < 14) == (to < 14);
}
bool TwoRegionsApart(int from, int to, double at) {
  return !IsCut(at) || from / 28 + to / 28 != 1;
}

// Guards against use above the limit by instances that cannot hear each other.
TEST_CASE("a partition keeps the bound") {
  auto linked = GENERATE(&WithinRegion, &WithoutFirst, &HalfRegionApart,
                         &TwoRegionsApart);
  auto surge_at = GENERATE(20.0, 25.0);
  CAPTURE(surge_at);
  Play play;
  play.is_linked = linked;
  play.demand = [=](double at) { return at < surge_at ? 720'000 : 7'200'000; };
  CHECK(Fleet(play).Run().worst_window < 1);
}

// Guards against charging a lost report twice or never, and against a full
// burst at each start and change.
TEST_CASE("lost reports, a restart and a lowered limit keep the bound") {
  Play lossy;
  lossy.loss = 0.3;
  lossy.demand = Surge(720'000, 10);
  Play restart;
  restart.restarted = 5;
  restart.demand = Surge(720'000, 10);
  Play lowered;
  lowered.demand = [](double) { return 720'000; };
  lowered.lowered_rate = 200'000;
  Play play = GENERATE_COPY(values({lossy, restart, lowered}));
  CAPTURE(play.loss, play.restarted, play.lowered_rate);
  CHECK(Fleet(play).Run().worst_window < 1);
}

class OneLimiter {
 public:
  OneLimiter() { limiter_.SetLimits(Limits(1000, 100'000), kStart); }
  /// Tokens of 1000 calls of 100 that are admitted at once.
  int Admitted(Instant now) {
    int n = 0;
    for (int i = 0; i < 1000; ++i) {
      n += limiter_.Offer(kHot, 100, now).is_admitted ? 100 : 0;
    }
    return n;
  }
  QuotaLimiter* operator->() { return &limiter_; }

 private:
  Random random_{1};
  QuotaLimiter limiter_{InstanceId("a"), RegionId("r"), &random_, kStart};
};

// Guards against state and refusals for workspaces without a limit.
TEST_CASE("a workspace without a limit is neither limited nor reported") {
  OneLimiter limiter;
  const WorkspaceId free("free");
  for (int i = 0; i < 100; ++i) {
    CHECK(limiter->Offer(free, 1'000'000, kStart).is_admitted);
  }
  CHECK_FALSE(limiter->HasLimit(free));
  CHECK(limiter->Report(kStart).empty());
}

// Guards against the allowance for large calls, in tokens, where a quota counts
// calls.
TEST_CASE("a quota of calls admits its burst at most") {
  OneLimiter limiter;
  Workspace workspace;
  workspace.name = kHot;
  workspace.quota = TokenQuota{5, 10, 0, /*counts_calls=*/true};
  limiter->SetLimits({std::make_shared<const Workspace>(workspace)}, kStart);
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    admitted += limiter->Offer(kHot, 1, kStart).is_admitted ? 1 : 0;
  }
  CHECK(admitted > 0);
  CHECK(admitted <= 10);
}

// Guards against a limiter that goes on to refuse after refunds, and one that
// tells no time to retry.
TEST_CASE("a refused call is told when to retry and a refund readmits") {
  OneLimiter limiter;
  int admitted = limiter.Admitted(kStart);
  QuotaDecision refused = limiter->Offer(kHot, 100, kStart);
  REQUIRE_FALSE(refused.is_admitted);
  CHECK(refused.retry_after >= Millis(300));
  CHECK(limiter->Sweep(kStart).size() == 1);
  CHECK(limiter->Sweep(kStart).empty());
  limiter->Refund(kHot, static_cast<uint64_t>(admitted), kStart);
  CHECK(limiter->Offer(kHot, 100, kStart).is_admitted);
  auto ended = limiter->Sweep(kStart + Seconds(6));
  REQUIRE(ended.size() == 1);
  CHECK_FALSE(ended[0].is_limited);
}

// Guards against use in a large region that is charged twice or never: only
// dispatchers send heartbeats there, and pass on the use of the others.
TEST_CASE("a dispatcher passes on the use of an instance that reports to it") {
  OneLimiter dispatcher;
  OneLimiter follower;
  OneLimiter other;
  const RegionId region("r");
  Instant now = kStart;
  auto exchange = [&](bool is_first) {
    now += Seconds(1);
    dispatcher->OnFollowerReport(
        {InstanceId("f"), region, 1, false,
         static_cast<uint64_t>(now.time_since_epoch().count()),
         follower->FollowerReport(is_first, now)},
        now);
    QuotaReport report{InstanceId("d"), region, 1,
                       false,           0,      dispatcher->Report(now)};
    other->OnReport(report, false, now);
    follower->OnReport(report, true, now);
  };
  exchange(true);
  REQUIRE(follower->Offer(kHot, 90'000, now).is_admitted);
  exchange(false);
  CHECK_FALSE(other->Offer(kHot, 1, now).is_admitted);
  CHECK_FALSE(dispatcher->Offer(kHot, 1, now).is_admitted);
  // The follower has not been charged again.
  CHECK(follower->Offer(kHot, 1, now + Seconds(30)).is_admitted);
}

// Guards against charging what another instance used before this one started,
// and against not charging a restarted one.
TEST_CASE("counters of other instances count from the right start") {
  UseReader reader;
  const UseKey key(7);
  auto read = [&](uint64_t incarnation, uint64_t admitted, bool is_baseline) {
    return reader
        .Read(incarnation, {{key, admitted, admitted}}, is_baseline)[key]
        .admitted;
  };
  CHECK(read(1, 500, true) == 0);
  CHECK(read(1, 600, false) == 100);
  CHECK(read(1, 600, false) == 0);
  CHECK(read(2, 40, false) == 40);
  CHECK(reader.Read(2, {}, false).empty());
  CHECK(read(2, 50, false) == 50);
}

// Guards against rows that grow without bound or never end.
TEST_CASE("reports hold at most 64 rows of recent use") {
  UseCounters counters;
  for (uint64_t i = 1; i <= 100; ++i) {
    counters.Add(UseKey(i), i, i, kStart);
  }
  auto rows = counters.Report(kStart);
  REQUIRE(rows.size() == 64);
  CHECK(rows[0].offered == 100);
  CHECK(rows[63].offered == 37);
  // A row that was left out starts at zero, and its new use counts at once.
  counters.Add(UseKey(1), 50, 50, kStart + Seconds(1));
  rows = counters.Report(kStart + Seconds(1));
  CHECK(std::find(rows.begin(), rows.end(), UseRow{UseKey(1), 50, 50}) !=
        rows.end());
  CHECK(counters.Report(kStart + Seconds(12)).empty());
}

}  // namespace
}  // namespace basilvalve::flow
