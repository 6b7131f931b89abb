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

Candidate IdleCandidate(uint32_t handle) {
  Candidate candidate;
  candidate.handle = handle;
  candidate.slots = 16;
  candidate.prefill_rate = 4000;
  candidate.mean_service_time = Seconds(2);
  return candidate;
}

TEST_CASE(
    "the predicted time to first token follows load, cache and slowness") {
  PromptSize prompt{400};
  PeerLoadModel single_instance;
  Micros idle =
      PredictTimeToFirstToken(IdleCandidate(0), prompt, single_instance);
  CHECK(idle == Millis(100));
  struct Row {
    const char* name;
    void (*change)(Candidate*);
    int64_t ms;
  };
  std::vector<Row> rows = {
      {"backlog", [](Candidate* c) { c->backlog_tokens = 4000; }, 1100},
      {"backlog drained since the report",
       [](Candidate* c) {
         c->backlog_tokens = 4000;
         c->age = Seconds(1);
       },
       100},
      {"own tokens since the report",
       [](Candidate* c) { c->tokens_since_report = 800; }, 300},
      {"cached prefix", [](Candidate* c) { c->cached_tokens = 200; }, 50},
      {"all slots busy", [](Candidate* c) { c->running = 16; }, 225},
      {"slower than its reports predict", [](Candidate* c) { c->slowness = 3; },
       300},
  };
  for (const Row& row : rows) {
    Candidate candidate = IdleCandidate(0);
    row.change(&candidate);
    INFO(row.name);
    CHECK(PredictTimeToFirstToken(candidate, prompt, single_instance) ==
          Millis(row.ms));
  }
  Candidate sent = IdleCandidate(0);
  sent.tokens_since_report = 800;
  CHECK(PredictTimeToFirstToken(sent, prompt, {8, 0.25}) >
        PredictTimeToFirstToken(sent, prompt, single_instance));
}

