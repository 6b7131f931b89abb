#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "Core/Common/random.h"
#include "Core/Flow/dispatch_policy.h"

namespace basilvalve::flow {
namespace {

const ServiceName kPayments("payments");
const Instant kStart{Seconds(1000)};
constexpr uint32_t kSlots = 6;
constexpr uint32_t kQueue = 24;

// One instance with plain upstreams of six slots, and its placement.
struct PlainFixture {
  UpstreamRegistry registry{RegionId("north")};
  Placer placer{&registry, nullptr,
                [](void*, const Upstream&) { return true; }};
  Route route;
  CallSize size;
  std::set<UpstreamId> tried_upstreams;
  uint64_t calls = 0;
  double unreported_sends = 0;
  uint64_t seed_factor = 1;

  UpstreamRegistry::Ptr Add(const std::string& id, int64_t started_at_ms = 1) {
    UpstreamRecord record;
    record.id = UpstreamId(id);
    record.service = kPayments;
    record.host = id;
    record.region = RegionId("north");
    record.slots = kSlots;
    record.started_at_ms = started_at_ms;
    registry.Upsert(record, kStart);
    return registry.Find(record.id);
  }

  std::optional<Placement> Choose(Instant now) {
    PlacementRequest request;
    request.route = &route;
    request.service = kPayments;
    request.size = &size;
    request.tried_upstreams = &tried_upstreams;
    request.output_tokens = 100;
    request.time_to_target = Millis(300);
    request.time_to_deadline = Millis(2000);
    request.sampling_seed = ++calls * seed_factor;
    request.unreported_sends = unreported_sends;
    return placer.Choose(request, now);
  }
};

ReportedLoad LoadWith(uint32_t running, uint32_t waiting, double slowness) {
  ReportedLoad load;
  load.running = running;
  load.waiting = waiting;
  load.slowness = slowness;
  return load;
}

// Load: a machine of which others take all but a 0.15 share for 600 ms, so that
// its work takes 2.5 times as long.
TEST_CASE("a reported slowness counts for a while and fades to the mean") {
  Slowness slowness;
  CHECK(slowness.At(kStart) == 1);
  for (int i = 0; i < 200; ++i) {
    slowness.OnReport(1, kStart);
  }
  slowness.OnReport(2.5, kStart);
  CHECK(slowness.At(kStart + Millis(300)) == 2.5);
  CHECK(slowness.At(kStart + Millis(800)) == Approx(1.8).epsilon(0.05));
  CHECK(slowness.At(kStart + Millis(1300)) == Approx(1.075).epsilon(0.01));
  CHECK(slowness.At(kStart + Seconds(61)) == 1);
  slowness.OnReport(0, kStart);
  CHECK(slowness.At(kStart) == 0.1);
  slowness.OnReport(1e4, kStart);
  CHECK(slowness.At(kStart) == 20);
}

// Load: as above, with model calls on two engines that are otherwise alike.
TEST_CASE("model calls avoid a slow machine while it is slow") {
  PlainFixture fixture;
  fixture.size.tokens_in = 3000;
  fixture.size.tokens_out = 100;
  auto slow = fixture.Add("slow");
  auto other = fixture.Add("other");
  for (int i = 0; i < 200; ++i) {
    fixture.registry.OnReportedLoad(*slow, LoadWith(0, 0, 1), kStart);
  }
  Forecast usual = fixture.Choose(kStart)->forecast;
  fixture.registry.OnReportedLoad(*slow, LoadWith(0, 0, 2.5), kStart);
  other->own_load = {1, 1000, 0};
  CHECK(fixture.Choose(kStart + Millis(100))->upstream == other);
  CHECK(fixture.Choose(kStart + Millis(1500))->upstream == slow);
  fixture.registry.Remove(other->record.id);
  Forecast forecast = fixture.Choose(kStart + Millis(100))->forecast;
  CHECK(forecast.own_prefill_time.count() ==
        Approx(2.5 * static_cast<double>(usual.own_prefill_time.count())));
  CHECK(forecast.time_per_token_ratio ==
        Approx(2.5 * usual.time_per_token_ratio));
}

// Load: steady streams from a machine that always reports 2.5. Guards against
// applying the slowness twice, in the learned time and in the forecast.
TEST_CASE("learned times are those at the usual speed") {
  PlainFixture fixture;
  auto upstream = fixture.Add("u1");
  for (int i = 0; i < 300; ++i) {
    fixture.registry.OnReportedLoad(*upstream, LoadWith(1, 0, 2.5), kStart);
    fixture.registry.LearnTimePerToken(*upstream, 25'000, kStart);
    fixture.registry.LearnServiceTime(*upstream, Millis(150), 1, kStart);
  }
  CHECK(upstream->time_per_token_us == Approx(10'000));
  CHECK(fixture.registry.PredictPlain(*upstream, kStart).finish.count() ==
        Approx(150'000).epsilon(0.01));
}

// Load: payments that take 15 or 60 ms each, on machines of different speed.
TEST_CASE("service times are learned per upstream and end with its process") {
  PlainFixture fixture;
  auto fast = fixture.Add("fast");
  auto slow = fixture.Add("slow");
  auto finish = [&](const auto& upstream, Instant now) {
    return fixture.registry.PredictPlain(*upstream, now).finish.count();
  };
  CHECK(finish(fast, kStart) == 40'000);
  CHECK_FALSE(fixture.registry.PredictPlain(*fast, kStart).is_reliable);
  for (int i = 0; i < 60; ++i) {
    fixture.registry.LearnServiceTime(*fast, Millis(15), 1, kStart);
    fixture.registry.LearnServiceTime(*slow, Millis(120), 2, kStart);
  }
  CHECK(fixture.registry.PredictPlain(*fast, kStart).is_reliable);
  CHECK(finish(fast, kStart) == Approx(15'000).epsilon(0.01));
  CHECK(finish(slow, kStart) == Approx(60'000).epsilon(0.01));
  CHECK(fixture.Choose(kStart)->upstream == fast);
  // Nine calls there: six run and three wait, so that one more is the fourth.
  fast->own_load.running = 9;
  CHECK(finish(fast, kStart) == Approx(25'000).epsilon(0.01));
  // Without calls that could confirm it, the slow one is tried again some time.
  CHECK(finish(slow, kStart + Seconds(30)) < 45'000);
  slow = fixture.Add("slow", 2);
  CHECK(finish(slow, kStart) < 45'000);
}

// Load: a process that was suspended for 2 s and answers ten calls at once.
TEST_CASE("late responses of a suspended upstream do not refuse its calls") {
  PlainFixture fixture;
  auto upstream = fixture.Add("u1");
  for (int i = 0; i < 60; ++i) {
    fixture.registry.LearnServiceTime(*upstream, Millis(15), 1, kStart);
  }
  for (int i = 0; i < 10; ++i) {
    fixture.registry.LearnServiceTime(*upstream, Millis(2000), 1, kStart);
  }
  CHECK(fixture.registry.PredictPlain(*upstream, kStart).finish < Millis(300));
}

// Load: a burst that fills the queues of upstreams, which then refuse.
TEST_CASE("a full upstream is left alone until a slot should be free") {
  PlainFixture fixture;
  auto full = fixture.Add("full");
  for (int i = 0; i < 60; ++i) {
    fixture.registry.LearnServiceTime(*full, Millis(60), 1, kStart);
  }
  fixture.registry.OnReportedLoad(*full, LoadWith(kSlots, 10, 1), kStart);
  fixture.registry.OnFull(*full, 10, kStart);
  // 60 ms over six slots: 10 ms each. The queue of ten refuses; three quarters
  // of it may be used.
  CHECK_FALSE(fixture.Choose(kStart + Millis(9)));
  CHECK(full->MaxPlainCalls() == kSlots + 7.5);
  CHECK_FALSE(fixture.Choose(kStart + Millis(20)));
  CHECK(fixture.Choose(kStart + Millis(60)));
  fixture.registry.OnFull(*full, 10, kStart + Millis(60));
  auto other = fixture.Add("other");
  CHECK(fixture.Choose(kStart + Millis(61))->upstream == other);
  // Model calls are not concerned.
  fixture.registry.Remove(other->record.id);
  fixture.size.tokens_in = 100;
  full->reported.reset();
  CHECK(fixture.Choose(kStart + Millis(61)));
}

// Load: more calls than six slots run, at an upstream of an earlier build.
TEST_CASE("an upstream that reports no slowness gets the calls it got before") {
  PlainFixture fixture;
  auto upstream = fixture.Add("u1");
  auto takes = [&](uint32_t running) {
    upstream->own_load.running = running;
    return fixture.Choose(kStart).has_value();
  };
  CHECK(takes(9));
  CHECK_FALSE(takes(10));
  ReportedLoad load;
  load.running = kSlots;
  load.waiting = 4;
  fixture.registry.OnReportedLoad(*upstream, load, kStart);
  upstream->own_load.running = 0;
  CHECK_FALSE(fixture.Choose(kStart + Millis(399)));
  CHECK(fixture.Choose(kStart + Millis(401)));
  fixture.registry.OnReportedLoad(*upstream, LoadWith(kSlots, 0, 1), kStart);
  CHECK(takes(17));
  CHECK_FALSE(takes(18));
}

// Load: plain calls with a target of 300 ms and limits of 2,000 ms, at the peak
// of one region while another is idle or busy.
TEST_CASE("plain calls leave a busy region and are refused when too late") {
  struct Row {
    const char* name;
    int local_ms;
    bool is_reliable;
    /// Reported by the other region; negative if there is none.
    int remote_wait_ms;
    DispatchKind expected;
  };
  for (const Row& row : {
           Row{"in time", 60, true, 0, DispatchKind::kLocal},
           Row{"busy, other idle", 250, true, 15, DispatchKind::kRemote},
           Row{"busy, other busy", 250, true, 140, DispatchKind::kLocal},
           Row{"late, alone", 400, true, -1, DispatchKind::kLocal},
           Row{"beyond the deadline", 2100, true, -1, DispatchKind::kRefuse},
           Row{"assumed beyond it", 2100, false, -1, DispatchKind::kLocal},
           Row{"beyond it here", 2100, true, 100, DispatchKind::kRemote},
           Row{"full here, other late", 0, true, 1950, DispatchKind::kRefuse},
           Row{"full here, other busy", 0, true, 300, DispatchKind::kRemote},
           Row{"full here, other unknown", 0, true, 0, DispatchKind::kRemote},
       }) {
    INFO(row.name);
    DispatchInput input;
    input.time_to_target = Millis(300);
    input.time_to_deadline = Millis(2000);
    input.remote_round_trip = Millis(110);
    if (row.local_ms > 0) {
      input.local.emplace();
      input.local->first_byte = input.local->finish = Millis(row.local_ms);
      input.local->is_reliable = row.is_reliable;
    }
    if (row.remote_wait_ms >= 0) {
      RegionCapacity remote{RegionId("south"), {}, {}};
      remote.capacity.upstreams = 2;
      remote.capacity.wait = Millis(row.remote_wait_ms);
      input.remote_capacities = {remote};
    }
    DispatchDecision decision = DecideDispatch(input);
    CHECK(decision.kind == row.expected);
    CHECK(decision.IsTooLate() == (row.expected == DispatchKind::kRefuse));
    CHECK((decision.retry_after > Millis(0)) == decision.IsTooLate());
  }
}

// Load: a peak of which one instance forwards calls faster than heartbeats of
// the other region arrive.
TEST_CASE("forwarded plain calls raise the forecast of the other region") {
  FleetView fleet(
      {InstanceId("a"), DataCentreId("z"), RegionId("north"), "a:1", "a:2", 1});
  Heartbeat heartbeat;
  heartbeat.from = {
      InstanceId("b"), DataCentreId("y"), RegionId("south"), "b:1", "b:2", 1};
  heartbeat.sequence = 1;
  heartbeat.service_capacities[kPayments] = {2, Millis(15), 0, 0, 0};
  REQUIRE(fleet.OnHeartbeat(heartbeat, kStart));
  for (int i = 0; i < 40; ++i) {
    fleet.OnForwarded(RegionId("south"), kPayments, 0, Micros(2500));
  }
  auto capacities = fleet.RemoteCapacities(kPayments, kStart);
  REQUIRE(capacities.size() == 1);
  CHECK(capacities.front().capacity.wait == Millis(65));
}

// An upstream that works on `kSlots` calls at a time, in order.
struct SimulatedUpstream {
  UpstreamId id;
  double slowness = 1;
  std::vector<Instant> slot_free_at = std::vector<Instant>(kSlots, kStart);
  std::multiset<Instant> ends;

  uint32_t CallsAt(Instant now) {
    ends.erase(ends.begin(), ends.upper_bound(now));
    return static_cast<uint32_t>(ends.size());
  }
  Instant Add(Micros work, Instant now) {
    auto slot = std::min_element(slot_free_at.begin(), slot_free_at.end());
    *slot = std::max(*slot, now) +
            Micros(static_cast<int64_t>(static_cast<double>(work.count()) *
                                        slowness));
    ends.insert(*slot);
    return *slot;
  }
};

struct SimulationResult {
  int refused_by_upstream = 0;
  int without_upstream = 0;
  int late = 0;
};

// Several instances that send calls of 15 or 60 ms, 833 a second together, to
// six upstreams of speed 0.6, 1 and 1.6, each of which is 2.5 times slower for
// 600 ms in turn. They could work on about 900 calls a second. The instances
// exchange their loads as often as their heartbeats do.
class PeakSimulation {
 public:
  PeakSimulation(size_t instances, bool is_adaptive)
      : instances_(instances), is_adaptive_(is_adaptive) {
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      upstreams_[i].id = UpstreamId("u" + std::to_string(i));
      for (PlainFixture& instance : instances_) {
        // As the planner estimates it, from the call rate and the mean age of
        // the heartbeats.
        double n = static_cast<double>(instances);
        instance.unreported_sends = 833 / n * (n - 1) * (0.075 + 0.005 * n) / 6;
        instance.seed_factor = random_.Next() | 1;
        instance.Add(upstreams_[i].id.value());
      }
    }
  }

  SimulationResult Run(Micros duration) {
    Instant next_heartbeats = kStart;
    for (Instant now = kStart; now < kStart + duration;
         now += Micros(600 + random_.Below(1200))) {
      while (!responses_.empty() && responses_.begin()->first <= now) {
        Finish(responses_.begin()->second, responses_.begin()->first);
        responses_.erase(responses_.begin());
      }
      if (now >= next_heartbeats) {
        ExchangeLoads(now);
        next_heartbeats = now + Millis(150 + 10 * instances_.size());
      }
      SetSlowness(now);
      Send(&instances_[random_.Below(instances_.size())], now);
    }
    return result_;
  }

 private:
  struct Response {
    PlainFixture* instance;
    SimulatedUpstream* upstream;
    UpstreamRegistry::Ptr known;
    Instant sent_at;
    double queue_factor;
  };

  void SetSlowness(Instant now) {
    constexpr std::array<double, 3> kSpeeds = {0.6, 1, 1.6};
    auto turn = static_cast<size_t>((now - kStart) / Millis(600));
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      upstreams_[i].slowness = (turn % upstreams_.size() == i ? 2.5 : 1) /
                               kSpeeds[i % kSpeeds.size()];
    }
  }

  void ExchangeLoads(Instant now) {
    for (PlainFixture& from : instances_) {
      for (PlainFixture& to : instances_) {
        for (const auto& [id, upstream] : to.registry.all()) {
          if (&from != &to) {
            InstanceId name(std::to_string(&from - instances_.data()));
            upstream->OnReport(name, from.registry.Find(id)->own_load, true,
                               now);
          }
        }
      }
    }
  }

  void Report(PlainFixture* instance, SimulatedUpstream* upstream,
              Instant now) const {
    uint32_t calls = upstream->CallsAt(now);
    ReportedLoad load =
        LoadWith(std::min(calls, kSlots), calls > kSlots ? calls - kSlots : 0,
                 upstream->slowness);
    if (!is_adaptive_) {
      load.slowness.reset();
    }
    instance->registry.OnReportedLoad(*instance->registry.Find(upstream->id),
                                      load, now);
  }

  void Finish(const Response& response, Instant at) {
    --response.known->own_load.running;
    Report(response.instance, response.upstream, at);
    if (is_adaptive_) {
      response.instance->registry.LearnServiceTime(
          *response.known, at - response.sent_at, response.queue_factor, at);
    }
    result_.late += at - response.sent_at > Millis(300) ? 1 : 0;
  }

  void Send(PlainFixture* instance, Instant now) {
    auto placement = instance->Choose(now);
    if (!placement) {
      ++result_.without_upstream;
      return;
    }
    UpstreamRegistry::Ptr known = placement->upstream;
    auto it = std::find_if(
        upstreams_.begin(), upstreams_.end(),
        [&](const auto& upstream) { return upstream.id == known->record.id; });
    if (it->CallsAt(now) >= kSlots + kQueue) {
      ++result_.refused_by_upstream;
      Report(instance, &*it, now);
      if (is_adaptive_) {
        instance->registry.OnFull(*known, kQueue, now);
      }
      return;
    }
    ++known->own_load.running;
    known->last_assigned_at = now;
    responses_.emplace(
        it->Add(Millis(random_.Below(2) == 0 ? 15 : 60), now),
        Response{instance, &*it, known, now, placement->forecast.queue_factor});
  }

  std::vector<PlainFixture> instances_;
  bool is_adaptive_;
  Random random_{7};
  std::vector<SimulatedUpstream> upstreams_ = std::vector<SimulatedUpstream>(6);
  std::multimap<Instant, Response> responses_;
  SimulationResult result_;
};

// Load: see PeakSimulation.
TEST_CASE("reported slowness and learned times keep plain calls in time") {
  struct Row {
    size_t instances;
    int most_late;
    int most_refused;
  };
  // About 16,700 calls each. The bounds leave room for other rounding.
  for (const Row& row :
       {Row{1, 3, 0}, Row{4, 60, 10}, Row{12, 200, 40}, Row{30, 500, 150}}) {
    INFO(row.instances << " instances");
    SimulationResult without =
        PeakSimulation(row.instances, false).Run(Seconds(20));
    SimulationResult with =
        PeakSimulation(row.instances, true).Run(Seconds(20));
    INFO("late " << with.late << " instead of " << without.late
                 << ", refused by upstreams " << with.refused_by_upstream
                 << " instead of " << without.refused_by_upstream
                 << ", without upstream " << with.without_upstream
                 << " instead of " << without.without_upstream);
    CHECK(with.late <= row.most_late);
    CHECK(with.refused_by_upstream <= row.most_refused);
    CHECK(with.without_upstream <= row.most_refused);
    // The load is one that the gateway does not stand without them.
    CHECK(without.late > 0);
  }
}

}  // namespace
}  // namespace basilvalve::flow
