#include <catch2/catch.hpp>
#include <set>

#include "Core/Routing/chooser.h"
#include "Core/Routing/forwarding_controller.h"
#include "Core/Routing/link_budget.h"
#include "Core/Routing/prefix_index.h"
#include "Core/Routing/router.h"
#include "Core/Routing/upstream_subset.h"
#include "Core/Routing/upstream_table.h"

namespace basilvalve::routing {
namespace {

Candidate Idle(uint32_t handle) {
  Candidate candidate;
  candidate.handle = handle;
  candidate.slots = 16;
  candidate.prefill_rate = 4000;
  candidate.mean_service_time = Seconds(2);
  return candidate;
}

TEST_CASE("what a prediction grows and shrinks with") {
  PromptShape prompt{400};
  CrowdModel alone;
  Micros idle = PredictTimeToFirstToken(Idle(0), prompt, alone);
  CHECK(idle == Millis(100));
  struct Row {
    const char* name;
    void (*change)(Candidate*);
    int64_t ms;
  };
  std::vector<Row> rows = {
      {"backlog", [](Candidate* c) { c->backlog_tokens = 4000; }, 1100},
      {"backlog worked off since",
       [](Candidate* c) {
         c->backlog_tokens = 4000;
         c->age = Seconds(1);
       },
       100},
      {"own sends since", [](Candidate* c) { c->own_tokens = 800; }, 300},
      {"cached beginning", [](Candidate* c) { c->cached_tokens = 200; }, 50},
      {"slots full", [](Candidate* c) { c->running = 16; }, 225},
      {"slow without saying so", [](Candidate* c) { c->slowness = 3; }, 300},
  };
  for (const Row& row : rows) {
    Candidate candidate = Idle(0);
    row.change(&candidate);
    INFO(row.name);
    CHECK(PredictTimeToFirstToken(candidate, prompt, alone) == Millis(row.ms));
  }
  Candidate sent = Idle(0);
  sent.own_tokens = 800;
  CHECK(PredictTimeToFirstToken(sent, prompt, {8, 0.25}) >
        PredictTimeToFirstToken(sent, prompt, alone));
}

TEST_CASE("every strategy chooses a candidate, and none without candidates") {
  std::vector<Candidate> candidates = {Idle(0), Idle(1), Idle(2)};
  candidates[1].running = 10;
  candidates[2].own_in_flight = 4;
  Random random(1);
  for (int i = 0; i <= static_cast<int>(ChooserKind::kPredicted); ++i) {
    auto kind = static_cast<ChooserKind>(i);
    std::unique_ptr<Chooser> chooser = CreateChooser(kind);
    INFO(ChooserName(kind));
    for (int n = 0; n < 50; ++n) {
      std::optional<Choice> choice =
          chooser->Choose({candidates, {100}, {}, 5}, &random);
      REQUIRE(choice.has_value());
      CHECK(choice->index < candidates.size());
    }
    CHECK_FALSE(chooser->Choose({{}, {100}, {}, 5}, &random).has_value());
  }
}

TEST_CASE("the predicted strategy spreads over equals and avoids the loaded") {
  std::vector<Candidate> candidates;
  for (uint32_t i = 0; i < 10; ++i) {
    candidates.push_back(Idle(i));
  }
  candidates[3].backlog_tokens = 100000;
  std::unique_ptr<Chooser> chooser = CreateChooser(ChooserKind::kPredicted);
  Random random(2);
  std::map<size_t, int> counts;
  for (int i = 0; i < 9000; ++i) {
    ++counts[chooser->Choose({candidates, {400}, {8, 0.25}, 5}, &random)
                 ->index];
  }
  CHECK(counts[3] == 0);
  for (size_t i = 0; i < 10; ++i) {
    CHECK((i == 3 || (counts[i] > 800 && counts[i] < 1200)));
  }
  candidates[7].cached_tokens = 390;
  CHECK(chooser->Choose({candidates, {400}, {8, 0.25}, 5}, &random)->index ==
        7);
}

std::vector<double> MatchAll(const PrefixIndex& index,
                             const std::vector<uint64_t>& blocks) {
  std::vector<double> tokens;
  index.Match(blocks, {0, 1}, &tokens);
  return tokens;
}

TEST_CASE(
    "the prefix index counts unbroken beginnings and halves trust after a "
    "gap") {
  std::string prompt(kPrefixBlockBytes * 4, 'a');
  std::vector<uint64_t> blocks = HashPrefixBlocks(prompt, 64);
  REQUIRE(blocks.size() == 4);
  std::string other = prompt;
  other[kPrefixBlockBytes * 2] = 'b';
  CHECK(HashPrefixBlocks(other, 64)[1] == blocks[1]);
  CHECK(HashPrefixBlocks(other, 64)[2] != blocks[2]);
  CHECK(HashPrefixBlocks(prompt, 2).size() == 2);

  PrefixIndex index(1000);
  index.Insert(blocks, 0);
  index.Insert({blocks[0], blocks[2]}, 1);
  CHECK(MatchAll(index, blocks) == std::vector<double>{256, 64});
  index.Remove(blocks[3], 0);
  CHECK(MatchAll(index, blocks) == std::vector<double>{192, 64});
  index.OnEventGap(0);
  CHECK(MatchAll(index, blocks) == std::vector<double>{96, 64});
  index.Insert(blocks, 0);
  CHECK(MatchAll(index, blocks) == std::vector<double>{256, 64});
  index.Forget(0);
  CHECK(MatchAll(index, blocks) == std::vector<double>{0, 64});
}

TEST_CASE("the prefix index is bounded") {
  PrefixIndex index(64);
  for (uint64_t i = 0; i < 10000; ++i) {
    index.Insert({i}, 0);
  }
  int held = 0;
  for (uint64_t i = 0; i < 10000; ++i) {
    held += MatchAll(index, {i})[0] > 0 ? 1 : 0;
  }
  CHECK(held <= 64);
}

TEST_CASE("the link budget is shared by the region's instances") {
  LinkSettings settings;
  settings.bytes_per_second = 1000;
  LinkBudget budget(settings);
  budget.SetInstances(5);  // 100 bytes a second each
  RegionId region("nuremberg");
  Instant start(Seconds(1));
  CHECK(budget.TryTake(region, 60, start));
  CHECK_FALSE(budget.TryTake(region, 60, start));
  CHECK(budget.TryTake(region, 60, start + Millis(300)));
  CHECK(budget.TryTake(RegionId("augsburg"), 100, start));
  CHECK(budget.TransferTime(500) == Millis(500));
}

TEST_CASE("sending away starts late, ends early and grows slowly") {
  ForwardingController away({});
  Random random(3);
  RegionId region("nuremberg");
  Micros target = Millis(1000);
  Micros good = Millis(100);
  auto share = [&](Micros local, Instant returned, Instant now) {
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
      sent += away.Allows(region, local, good, target, false, returned, now,
                          &random)
                  ? 1
                  : 0;
    }
    return sent;
  };
  Instant start(Seconds(100));
  CHECK(share(Millis(700), {}, start) == 0);  // not yet over the start
  int first = share(Millis(900), {}, start);  // on, with the initial share
  CHECK(first > 50);
  CHECK(first < 160);
  CHECK(share(Millis(700), {}, start + Seconds(20)) ==
        1000);  // between stop and start: still on
  int cold = share(Millis(700), start + Seconds(19), start + Seconds(20));
  CHECK(cold < 200);  // its caches are cold
  CHECK(share(Millis(400), {}, start + Seconds(21)) ==
        0);  // below the stop: off
  CHECK(share(Millis(700), {}, start + Seconds(22)) == 0);  // and stays off
  CHECK_FALSE(away.Allows(region, Millis(900), Millis(850), target, false, {},
                          start, &random));
}

RouteInput InputWith(size_t local) {
  RouteInput input;
  input.now = Instant(Seconds(100));
  for (size_t i = 0; i < local; ++i) {
    input.local.push_back(Idle(static_cast<uint32_t>(i)));
  }
  input.prompt.tokens = 400;
  input.target = Millis(1000);
  input.remaining = Seconds(10);
  return input;
}

TEST_CASE("the router's decisions") {
  Router router({}, 1);
  CHECK(router.Route(InputWith(3)).kind == RouteKind::kLocal);
  RouteDecision none = router.Route(InputWith(0));
  CHECK(none.kind == RouteKind::kRefuse);
  CHECK(none.refusal == ResultCode::kNoUpstream);

  RouteInput hurried = InputWith(2);
  hurried.remaining = Millis(90);
  RouteDecision refused = router.Route(hurried);
  CHECK(refused.kind == RouteKind::kRefuse);
  CHECK(refused.refusal == ResultCode::kDeadlineTooShort);
  CHECK(refused.retry_after >= Millis(200));

  RouteInput away = InputWith(0);
  away.remote = {{RegionId("nuremberg"), Millis(100), Millis(55), {}}};
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    away.now += Millis(100);
    sent += router.Route(away).kind == RouteKind::kRemote ? 1 : 0;
  }
  CHECK(sent > 100);
  away.may_forward = false;
  CHECK(router.Route(away).kind == RouteKind::kRefuse);
}