TEST_CASE(
    "every strategy chooses a valid candidate, or none if there are none") {
  std::vector<Candidate> candidates = {IdleCandidate(0), IdleCandidate(1),
                                       IdleCandidate(2)};
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

TEST_CASE(
    "the predicted strategy spreads over equal upstreams and avoids a loaded "
    "one") {
  std::vector<Candidate> candidates;
  for (uint32_t i = 0; i < 10; ++i) {
    candidates.push_back(IdleCandidate(i));
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

std::vector<double> MatchedTokens(const PrefixIndex& index,
                                  const std::vector<uint64_t>& blocks) {
  std::vector<double> tokens;
  index.Match(blocks, {0, 1}, &tokens);
  return tokens;
}

TEST_CASE(
    "the prefix index matches contiguous prefixes and halves their weight "
    "after an event gap") {
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
  CHECK(MatchedTokens(index, blocks) == std::vector<double>{256, 64});
  index.Remove(blocks[3], 0);
  CHECK(MatchedTokens(index, blocks) == std::vector<double>{192, 64});
  index.OnEventGap(0);
  CHECK(MatchedTokens(index, blocks) == std::vector<double>{96, 64});
  index.Insert(blocks, 0);
  CHECK(MatchedTokens(index, blocks) == std::vector<double>{256, 64});
  index.Forget(0);
  CHECK(MatchedTokens(index, blocks) == std::vector<double>{0, 64});
}

TEST_CASE("the prefix index is bounded by its capacity") {
  PrefixIndex index(64);
  for (uint64_t i = 0; i < 10000; ++i) {
    index.Insert({i}, 0);
  }
  int held = 0;
  for (uint64_t i = 0; i < 10000; ++i) {
    held += MatchedTokens(index, {i})[0] > 0 ? 1 : 0;
  }
  CHECK(held <= 64);
}

TEST_CASE("the link budget is divided between the region's instances") {
  LinkSettings settings;
  settings.bytes_per_second = 1000;
  LinkBudget budget(settings);
  budget.SetInstances(5);  // 100 bytes per second for each
  RegionId region("nuremberg");
  Instant start(Seconds(1));
  CHECK(budget.TryTake(region, 60, start));
  CHECK_FALSE(budget.TryTake(region, 60, start));
  CHECK(budget.TryTake(region, 60, start + Millis(300)));
  CHECK(budget.TryTake(RegionId("augsburg"), 100, start));
  CHECK(budget.TransferTime(500) == Millis(500));
}

TEST_CASE("forwarding has hysteresis and ramps up gradually") {
  ForwardingController controller({});
  Random random(3);
  RegionId region("nuremberg");
  Micros target = Millis(1000);
  Micros remote_prediction = Millis(100);
  auto count_forwarded = [&](Micros local, Instant reconnected_at,
                             Instant now) {
    int forwarded = 0;
    for (int i = 0; i < 1000; ++i) {
      forwarded += controller.Allows(region, local, remote_prediction, target,
                                     false, reconnected_at, now, &random)
                       ? 1
                       : 0;
    }
    return forwarded;
  };
  Instant start(Seconds(100));
  CHECK(count_forwarded(Millis(700), {}, start) ==
        0);  // below the start threshold
  int initial_count = count_forwarded(Millis(900), {},
                                      start);  // active, with the initial share
  CHECK(initial_count > 50);
  CHECK(initial_count < 160);
  CHECK(count_forwarded(Millis(700), {}, start + Seconds(20)) ==
        1000);  // between the thresholds: still active
  int cold_count =
      count_forwarded(Millis(700), start + Seconds(19), start + Seconds(20));
  CHECK(cold_count < 200);  // recently reconnected: the cold ramp applies
  CHECK(count_forwarded(Millis(400), {}, start + Seconds(21)) ==
        0);  // below the stop threshold: inactive
  CHECK(count_forwarded(Millis(700), {}, start + Seconds(22)) ==
        0);  // between the thresholds: still inactive
  CHECK_FALSE(controller.Allows(region, Millis(900), Millis(850), target, false,
                                {}, start, &random));
}

RouteInput InputWithCandidates(size_t local) {
  RouteInput input;
  input.now = Instant(Seconds(100));
  for (size_t i = 0; i < local; ++i) {
    input.local.push_back(IdleCandidate(static_cast<uint32_t>(i)));
  }
  input.prompt.tokens = 400;
  input.target = Millis(1000);
  input.remaining = Seconds(10);
  return input;
}

TEST_CASE("the router runs a call locally, forwards it or refuses it") {
  Router router({}, 1);
  CHECK(router.Route(InputWithCandidates(3)).kind == RouteKind::kLocal);
  RouteDecision no_upstream = router.Route(InputWithCandidates(0));
  CHECK(no_upstream.kind == RouteKind::kRefuse);
  CHECK(no_upstream.refusal == ResultCode::kNoUpstream);

  RouteInput short_deadline = InputWithCandidates(2);
  short_deadline.remaining = Millis(90);
  RouteDecision refused = router.Route(short_deadline);
  CHECK(refused.kind == RouteKind::kRefuse);
  CHECK(refused.refusal == ResultCode::kDeadlineTooShort);
  CHECK(refused.retry_after >= Millis(200));

  RouteInput forwardable = InputWithCandidates(0);
  forwardable.remote = {{RegionId("nuremberg"), Millis(100), Millis(55), {}}};
  int forwarded = 0;
  for (int i = 0; i < 200; ++i) {
    forwardable.now += Millis(100);
    forwarded += router.Route(forwardable).kind == RouteKind::kRemote ? 1 : 0;
  }
  CHECK(forwarded > 100);
  forwardable.may_forward = false;
  CHECK(router.Route(forwardable).kind == RouteKind::kRefuse);
}

platform::ListedInstance Listed(const std::string& id) {
  platform::ListedInstance listed;
  listed.id = id;
  listed.models = {ModelName("m")};
  return listed;
}

TEST_CASE(
    "an upstream that is leaving, draining or not listed gets no new calls") {
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

TEST_CASE("excluded upstreams are candidates only if there are no others") {
  Instant now(Seconds(100));
  UpstreamTable table({}, {});
  table.Refresh({Listed("a"), Listed("b")});
  uint32_t a = *table.HandleOf(UpstreamId("a"));
  uint32_t b = *table.HandleOf(UpstreamId("b"));
  REQUIRE(table.ModelCandidates(ModelName("m"), {a}, now).size() == 1);
  CHECK(table.ModelCandidates(ModelName("m"), {a}, now)[0].handle == b);
  CHECK(table.ModelCandidates(ModelName("m"), {a, b}, now).size() == 2);
}

TEST_CASE("calls, load reports and results update the state of an upstream") {
  Instant now(Seconds(100));
  UpstreamTable table({}, {});
  table.Refresh({Listed("a")});
  uint32_t a = *table.HandleOf(UpstreamId("a"));
  auto snapshot = [&] {
    return table.ModelCandidates(ModelName("m"), {}, now).at(0);
  };
  REQUIRE(table.Start(a, 300, now).has_value());
  CHECK(snapshot().own_in_flight == 1);
  CHECK(snapshot().tokens_since_report == 300);
  table.OnFirstToken(a, 300, Millis(100), Millis(400), true, now);
  CHECK(snapshot().slowness > 1.5);
  table.End(a, 0, UpstreamCallResult::kSuccess, Seconds(2), now);
  CHECK(snapshot().own_in_flight == 0);
  CHECK(snapshot().mean_service_time == Seconds(2));
  table.OnReport(UpstreamId("a"), LoadReport(), now);
  CHECK(snapshot().tokens_since_report ==
        0);  // sent before the report was taken
  CHECK(snapshot().own_pending_tokens == 0);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(table.Start(a, 1, now).has_value());
    table.End(a, 0, UpstreamCallResult::kFailed, Seconds(0), now);
  }
  CHECK(table.ModelCandidates(ModelName("m"), {}, now).empty());
}

TEST_CASE("a delayed load report keeps the calls sent after it was taken") {
  Instant now(Seconds(100));
  UpstreamTable table({}, {});
  table.Refresh({Listed("a")});
  uint32_t a = *table.HandleOf(UpstreamId("a"));
  REQUIRE(table.Start(a, 100, now - Seconds(20)).has_value());
  REQUIRE(table.Start(a, 200, now - Seconds(2)).has_value());
  LoadReport delayed;
  delayed.lag = Seconds(10);
  table.OnReport(UpstreamId("a"), delayed, now);
  Candidate observed = table.ModelCandidates(ModelName("m"), {}, now).at(0);
  CHECK(observed.calls_since_report == 1);
  CHECK(observed.tokens_since_report == 200);
  CHECK(observed.own_pending_tokens == 300);
  CHECK(observed.age == Seconds(10));
}

TEST_CASE(
    "without load reports the prediction depends on own calls in flight") {
  Instant now(Seconds(100));
  UpstreamTable table({}, {});
  table.Refresh({Listed("a")});
  uint32_t a = *table.HandleOf(UpstreamId("a"));
  auto predict = [&] {
    return PredictTimeToFirstToken(
        table.ModelCandidates(ModelName("m"), {}, now).at(0), {400}, {3, 0.25});
  };
  CHECK(predict() == Millis(100));
  // Finished calls do not affect the prediction, whatever their number.
  for (int i = 0; i < 300; ++i) {
    REQUIRE(table.Start(a, 400, now).has_value());
    table.OnFirstToken(a, 400, Millis(100), Millis(100), true, now);
    table.End(a, 0, UpstreamCallResult::kSuccess, Seconds(2), now);
  }
  CHECK(predict() == Millis(100));
  REQUIRE(table.Start(a, 400, now).has_value());
  CHECK(predict() > Millis(350));
}

TEST_CASE("upstream subsets are bounded and use every upstream equally") {
  std::vector<platform::ListedInstance> upstreams;
  for (int i = 0; i < 1000; ++i) {
    upstreams.push_back(Listed("u" + std::to_string(i)));
  }
  SubsetSettings settings;
  std::map<std::string, int> users_by_upstream;
  std::vector<std::string> instances;
  instances.reserve(100);
  for (int instance = 0; instance < 100; ++instance) {
    instances.push_back("n" + std::to_string(instance));
  }
  for (const std::string& instance : instances) {
    std::vector<platform::ListedInstance> subset =
        UpstreamSubset(upstreams, instances, instance, settings);
    CHECK(subset.size() > settings.mean_upstreams / 2);
    CHECK(subset.size() < settings.mean_upstreams * 2);
    for (const platform::ListedInstance& it : subset) {
      ++users_by_upstream[it.id];
    }
  }
  CHECK(users_by_upstream.size() == upstreams.size());
  for (const auto& [id, users] : users_by_upstream) {
    CHECK(users == 6);
  }
  CHECK(UpstreamSubset(upstreams, {}, "n0", settings).empty());
  CHECK(ReportPeriod(64, settings) >= Seconds(10));
  CHECK(ReportPeriod(7, settings) >= Seconds(1));
}

}  // namespace
}  // namespace basilvalve::routing
