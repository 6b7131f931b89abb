// What upstreams say of their willingness, and which word counts.
#include <catch2/catch.hpp>
#include <functional>

#include "Core/Flow/dispatch_policy.h"
#include "Core/Flow/upstream_registry.h"

namespace basilvalve::flow {
namespace {

const ServiceName kService("service");
const Instant kStart = Instant() + Seconds(1000);

UpstreamRecord MakeRecord(const std::string& id, int64_t started_at_ms = 17) {
  UpstreamRecord record;
  record.id = UpstreamId(id);
  record.service = kService;
  record.host = "10.0.0.1";
  record.port = 80;
  record.region = RegionId("north");
  record.started_at_ms = started_at_ms;
  return record;
}

// Guards against DRAIN: an older word, or one on another process, undoes what
// an upstream said.
TEST_CASE("only a restart takes back what an upstream said of its leaving") {
  struct Row {
    const char* name;
    std::function<void(UpstreamRegistry*, UpstreamRecord)> then;
    bool may_send;
  };
  const std::vector<Row> rows = {
      {"nothing", [](auto*, const auto&) {}, false},
      {"registered as ready",
       [](auto* registry, const auto& record) {
         registry->Upsert(record, kStart + Seconds(1));
       },
       false},
      {"registered as draining, then as ready",
       [](auto* registry, auto record) {
         record.is_draining = true;
         registry->Upsert(record, kStart + Seconds(1));
         record.is_draining = false;
         registry->Upsert(record, kStart + Seconds(2));
       },
       false},
      {"removed with the store away, and back",
       [](auto* registry, const auto& record) {
         registry->Remove(record.id);
         registry->Sweep(kStart + Seconds(1));
         registry->Upsert(record, kStart + Seconds(30));
       },
       false},
      {"all removed, and back",
       [](auto* registry, const auto& record) {
         registry->ReplaceAll({}, kStart + Seconds(1));
         registry->ReplaceAll({record}, kStart + Seconds(2));
       },
       false},
      {"registered without its start",
       [](auto* registry, auto record) {
         record.started_at_ms = 0;
         registry->Upsert(record, kStart + Seconds(1));
       },
       false},
      {"the same process at another address",
       [](auto* registry, auto record) {
         record.port = 81;
         registry->Upsert(record, kStart + Seconds(1));
       },
       false},
      {"restarted under the same id and address",
       [](auto* registry, auto record) {
         record.started_at_ms = 18;
         registry->Upsert(record, kStart + Seconds(1));
       },
       true},
      {"removed, then restarted",
       [](auto* registry, auto record) {
         registry->Remove(record.id);
         record.started_at_ms = 18;
         registry->Upsert(record, kStart + Seconds(1));
       },
       true},
      {"the id given to another service",
       [](auto* registry, auto record) {
         record.service = ServiceName("other");
         registry->Upsert(record, kStart + Seconds(1));
       },
       true},
      {"removed long ago",
       [](auto* registry, const auto& record) {
         registry->Remove(record.id);
         registry->Sweep(kStart + Seconds(1));
         registry->Sweep(kStart + Seconds(700));
         registry->Upsert(record, kStart + Seconds(700));
       },
       true},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamRegistry registry(RegionId("north"));
    UpstreamRecord record = MakeRecord("u1");
    registry.Upsert(record, kStart);
    REQUIRE(registry.CanSendTo(*registry.Find(record.id), kStart));
    registry.Find(record.id)->notice->OnLeaving(NoticeSource::kResponse,
                                                kStart);
    row.then(&registry, record);
    CHECK(registry.CanSendTo(*registry.Find(record.id),
                             kStart + Seconds(700)) == row.may_send);
  }
}

TEST_CASE("an address taken over by another id inherits nothing") {
  UpstreamRegistry registry(RegionId("north"));
  registry.Upsert(MakeRecord("u1"), kStart);
  UpstreamNotice& notice = *registry.Find(UpstreamId("u1"))->notice;
  notice.OnLeaving(NoticeSource::kResponse, kStart);
  notice.OnPause(Seconds(100), kStart);
  registry.Remove(UpstreamId("u1"));
  registry.Upsert(MakeRecord("u2"), kStart);
  CHECK(registry.CanSendTo(*registry.Find(UpstreamId("u2")), kStart));
}

TEST_CASE("a registration takes back its own word only") {
  UpstreamNotice notice(17);
  CHECK(notice.OnRegistered(true, kStart));
  CHECK_FALSE(notice.OnRegistered(true, kStart + Seconds(1)));
  REQUIRE(notice.Leaving());
  CHECK(notice.Leaving()->source == NoticeSource::kRegistration);
  CHECK(notice.Leaving()->at == kStart);
  CHECK(notice.OnRegistered(false, kStart + Seconds(2)));
  CHECK(notice.Allows(kStart + Seconds(2)));
  CHECK(notice.OnLeaving(NoticeSource::kInstance, kStart + Seconds(3)));
  CHECK_FALSE(notice.OnLeaving(NoticeSource::kResponse, kStart + Seconds(4)));
  CHECK_FALSE(notice.OnRegistered(true, kStart + Seconds(5)));
  CHECK_FALSE(notice.OnRegistered(false, kStart + Seconds(6)));
  CHECK(notice.Leaving()->source == NoticeSource::kInstance);
  CHECK_FALSE(notice.Allows(kStart + Seconds(600)));
}

// Guards against BUDGET: a pause ends before the latest time that was stated.
TEST_CASE("a pause lasts to the latest end that was stated") {
  struct Word {
    Millis at;
    Millis pause;
  };
  struct Row {
    const char* name;
    std::vector<Word> words;
    Millis end;
  };
  const std::vector<Row> rows = {
      {"none", {}, Millis(0)},
      {"one", {{Millis(0), Millis(500)}}, Millis(500)},
      {"zero", {{Millis(0), Millis(0)}}, Millis(0)},
      {"negative", {{Millis(0), Millis(-5)}}, Millis(0)},
      {"lengthened",
       {{Millis(0), Millis(500)}, {Millis(100), Millis(900)}},
       Millis(1000)},
      {"shortened",
       {{Millis(0), Millis(900)}, {Millis(100), Millis(200)}},
       Millis(900)},
      {"taken back with zero",
       {{Millis(0), Millis(900)}, {Millis(100), Millis(0)}},
       Millis(900)},
      {"again after its end",
       {{Millis(0), Millis(300)}, {Millis(1000), Millis(200)}},
       Millis(1200)},
      {"a day", {{Millis(0), Seconds(86'400)}}, Seconds(86'400)},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamNotice notice(0);
    for (const Word& word : row.words) {
      notice.OnPause(word.pause, kStart + word.at);
    }
    // The last steps are those of a process that was paused itself.
    CHECK(notice.Allows(kStart + row.end));
    CHECK(notice.Allows(kStart + row.end + Seconds(5)));
    if (row.end > Millis(0)) {
      CHECK_FALSE(notice.Allows(kStart + row.end - Micros(1)));
    }
  }
}

TEST_CASE("a service pauses until its first upstream takes calls again") {
  UpstreamRegistry registry(RegionId("north"));
  CHECK_FALSE(registry.PausedUntil(kService, kStart));
  for (const char* id : {"u1", "u2", "u3"}) {
    registry.Upsert(MakeRecord(id), kStart);
  }
  auto notice = [&](const char* id) {
    return registry.Find(UpstreamId(id))->notice;
  };
  notice("u1")->OnPause(Seconds(9), kStart);
  notice("u2")->OnPause(Seconds(4), kStart);
  CHECK_FALSE(registry.PausedUntil(kService, kStart));
  // One that leaves brings no capacity.
  notice("u3")->OnLeaving(NoticeSource::kResponse, kStart);
  CHECK(registry.PausedUntil(kService, kStart) == kStart + Seconds(4));
  CHECK_FALSE(registry.PausedUntil(kService, kStart + Seconds(4)));
  notice("u1")->OnLeaving(NoticeSource::kResponse, kStart);
  notice("u2")->OnLeaving(NoticeSource::kResponse, kStart);
  CHECK_FALSE(registry.PausedUntil(kService, kStart));
}

// Guards against a herd: callers that were refused together return together.
TEST_CASE("callers refused during a pause return after it, spread out") {
  constexpr int kCallers = 1000;
  constexpr int kSlices = 10;
  std::vector<int> returns(kSlices);
  for (int i = 0; i < kCallers; ++i) {
    DispatchInput input;
    input.time_to_target = Millis(500);
    input.time_to_deadline = Seconds(60);
    input.pause_left = Seconds(5);
    input.retry_jitter = static_cast<double>(i) / kCallers;
    DispatchDecision decision = DecideDispatch(input);
    REQUIRE(decision.kind == DispatchKind::kRefuse);
    REQUIRE(decision.retry_after >= Seconds(5));
    REQUIRE(decision.retry_after <= Seconds(10));
    int64_t late_ms = (decision.retry_after - Seconds(5)).count();
    ++returns[std::min<size_t>(kSlices - 1, late_ms * kSlices / 5000)];
  }
  for (int n : returns) {
    CHECK(n <= 2 * kCallers / kSlices);
  }
}

}  // namespace
}  // namespace basilvalve::flow