platform::ListedInstance Listed(const std::string& id) {
  platform::ListedInstance listed;
  listed.id = id;
  listed.models = {ModelName("m")};
  return listed;
}

TEST_CASE("an upstream that is leaving by any sign gets no new work") {
  Instant now(Seconds(100));
  ModelName model("m");
  auto count = [&](const UpstreamTable& table, Instant at) {
    return table.ModelCandidates(model, {}, at).size();
  };
  UpstreamTable table({}, {});
  table.Refresh({Listed("a"), Listed("b")});
  CHECK(count(table, now) == 2);
  table.MarkLeaving(UpstreamId("a"), now, Seconds(30));
  CHECK(count(table, now) == 1);
  CHECK(count(table, now + Seconds(31)) == 2);
  LoadReport draining;
  draining.draining = true;
  table.OnReport(UpstreamId("a"), draining, now);
  CHECK(count(table, now + Seconds(31)) == 1);
  table.OnReport(UpstreamId("a"), LoadReport(), now);
  platform::ListedInstance leaving = Listed("a");
  leaving.state = platform::ListedState::kLeaving;
  table.Refresh({leaving, Listed("b")});
  CHECK(count(table, now + Seconds(31)) == 1);
  table.Refresh({Listed("b")});
  CHECK(count(table, now + Seconds(31)) == 1);
  CHECK_FALSE(
      table.Start(*table.HandleOf(UpstreamId("a")), 1, now).has_value());
}

