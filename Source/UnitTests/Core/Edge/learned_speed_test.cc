// What an instance learns of its upstreams' speed from the times of calls.
#include <catch2/catch.hpp>

#include "UnitTests/Core/Edge/edge_fixture.h"

namespace basilvalve::edge {
namespace {

using Upstream = ScriptedUpstream;
using Caller = net::ServerConnection::Ptr;
using Request = net::ServerRequest;

const ServiceName kService("service");
constexpr Millis kFreeze{6500};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string Event(int id, const std::string& data = "x") {
  return Upstream::Chunk("id: " + std::to_string(id) + "\ndata: " + data +
                         "\n\n");
}

// An instance with an upstream that answers when the test says so.
class FrozenInstance {
 public:
  FrozenInstance() : fixture_("north", net::TimeSource::kVirtual) {
    fixture_.ApplyDesiredState(1, Millis(20'000));
    fixture_.AddUpstream("u1", [this](const Caller& to, const Request& it) {
      held_.emplace_back(to, it);
    });
    known_ = fixture_.node->registry().Find(UpstreamId("u1"));
  }

  // Sends a call and waits until the upstream has it.
  void Begin(const std::string& path, int tokens = 0) {
    size_t n = held_.size();
    std::string extra =
        tokens > 0 ? "Tokens: " + std::to_string(tokens) + "\r\n" : "";
    callers_.push_back(fixture_.Call(
        EdgeFixture::Request(path, "r" + std::to_string(++calls_), "", extra)));
    REQUIRE(fixture_.RunUntil([&] { return held_.size() > n; }));
  }
  // The upstream sends bytes for the last call.
  void Answer(const std::string& bytes) { held_.back().first->Write(bytes); }
  void AnswerWhole() {
    auto [to, request] = held_.back();
    to->Write(Upstream::Response(request, 200, "done"));
    to->EndResponse(true);
  }
  void StartStream() { Answer(Upstream::StreamHead(held_.back().second)); }
  void EndStream() {
    Answer("0\r\n\r\n");
    held_.back().first->EndResponse(true);
  }
  // The instance does not run; what was sent to it waits in its sockets.
  void Freeze() { fixture_.loop.SkipTime(kFreeze); }
  bool AwaitText(const std::string& part) {
    return fixture_.RunUntil(
        [&] { return Contains(callers_.back()->text(), part); });
  }

  const flow::ServiceProfile& profile() {
    return fixture_.node->registry().ProfileOf(kService);
  }
  Micros ServiceTime() {
    return fixture_.node->registry()
        .Speeds(fixture_.loop.Now())
        .at(kService)
        .service_time;
  }
  EdgeFixture& fixture() { return fixture_; }
  const flow::Upstream& known() const { return *known_; }

 private:
  EdgeFixture fixture_;
  flow::UpstreamRegistry::Ptr known_;
  std::vector<std::pair<Caller, Request>> held_;
  std::vector<std::unique_ptr<RawCaller>> callers_;
  int calls_ = 0;
};

// Guards against CONFIG: after the instance was frozen, its upstreams look slow
// and all calls are refused.
TEST_CASE("the time of a freeze is not taken for that of an upstream") {
  SECTION("between two events of a stream") {
    FrozenInstance instance;
    instance.Begin("/stream/", 2000);
    instance.StartStream();
    instance.Answer(Event(1));
    REQUIRE(instance.AwaitText("id: 1"));
    double before = instance.profile().time_per_token_us;
    instance.Answer(Event(2));
    instance.Freeze();
    REQUIRE(instance.AwaitText("id: 2"));
    instance.Answer(Event(3));
    REQUIRE(instance.AwaitText("id: 3"));
    CHECK(instance.profile().time_per_token_us == before);
    CHECK(instance.known().time_per_token_us == 0);
  }
  SECTION("before the first event of a stream") {
    FrozenInstance instance;
    instance.Begin("/stream/", 2000);
    double before = instance.profile().prefill_tokens_per_ms;
    instance.StartStream();
    instance.Answer(Event(1));
    instance.Freeze();
    REQUIRE(instance.AwaitText("id: 1"));
    CHECK(instance.profile().prefill_tokens_per_ms == before);
  }
  SECTION("before the response to a plain call") {
    FrozenInstance instance;
    for (int i = 0; i < 20; ++i) {
      instance.Begin("/again/");
      instance.fixture().RunFor(Millis(20));
      instance.AnswerWhole();
      REQUIRE(instance.AwaitText("done"));
    }
    Micros before = instance.ServiceTime();
    instance.Begin("/once/");
    instance.AnswerWhole();
    instance.Freeze();
    REQUIRE(instance.AwaitText("done"));
    CHECK(instance.ServiceTime() <= before);
  }
  SECTION("until the time limit of calls") {
    FrozenInstance instance;
    instance.fixture().ApplyDesiredState(2, Millis(2000));
    for (int i = 0; i < 8; ++i) {
      instance.Begin("/once/");
    }
    instance.Freeze();
    REQUIRE(instance.AwaitText("HTTP/1.1 504"));
    CHECK(instance.known().breaker.Allows(instance.fixture().loop.Now()));
  }
}

// Guards against CONFIG: callers that read slowly make their upstreams look
// slow to all others.
TEST_CASE(
    "the time of a caller that reads slowly is not taken for that of an "
    "upstream") {
  FrozenInstance instance;
  EdgeFixture& fixture = instance.fixture();
  auto slow =
      net::Socket::Connect(&fixture.loop, fixture.node->public_endpoint(),
                           Millis(2000), [](bool) {});
  fixture.RunFor(Millis(10));
  slow->Write(EdgeFixture::Request("/stream/", "r1", "", "Tokens: 2000\r\n"));
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.upstreams[0]->requests().size() == 1; }));
  instance.StartStream();
  const std::string large(size_t{400} * 1024, 'x');
  const int events = 50;
  for (int id = 1; id <= events; ++id) {
    instance.Answer(Event(id, large));
  }
  instance.EndStream();
  fixture.RunFor(Millis(200));
  double before = instance.profile().time_per_token_us;
  fixture.RunFor(kFreeze);
  std::string text;
  std::vector<char> buf(size_t{1024} * 1024);
  CHECK(fixture.RunUntil([&] {
    net::IoResult got = slow->Read(buf);
    text.append(buf.data(), got.bytes);
    return text.ends_with("0\r\n\r\n");
  }));
  CHECK(instance.profile().time_per_token_us <= before);
}

// An instance whose upstream generates an event each `interval`, called every
// 100 ms by callers that want four tokens within 4 s.
class CalledUpstream {
 public:
  CalledUpstream(Millis first_event, Millis interval)
      : fixture_("north", net::TimeSource::kVirtual),
        first_event_(first_event),
        interval_(interval) {
    fixture_.ApplyDesiredState(1, Millis(4000));
    fixture_.AddUpstream("u1", [this](const Caller& to, const Request& it) {
      ++sent_;
      to->Write(Upstream::StreamHead(it));
      timers_.push_back(std::make_unique<net::Timer>(&fixture_.loop));
      SendEvent(to, timers_.back().get(), 1);
    });
    known_ = fixture_.node->registry().Find(UpstreamId("u1"));
  }

