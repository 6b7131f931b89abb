// When calls are hedged, and the region's limit on hedges.
#include <catch2/catch.hpp>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Flow/hedge_budget.h"
#include "Core/Flow/hedge_delay.h"

namespace basilvalve::flow {
namespace {

const ServiceName kService("service");
const ServiceShortId kShortId = ShortIdOf(kService);
const InstanceId kPeer("peer");
const Instant kStart = Instant() + Seconds(1000);

// Guards against hedges of usual calls, and hedges too late to help.
TEST_CASE("the delay of a hedge follows the 0.95 quantile within bounds") {
  struct Row {
    const char* name;
    int fast;
    Millis fast_time;
    int slow;
    Millis slow_time;
    Millis low;
    Millis high;
  };
  const Millis zero(0);
  for (const Row& row : {
           Row{"nothing known", 0, zero, 0, zero, Millis(800), Millis(800)},
           Row{"few known", 19, Millis(20), 0, zero, Millis(800), Millis(800)},
           Row{"all fast", 200, Millis(20), 0, zero, Millis(300), Millis(300)},
           Row{"4% slow", 192, Millis(400), 8, Millis(3000), Millis(400),
               Millis(480)},
           Row{"6% slow", 188, Millis(400), 12, Millis(700), Millis(700),
               Millis(800)},
           Row{"all slow", 200, Seconds(90), 0, zero, Millis(800), Millis(800)},
       }) {
    INFO(row.name);
    HedgeDelay delay;
    for (int i = 0; i < row.fast; ++i) {
      delay.OnFirstByte(kService, row.fast_time);
    }
    for (int i = 0; i < row.slow; ++i) {
      delay.OnFirstByte(kService, row.slow_time);
    }
    CHECK(delay.DelayFor(kService, Millis(1000)) >= row.low);
    CHECK(delay.DelayFor(kService, Millis(1000)) <= row.high);
    CHECK(delay.DelayFor(ServiceName("other"), Millis(1000)) == Millis(800));
  }
}

// Guards against a delay that keeps the times of a slower past.
TEST_CASE("the delay of a hedge follows a service that gets faster") {
  HedgeDelay delay;
  for (int i = 0; i < 2000; ++i) {
    delay.OnFirstByte(kService, Millis(700));
  }
  for (int i = 0; i < 2000; ++i) {
    delay.OnFirstByte(kService, Millis(100));
  }
  CHECK(delay.DelayFor(kService, Millis(1000)) == Millis(300));
}

// Guards against a cost of hedging where it is off.
TEST_CASE("a hedge budget without a share permits and reports nothing") {
  HedgeBudget budget(0);
  for (int i = 0; i < 100; ++i) {
    budget.OnRequest(kService, kStart);
  }
  budget.OnReport(kPeer, 1, {{kShortId, {1000, 0}}}, kStart);
  CHECK_FALSE(budget.HasRoom(kService, kStart));
  CHECK(budget.MakeReport(kStart).empty());
}

// Guards against counting twice, or as new, what was counted before.
TEST_CASE("reports of another instance fill and charge the hedge budget once") {
  HedgeBudget budget(0.1);
  auto report = [&](uint64_t incarnation, uint64_t requests, uint64_t hedges) {
    budget.OnReport(kPeer, incarnation, {{kShortId, {requests, hedges}}},
                    kStart);
    return budget.HasRoom(kService, kStart);
  };
  CHECK_FALSE(report(1, 5000, 0));
  CHECK_FALSE(report(1, 5009, 0));
  CHECK(report(1, 5011, 0));
  CHECK(report(1, 5011, 0));
  CHECK_FALSE(report(1, 5011, 1));
  // A restarted instance counts from zero.
  CHECK_FALSE(report(2, 8, 0));
  CHECK(report(2, 20, 0));
  // Ten hedges without requests are a debt that requests repay.
  CHECK_FALSE(report(2, 20, 10));
  CHECK_FALSE(report(2, 90, 10));
  CHECK(report(2, 130, 10));
  CHECK(budget.MakeReport(kStart).empty());
}

// A region whose instances exchange reports; each hedges `wanted` of its calls
// if it may.
struct Region {
  struct Instance {
    InstanceId id;
    HedgeBudget budget;
    double calls_per_second;
    uint64_t hedges = 0;
  };