TEST_CASE("a retry avoids the upstream that failed while another is there") {
  Instant now(Seconds(100));
  UpstreamTable table({}, {});
  table.Refresh({Listed("a"), Listed("b")});
  uint32_t a = *table.HandleOf(UpstreamId("a"));
  uint32_t b = *table.HandleOf(UpstreamId("b"));
  REQUIRE(table.ModelCandidates(ModelName("m"), {a}, now).size() == 1);
  CHECK(table.ModelCandidates(ModelName("m"), {a}, now)[0].handle == b);
  CHECK(table.ModelCandidates(ModelName("m"), {a, b}, now).size() == 2);
}

TEST_CASE("calls, reports and results change what is known of an upstream") {
  Instant now(Seconds(100));
  UpstreamTable table({}, {});
  table.Refresh({Listed("a")});
  uint32_t a = *table.HandleOf(UpstreamId("a"));
  auto see = [&] {
    return table.ModelCandidates(ModelName("m"), {}, now).at(0);
  };
  REQUIRE(table.Start(a, 300, now).has_value());
  CHECK(see().own_in_flight == 1);
  CHECK(see().own_tokens == 300);
  table.OnFirstToken(a, 300, Millis(100), Millis(400), true, now);
  CHECK(see().slowness > 1.5);
  table.End(a, 0, UpstreamCallResult::kSuccess, Seconds(2), now);
  CHECK(see().own_in_flight == 0);
  CHECK(see().mean_service_time == Seconds(2));
  table.OnReport(UpstreamId("a"), LoadReport(), now);
  CHECK(see().own_tokens == 0);  // sent before the report was taken
  CHECK(see().own_pending_tokens == 0);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(table.Start(a, 1, now).has_value());
    table.End(a, 0, UpstreamCallResult::kFailed, Seconds(0), now);
  }
  CHECK(table.ModelCandidates(ModelName("m"), {}, now).empty());
}

