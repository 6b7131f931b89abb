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

}  // namespace
}  // namespace basilvalve::edge