  // Sends calls for a time. Returns how many of them were served by its end.
  int CallFor(Millis time) {
    std::vector<std::unique_ptr<RawCaller>> callers;
    Instant end = fixture_.loop.Now() + time;
    while (fixture_.loop.Now() < end) {
      callers.push_back(fixture_.Call(
          EdgeFixture::Request("/stream/", "r" + std::to_string(++calls_), "",
                               "Tokens: 20000\r\nPatience: 4000\r\n")));
      fixture_.RunFor(Millis(100));
    }
    return static_cast<int>(std::count_if(
        callers.begin(), callers.end(),
        [](const auto& it) { return Contains(it->text(), "\r\n0\r\n\r\n"); }));
  }
  int sent() const { return sent_; }
  EdgeFixture& fixture() { return fixture_; }
  flow::UpstreamRegistry& registry() { return fixture_.node->registry(); }
  flow::Upstream& known() { return *known_; }

 private:
  void SendEvent(const Caller& to, net::Timer* timer, int id) {
    timer->Set(id == 1 ? first_event_ : interval_, [this, to, timer, id] {
      to->Write(Event(id));
      if (id < 4) {
        SendEvent(to, timer, id + 1);
        return;
      }
      to->Write("0\r\n\r\n");
      to->EndResponse(true);
    });
  }

  EdgeFixture fixture_;
  Millis first_event_;
  Millis interval_;
  flow::UpstreamRegistry::Ptr known_;
  std::vector<std::unique_ptr<net::Timer>> timers_;
  int sent_ = 0;
  int calls_ = 0;
};

constexpr double kSlowTokenUs = 5'000'000;

void LearnSlowTokens(CalledUpstream* called) {
  for (int i = 0; i < 200; ++i) {
    called->registry().LearnTimePerToken(called->known(), kSlowTokenUs,
                                         called->fixture().loop.Now());
  }
}

void LearnSlowPrefill(CalledUpstream* called) {
  for (int i = 0; i < 200; ++i) {
    called->registry().LearnPrefillSpeed(kService, 20'000, Seconds(5),
                                         called->fixture().loop.Now());
  }
}

// Guards against CONFIG: a learned speed refuses all calls for good, as refused
// calls measure nothing. Recovery may take 12 s.
TEST_CASE("a learned speed that refuses all calls is measured again") {
  struct Row {
    const char* name;
    void (*learn)(CalledUpstream*);
  };
  for (const Row& row : {Row{"time per token", LearnSlowTokens},
                         Row{"prefill", LearnSlowPrefill}}) {
    INFO(row.name);
    CalledUpstream called(Millis(100), Millis(10));
    row.learn(&called);
    CHECK(called.CallFor(Millis(500)) == 0);
    CHECK(called.sent() == 0);
    called.CallFor(Millis(11'500));
    CHECK(called.CallFor(Seconds(5)) >= 45);
  }
}

// Load: callers of upstreams that are as slow as was measured. Guards against
// letting them wait for a response that will be late.
TEST_CASE("only single calls test a forecast that holds") {
  CalledUpstream called(Millis(100), Millis(2000));
  LearnSlowTokens(&called);
  called.CallFor(Seconds(30));
  CHECK(called.sent() >= 1);
  // One at a time, not before a second has passed since the last measurement.
  CHECK(called.sent() <= 15);
  CHECK(Contains(called.fixture().node->metrics().Text(),
                 "basilvalve_edge_forecast_trials_total " +
                     std::to_string(called.sent())));
}

}  // namespace
}  // namespace basilvalve::edge
