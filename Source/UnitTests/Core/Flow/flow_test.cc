#include <catch2/catch.hpp>

#include "Core/Flow/dispatch_policy.h"
#include "Core/Flow/dispatcher_set.h"
#include "Core/Flow/event_splitter.h"
#include "Core/Flow/fleet_retry_budget.h"
#include "Core/Flow/send_limiter.h"

namespace basilvalve::flow {
namespace {

const ServiceName kModels("models");
const Instant kStart{Seconds(1000)};

Route MakeRoute(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.prefix = prefix;
  route.shares = {{kModels, 1}};
  return route;
}

TEST_CASE("the route with the longest matching prefix is chosen") {
  DesiredState state(
      3, {MakeRoute("a", "/x/"), MakeRoute("a", "/x/y/"), MakeRoute("b", "/")},
      {}, {});
  struct Row {
    const char* host;
    const char* path;
    const char* route;
  };
  for (const Row& row : {Row{"a", "/x/1", "a/x/"}, Row{"a", "/x/y/1", "a/x/y/"},
                         Row{"a", "/x", ""}, Row{"b", "/anything", "b/"},
                         Row{"c", "/x/1", ""}, Row{"A", "/x/1", ""}}) {
    INFO(row.host << row.path);
    auto route = state.Match(row.host, row.path);
    CHECK((route ? route->name : "") == row.route);
  }
}

TEST_CASE("a host permits only regions that all of its routes permit") {
  Route restricted = MakeRoute("a", "/home/");
  restricted.allowed_regions = {RegionId("north"), RegionId("east")};
  DesiredState state(
      1, {MakeRoute("a", "/free/"), restricted, MakeRoute("b", "/")}, {}, {});
  CHECK(state.HostPermits("a", RegionId("north")));
  CHECK_FALSE(state.HostPermits("a", RegionId("south")));
  CHECK(state.HostPermits("b", RegionId("south")));
}

TEST_CASE("calls of a route are split between services by weight") {
  Route route = MakeRoute("a", "/");
  route.shares = {{ServiceName("one"), 90}, {ServiceName("two"), 10}};
  int second = 0;
  for (uint64_t hash = 0; hash < 1000; ++hash) {
    second += route.ServiceFor(hash).value() == "two" ? 1 : 0;
  }
  CHECK(second == 100);
}

TEST_CASE("the splitter returns complete events and records the last id") {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
  for (size_t step = 1; step <= stream.size(); ++step) {
    INFO("chunk size " << step);
    EventSplitter splitter;
    std::string passed;
    for (size_t at = 0; at < stream.size(); at += step) {
      passed += splitter.Feed(std::string_view{stream}.substr(at, step));
    }
    CHECK(passed == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
    CHECK(splitter.last_id() == 2);
    CHECK(splitter.events() == 2);
    CHECK(splitter.has_partial());
    splitter.DropPartial();
    CHECK(splitter.Feed("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
  }
}

TEST_CASE("the fleet's retries stay within the budget in every window") {
  constexpr size_t kInstances = 7;
  FleetRetryBudgetSettings settings{0.2, 54, Seconds(10)};
  std::vector<FleetRetryBudget> fleet(kInstances, FleetRetryBudget(settings));
  std::vector<Instant> requests;
  std::vector<Instant> retries;
  // Retry storm: each request attempts a retry immediately, and the load
  // alternates between 1x and 10x.
  for (int tick = 0; tick < 6000; ++tick) {
    Instant now = kStart + Millis(5) * tick;
    int load = tick % 2000 < 1000 ? 1 : 10;
    for (int i = 0; i < load; ++i) {
      FleetRetryBudget& instance =
          fleet[static_cast<size_t>(tick + i) % kInstances];
      instance.OnRequest(kModels, now);
      requests.push_back(now);
      if (instance.TryConsume(kModels, kInstances, now)) {
        retries.push_back(now);
      }
    }
  }
  auto in_window = [](const std::vector<Instant>& times, Instant from) {
    auto first = std::lower_bound(times.begin(), times.end(), from);
    auto last =
        std::lower_bound(times.begin(), times.end(), from + Seconds(10));
    return static_cast<double>(last - first);
  };
  for (int start = 0; start < 200; ++start) {
    Instant from = kStart + Millis(100) * start;
    double most = in_window(requests, from);
    most = std::max(most, in_window(requests, from - Seconds(10)));
    most = std::max(most, in_window(requests, from - Seconds(5)));
    INFO("window " << start);
    CHECK(in_window(retries, from) <= 0.2 * most + 54);
  }
  CHECK(retries.size() > 200);
}

InstanceRecord MakeInstance(const std::string& id, const std::string& region) {
  InstanceRecord record;
  record.id = InstanceId(id);
  record.region = RegionId(region);
  record.public_address = id + ":80";
  record.peer_address = id + ":90";
  record.incarnation = 100;
  return record;
}

Heartbeat MakeHeartbeat(const InstanceRecord& from, uint64_t sequence) {
  Heartbeat heartbeat;
  heartbeat.from = from;
  heartbeat.sequence = sequence;
  return heartbeat;
}

const SendLimits kColdLimit{CallsPerSecond(2.4), {}};

TEST_CASE("a cold upstream has one owner, and three keep the rate limit") {
  UpstreamRecord cold;
  cold.id = UpstreamId("u1");
  std::vector<InstanceRecord> members = {MakeInstance("i1", "north"),
                                         MakeInstance("i2", "north"),
                                         MakeInstance("i3", "north")};
  SendLimiter limiter;
  int owners = 0;
  for (const InstanceRecord& self : members) {
    DispatcherSet set(self, kStart - Seconds(10));
    set.SetMembers(members);
    owners += limiter.Allows(cold.id, kColdLimit,
                             set.MaySendLimited(cold, kStart), kStart)
                  ? 1
                  : 0;
  }
  CHECK(owners == 1);
  // Instances with incomplete views of the fleet all act as the owner.
  std::vector<SendLimiter> limiters(3);
  std::vector<Instant> sent;
  for (int ms = 0; ms < 5000; ++ms) {
    Instant now = kStart + Millis(ms);
    for (SendLimiter& it : limiters) {
      if (it.Allows(cold.id, kColdLimit, true, now)) {
        it.OnSent(cold.id, now);
        sent.push_back(now);
      }
    }
  }
  for (Instant from : sent) {
    auto n = std::count_if(sent.begin(), sent.end(), [from](Instant at) {
      return at >= from && at < from + Seconds(1);
    });
    CHECK(static_cast<double>(n) <= 2.4 * 1.5 + 3);
  }
}

TEST_CASE("an instance is routable only while its heartbeats arrive") {
  FleetView view(MakeInstance("me", "north"));
  InstanceRecord other = MakeInstance("other", "north");
  const RegionId north("north");
  view.Register(other, kStart);
  CHECK(view.RoutableInstances(north, kStart).size() == 2);
  // A registration without heartbeats expires.
  CHECK(view.RoutableInstances(north, kStart + Seconds(3)).size() == 1);
  CHECK(view.UnresponsiveInstances(kStart).empty());
  CHECK(view.UnresponsiveInstances(kStart + Seconds(3)) == std::set{other.id});
  CHECK(view.OnHeartbeat(MakeHeartbeat(other, 1), kStart + Seconds(3)));
  CHECK(view.UnresponsiveInstances(kStart + Seconds(4)).empty());
  CHECK(view.RoutableInstances(north, kStart + Seconds(4)).size() == 2);
  CHECK_FALSE(view.OnHeartbeat(MakeHeartbeat(other, 1), kStart + Seconds(4)));
  CHECK(view.RoutableInstances(north, kStart + Seconds(5)).size() == 1);
  other.is_draining = true;
  CHECK(view.OnHeartbeat(MakeHeartbeat(other, 2), kStart + Seconds(5)));
  CHECK(view.RoutableInstances(north, kStart + Seconds(5)).size() == 1);
  CHECK(view.LiveInstances(north, kStart + Seconds(5)).size() == 1);
}

TEST_CASE("heartbeat ages of the region's other instances are added up") {
  FleetView view(MakeInstance("me", "north"));
  CHECK(view.TotalHeartbeatAge(kStart) == Micros::zero());
  view.OnHeartbeat(MakeHeartbeat(MakeInstance("one", "north"), 1), kStart);
  view.OnHeartbeat(MakeHeartbeat(MakeInstance("two", "north"), 1),
                   kStart + Millis(100));
  view.OnHeartbeat(MakeHeartbeat(MakeInstance("far", "south"), 1), kStart);
  CHECK(view.TotalHeartbeatAge(kStart + Millis(300)) == Millis(500));
  // An instance whose heartbeats timed out no longer counts.
  CHECK(view.TotalHeartbeatAge(kStart + Millis(1250)) == Millis(1150));
}

TEST_CASE(
    "an older incarnation is accepted after the heartbeat gap of a restart") {
  FleetView view(MakeInstance("me", "north"));
  InstanceRecord old_start = MakeInstance("other", "north");
  InstanceRecord new_start = old_start;
  new_start.incarnation = 50;
  new_start.public_address = "other:81";
  CHECK(view.OnHeartbeat(MakeHeartbeat(old_start, 9), kStart));
  CHECK_FALSE(
      view.OnHeartbeat(MakeHeartbeat(new_start, 1), kStart + Millis(100)));
  CHECK(view.OnHeartbeat(MakeHeartbeat(new_start, 2), kStart + Seconds(1)));
  auto entries = view.LiveInstances(RegionId("north"), kStart + Seconds(1));
  REQUIRE(entries.size() == 1);
  CHECK(entries[0].public_address == "other:81");
}

// Guards against a running instance that counts as draining, or as elsewhere.
TEST_CASE("late heartbeats of a process that has ended do not bring it back") {
  struct Row {
    const char* name;
    bool is_quiet;
    Millis silence;
    std::vector<uint64_t> sequences;
  };
  const std::vector<Row> rows = {
      {"one, between two heartbeats", false, Millis(500), {7}},
      {"some at once", false, Millis(500), {7, 8, 9}},
      {"reordered", false, Millis(500), {9, 8, 7}},
      {"one, to an instance that sends none", true, Millis(5000), {7}},
      {"some, to an instance that sends none", true, Millis(5000), {7, 8, 9}},
  };
  const RegionId north("north");
  for (const Row& row : rows) {
    INFO(row.name);
    FleetView view(MakeInstance("me", "north"));
    InstanceRecord current = MakeInstance("other", "north");
    InstanceRecord ended = current;
    ended.incarnation = 50;
    ended.public_address = "other:81";
    ended.is_draining = true;
    view.Register(current, kStart);
    if (row.is_quiet) {
      view.SetExpectedSenders({}, kStart);
    } else {
      view.SetExpectedSenders({current.id}, kStart);
      REQUIRE(view.OnHeartbeat(MakeHeartbeat(current, 1), kStart));
    }
    Instant at = kStart + row.silence;
    for (uint64_t sequence : row.sequences) {
      CHECK_FALSE(view.OnHeartbeat(MakeHeartbeat(ended, sequence), at));
    }
    auto routable = view.RoutableInstances(north, at);
    REQUIRE(routable.size() == 2);
    CHECK(routable[1].public_address == current.public_address);
  }
}

Forecast MakeForecast(Millis first, Millis end, double time_per_token = 0) {
  Forecast forecast;
  forecast.first_byte = first;
  forecast.finish = end;
  forecast.time_per_token_ratio = time_per_token;
  return forecast;
}

DispatchInput MakeModelCall() {
  DispatchInput input;
  input.is_model_call = true;
  input.time_to_target = Millis(800);
  input.time_to_deadline = Millis(3000);
  input.remote_round_trip = Millis(110);
  input.max_time_per_token_us = 20'000;
  return input;
}

RegionCapacity MakeRegionCapacity(const std::string& region, Millis wait) {
  RegionCapacity region_capacity;
  region_capacity.region = RegionId(region);
  region_capacity.capacity.upstreams = 3;
  region_capacity.capacity.wait = wait;
  region_capacity.capacity.prefill_tokens_per_ms = 50;
  return region_capacity;
}

TEST_CASE("dispatch chooses between local, remote and refusal") {
  struct Row {
    const char* name;
    std::optional<Forecast> local;
    std::vector<RegionCapacity> remote_capacities;
    int rank;
    DispatchKind expected;
  };
  const std::vector<Row> rows = {
      {"local capacity",
       MakeForecast(Millis(200), Millis(900)),
       {MakeRegionCapacity("east", Millis(0))},
       0,
       DispatchKind::kLocal},
      {"late locally, remote capacity",
       MakeForecast(Millis(900), Millis(1800)),
       {MakeRegionCapacity("west", Millis(600)),
        MakeRegionCapacity("east", Millis(50))},
       0,
       DispatchKind::kRemote},
      {"remote barely better",
       MakeForecast(Millis(600), Millis(900)),
       {MakeRegionCapacity("east", Millis(450))},
       0,
       DispatchKind::kLocal},
      {"late everywhere",
       MakeForecast(Millis(1500), Millis(2400)),
       {MakeRegionCapacity("east", Millis(1600))},
       0,
       DispatchKind::kRefuse},
      {"no upstream in any region", std::nullopt, {}, 0, DispatchKind::kRefuse},
      {"no local upstream, one remote",
       std::nullopt,
       {MakeRegionCapacity("east", Millis(10))},
       0,
       DispatchKind::kRemote},
      {"tokens too slow for a less urgent call",
       MakeForecast(Millis(200), Millis(900), 1.0),
       {},
       1,
       DispatchKind::kRefuse},
      {"same time per token for an urgent call",
       MakeForecast(Millis(200), Millis(900), 1.0),
       {},
       0,
       DispatchKind::kLocal},
      {"tokens too slow for any call",
       MakeForecast(Millis(200), Millis(900), 3.1),
       {},
       0,
       DispatchKind::kRefuse},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    DispatchInput input = MakeModelCall();
    input.local = row.local;
    input.remote_capacities = row.remote_capacities;
    input.rank = row.rank;
    DispatchDecision decision = DecideDispatch(input);
    CHECK(decision.kind == row.expected);
    if (decision.kind == DispatchKind::kRemote) {
      CHECK(decision.region.value() == "east");
    }
    if (decision.kind == DispatchKind::kRefuse) {
      CHECK(decision.retry_after > Millis::zero());
    }
  }
}

TEST_CASE(
    "a prompt too long for the objective is admitted if others are not late") {
  struct Row {
    const char* name;
    Millis own_prefill_time;
    Millis first_byte;
    double time_per_token;
    DispatchKind expected;
  };
  const std::vector<Row> rows = {
      {"alone on an idle upstream", Millis(900), Millis(920), 0.2,
       DispatchKind::kLocal},
      {"other calls are queued", Millis(900), Millis(1200), 0.2,
       DispatchKind::kRefuse},
      {"the engines are busy", Millis(900), Millis(920), 0.7,
       DispatchKind::kRefuse},
      {"late because of other prompts", Millis(100), Millis(920), 0.2,
       DispatchKind::kRefuse},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    DispatchInput input = MakeModelCall();
    input.local =
        MakeForecast(row.first_byte, Millis(1500), row.time_per_token);
    input.local->own_prefill_time = row.own_prefill_time;
    CHECK(DecideDispatch(input).kind == row.expected);
  }
}

TEST_CASE("calls are forwarded from a failing region to a healthy one") {
  struct Row {
    const char* name;
    double own_region;
    double west;
    double east;
    DispatchKind expected;
  };
  const std::vector<Row> rows = {
      {"no failures", 0, 0, 0, DispatchKind::kLocal},
      {"few local failures", 0.1, 0, 0, DispatchKind::kLocal},
      {"half of the local calls", 0.5, 0.5, 0, DispatchKind::kRemote},
      {"same rate in all regions", 0.5, 0.5, 0.5, DispatchKind::kLocal},
      {"higher rate in other regions", 0.4, 0.9, 0.9, DispatchKind::kLocal},
  };
  for (const Row& row : rows) {
    for (bool is_model_call : {true, false}) {
      INFO(row.name << (is_model_call ? ", model" : ", plain"));
      DispatchInput input = MakeModelCall();
      input.is_model_call = is_model_call;
      input.local = MakeForecast(Millis(40), Millis(60));
      input.local->failure_rate = row.own_region;
      input.remote_capacities = {MakeRegionCapacity("west", Millis(0)),
                                 MakeRegionCapacity("east", Millis(0))};
      input.remote_capacities[0].capacity.failure_rate = row.west;
      input.remote_capacities[1].capacity.failure_rate = row.east;
      DispatchDecision decision = DecideDispatch(input);
      CHECK(decision.kind == row.expected);
      if (decision.kind == DispatchKind::kRemote) {
        CHECK(decision.region.value() == "east");
      }
    }
  }
}

TEST_CASE("failure rates alone never cause a refusal") {
  DispatchInput input = MakeModelCall();
  input.local = MakeForecast(Millis(200), Millis(900));
  input.local->failure_rate = 1;
  CHECK(DecideDispatch(input).kind == DispatchKind::kLocal);
}

TEST_CASE("retry times of refused callers are spread") {
  std::set<Millis> times;
  for (int i = 0; i < 20; ++i) {
    DispatchInput input = MakeModelCall();
    input.local = MakeForecast(Millis(1500), Millis(2400));
    input.retry_jitter = i / 20.0;
    times.insert(DecideDispatch(input).retry_after);
  }
  CHECK(times.size() == 20);
  // No retry before the predicted excess over the objective has passed.
  CHECK(*times.begin() >= Millis(700));
}

TEST_CASE("scarce capacity goes to callers that can still be in time") {
  struct Row {
    const char* name;
    Millis first_byte;
    double time_per_token;
    DispatchKind in_time;
    DispatchKind late;
  };
  const std::vector<Row> rows = {
      {"ample capacity", Millis(300), 0.2, DispatchKind::kLocal,
       DispatchKind::kLocal},
      {"little capacity", Millis(600), 0.2, DispatchKind::kLocal,
       DispatchKind::kRefuse},
      {"slow tokens", Millis(300), 0.7, DispatchKind::kLocal,
       DispatchKind::kRefuse},
      {"no capacity", Millis(900), 0.2, DispatchKind::kRefuse,
       DispatchKind::kRefuse},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    DispatchInput input = MakeModelCall();
    input.rank = 1;
    input.local =
        MakeForecast(row.first_byte, Millis(1200), row.time_per_token);
    CHECK(DecideDispatch(input).kind == row.in_time);
    input.is_late = true;
    CHECK(DecideDispatch(input).kind == row.in_time);
    input.refusal_rate = 0.6;
    CHECK(DecideDispatch(input).kind == row.late);
    input.is_late = false;
    CHECK(DecideDispatch(input).kind == row.in_time);
  }
}

TEST_CASE("retries barely change the estimated limit of first attempts") {
  UpstreamRegistry registry((RegionId("north")));
  const ServiceName service("s");
  for (int i = 0; i < 60; ++i) {
    Millis stated(i % 3 == 0 ? 2700 : 3300);
    registry.RankProfileOf(service, 0, 100, stated);
  }
  for (int i = 0; i < 30; ++i) {
    registry.RankProfileOf(service, 0, 100, Millis(1000));
  }
  double first = registry.RankProfileOf(service, 0, 100, Millis(1000))
                     .first_attempt_limit_us;
  CHECK(first > 2.6e6);
  CHECK(first <= 3.3e6);
}

TEST_CASE("retry delays grow with the refusal rate") {
  DispatchInput input = MakeModelCall();
  input.local = MakeForecast(Millis(900), Millis(2400));
  Millis without_refusals = DecideDispatch(input).retry_after;
  input.refusal_rate = 0.9;
  Millis under_refusals = DecideDispatch(input).retry_after;
  CHECK(without_refusals < Millis(300));
  CHECK(under_refusals > Millis(600));
  // Callers retry within a third of their remaining time.
  CHECK(under_refusals <= input.time_to_deadline / 3);
}

TEST_CASE("the refusal rate is learned per rank") {
  UpstreamRegistry registry{RegionId("north")};
  registry.RankProfileOf(kModels, 0, 100, Seconds(3));
  registry.RankProfileOf(kModels, 1, 1000, Seconds(12));
  for (int i = 0; i < 100; ++i) {
    registry.LearnRefusal(kModels, 1, i % 2 == 0);
    registry.LearnRefusal(kModels, 0, false);
  }
  const auto& rank_profiles = registry.ProfileOf(kModels).rank_profiles;
  CHECK(rank_profiles.at(0).refusal_rate == 0);
  CHECK(rank_profiles.at(1).refusal_rate == Approx(0.5).margin(0.1));
}

TEST_CASE("the tolerated time per token covers all ranks") {
  UpstreamRegistry registry{RegionId("north")};
  registry.RankProfileOf(kModels, 0, 100, Seconds(3));
  registry.RankProfileOf(kModels, 1, 1000, Seconds(12));
  double before = registry.ProfileOf(kModels).MaxTimePerTokenUs();
  for (int i = 0; i < 200; ++i) {
    registry.LearnOutput(kModels, 1, 800);
  }
  double after = registry.ProfileOf(kModels).MaxTimePerTokenUs();
  CHECK(after < before);
  CHECK(after == Approx(0.6 * 12e6 / 800).epsilon(0.01));
}

}  // namespace
}  // namespace basilvalve::flow