TEST_CASE("a report that lags keeps what was sent after it was taken") {
  Instant now(Seconds(100));
  UpstreamTable table({}, {});
  table.Refresh({Listed("a")});
  uint32_t a = *table.HandleOf(UpstreamId("a"));
  REQUIRE(table.Start(a, 100, now - Seconds(20)).has_value());
  REQUIRE(table.Start(a, 200, now - Seconds(2)).has_value());
  LoadReport late;
  late.lag = Seconds(10);
  table.OnReport(UpstreamId("a"), late, now);
  Candidate seen = table.ModelCandidates(ModelName("m"), {}, now).at(0);
  CHECK(seen.own_calls == 1);
  CHECK(seen.own_tokens == 200);
  CHECK(seen.own_pending_tokens == 300);
  CHECK(seen.age == Seconds(10));
}

TEST_CASE("without reports an upstream is judged by what was sent to it") {
  Instant now(Seconds(100));
  UpstreamTable table({}, {});
  table.Refresh({Listed("a")});
  uint32_t a = *table.HandleOf(UpstreamId("a"));
  auto predict = [&] {
    return PredictTimeToFirstToken(
        table.ModelCandidates(ModelName("m"), {}, now).at(0), {400}, {3, 0.25});
  };
  CHECK(predict() == Millis(100));
  // Finished calls leave nothing behind, however many there were.
  for (int i = 0; i < 300; ++i) {
    REQUIRE(table.Start(a, 400, now).has_value());
    table.OnFirstToken(a, 400, Millis(100), Millis(100), true, now);
    table.End(a, 0, UpstreamCallResult::kSuccess, Seconds(2), now);
  }
  CHECK(predict() == Millis(100));
  REQUIRE(table.Start(a, 400, now).has_value());
  CHECK(predict() > Millis(350));
}

TEST_CASE("subsets are bounded and cover every upstream about equally") {
  std::vector<platform::ListedInstance> upstreams;
  for (int i = 0; i < 1000; ++i) {
    upstreams.push_back(Listed("u" + std::to_string(i)));
  }
  SubsetSettings settings;
  std::map<std::string, int> uses;
  std::vector<std::string> nodes;
  nodes.reserve(100);
  for (int node = 0; node < 100; ++node) {
    nodes.push_back("n" + std::to_string(node));
  }
  for (const std::string& node : nodes) {
    std::vector<platform::ListedInstance> subset =
        UpstreamSubset(upstreams, nodes, node, settings);
    CHECK(subset.size() > settings.mean_upstreams / 2);
    CHECK(subset.size() < settings.mean_upstreams * 2);
    for (const platform::ListedInstance& it : subset) {
      ++uses[it.id];
    }
  }
  CHECK(uses.size() == upstreams.size());
  for (const auto& [id, users] : uses) {
    CHECK(users == 6);
  }
  CHECK(UpstreamSubset(upstreams, {}, "n0", settings).empty());
  CHECK(ReportPeriod(64, settings) >= Seconds(10));
  CHECK(ReportPeriod(7, settings) >= Seconds(1));
}

}  // namespace
}  // namespace basilvalve::routing