  Region(const std::vector<double>& calls_per_second, double share) {
    for (size_t i = 0; i < calls_per_second.size(); ++i) {
      instances.push_back({InstanceId("i" + std::to_string(i)),
                           HedgeBudget(share), calls_per_second[i]});
    }
  }

  void Run(Millis time, double wanted, double loss) {
    for (Instant end = now + time; now < end; now += Millis(5)) {
      for (Instance& it : instances) {
        if (random.UniformDouble() < it.calls_per_second * 0.005) {
          Call(&it, wanted);
        }
      }
      if ((now - kStart) % Millis(350) == Micros(0)) {
        Report(loss);
      }
    }
  }

  void Call(Instance* it, double wanted) {
    it->budget.OnRequest(kService, now);
    ++requests;
    if (random.UniformDouble() < wanted && it->budget.HasRoom(kService, now)) {
      it->budget.OnHedge(kService, now);
      ++it->hedges;
      ++hedges;
    }
  }

  void Report(double loss) {
    for (const Instance& from : instances) {
      HedgeReport report = from.budget.MakeReport(now);
      for (Instance& to : instances) {
        if (&from != &to && random.UniformDouble() >= loss) {
          to.budget.OnReport(from.id, 1, report, now);
        }
      }
    }
  }

  Random random{7};
  Instant now = kStart;
  std::vector<Instance> instances;
  uint64_t requests = 0;
  uint64_t hedges = 0;
};

// Guards against instances that each spend the whole budget before they hear of
// each other, in the second in which all calls become slow.
TEST_CASE("the hedges of a region stay within its share of all requests") {
  struct Row {
    const char* name;
    std::vector<double> calls_per_second;
    double wanted;
    double loss;
    double min_used_share;
  };
  const double share = 0.05;
  for (const Row& row : {
           Row{"all calls are slow", std::vector<double>(20, 50), 1, 0, 0.5},
           Row{"lost reports", std::vector<double>(20, 50), 1, 0.3, 0.5},
           Row{"no reports", std::vector<double>(20, 50), 1, 1, 0.5},
           Row{"usual tail", std::vector<double>(20, 50), 0.04, 0, 0.5},
           Row{"few calls", std::vector<double>(6, 0.5), 1, 0, 0.3},
       }) {
    INFO(row.name);
    Region region(row.calls_per_second, share);
    // Ends just after a report, so that the next one is as far off as can be.
    region.Run(Millis(30'105), 0, row.loss);
    auto before = static_cast<double>(region.requests);
    // Without reports each instance has a bucket of its own calls.
    double buckets =
        row.loss < 1 ? 1 : static_cast<double>(region.instances.size());
    double capacity = buckets + share * before / 30;
    auto allowed = [&] {
      return share * (static_cast<double>(region.requests) - before);
    };
    region.Run(Seconds(1), row.wanted, row.loss);
    CAPTURE(region.hedges, allowed(), capacity);
    CHECK(static_cast<double>(region.hedges) <= 1.5 * (allowed() + capacity));
    region.Run(Seconds(60), row.wanted, row.loss);
    CAPTURE(region.hedges, allowed());
    CHECK(static_cast<double>(region.hedges) <= allowed() + 1.5 * capacity);
    CHECK(static_cast<double>(region.hedges) >= row.min_used_share * allowed());
  }
}

// Guards against fixed shares, which would keep an instance with few calls from
// hedging.
TEST_CASE("an instance with few calls hedges more than its own share") {
  Region region({200, 2}, 0.02);
  region.Run(Seconds(10), 0, 0);
  uint64_t before = region.requests;
  for (int i = 0; i < 40; ++i) {
    region.Run(Millis(500), 0, 0);
    region.Call(&region.instances[1], 1);
  }
  CHECK(region.instances[1].hedges >= 30);
  CHECK(static_cast<double>(region.hedges) <=
        0.02 * static_cast<double>(region.requests - before) + 6);
}

}  // namespace
}  // namespace basilvalve::flow
