// Calls with a prompt part that crashes upstreams.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "Core/Edge/heartbeat_codec.h"
#include "Core/Edge/hop_header.h"
#include "UnitTests/Core/Edge/edge_fixture.h"

namespace basilvalve::edge {
namespace {

using Upstream = ScriptedUpstream;
using Caller = net::ServerConnection::Ptr;
using Request = net::ServerRequest;

constexpr const char* kDeadly = "Parts: 1 7 ";
constexpr const char* kSound = "Parts: 1 8 ";

bool Contains(const RawCaller& caller, const std::string& part) {
  return caller.text().find(part) != std::string::npos;
}

// Whether part 7 is one of the shared parts.
bool IsDeadly(const Request& request) {
  return (" " + *request.head.Find("Parts")).find(" 7 ") != std::string::npos;
}

enum class Failure { kCrash, kReset, kDrainedCrash };

// Upstreams that fail when they begin to answer a call with part 7.
class Poisoned {
 public:
  explicit Poisoned(Failure failure, int upstreams)
      : fixture_("north", net::TimeSource::kVirtual) {
    fixture_.ApplyDesiredState(1, Millis(4000));
    for (int i = 0; i < upstreams; ++i) {
      fixture_.AddUpstream(
          "u" + std::to_string(i),
          [this, failure, i](const Caller& to, const Request& request) {
            if (std::exchange(holds_next_, false)) {
              return;
            }
            if (!IsDeadly(request) && !std::exchange(crashes_next_, false)) {
              to->Write(
                  Upstream::StreamHead(request) +
                  Upstream::Chunk("id: 1\ndata: x\n\nid: 2\ndata: x\n\n") +
                  "0\r\n\r\n");
              to->EndResponse(true);
              return;
            }
            if (failure == Failure::kDrainedCrash) {
              flow::UpstreamRecord record =
                  fixture_.upstreams[i]->Record(ServiceName("service"));
              record.is_draining = true;
              fixture_.node->registry().Upsert(record, fixture_.loop.Now());
            }
            if (failure == Failure::kReset) {
              fixture_.loop.Post([to] { to->Disconnect(); });
            } else {
              fixture_.upstreams[i]->Crash();
            }
          });
    }
  }

  // Sends a call and returns the response's text, at least its head.
  std::string Call(const std::string& parts,
                   const std::string& path = "/again/",
                   const std::string& extra = "") {
    std::string id = "r" + std::to_string(++calls_);
    auto caller = std::make_unique<RawCaller>(
        &fixture_.loop,
        to_ == nullptr ? fixture_.node->public_endpoint() : *to_);
    caller->Send(EdgeFixture::Request(
        path, id, "", parts + std::to_string(1000 + calls_) + "\r\n" + extra));
    fixture_.RunUntil([&] {
      return caller->closed() || Contains(*caller, "0\r\n\r\n") ||
             Contains(*caller, "Content-Length: 0");
    });
    return caller->text();
  }

  // Calls without the part, then one with it, until it is refused unsent or
  // `most` of them were made. Returns how many were sent.
  int Crash(int most, const std::string& sound = kSound,
            const std::string& deadly = kDeadly) {
    for (int i = 0; i < most; ++i) {
      for (int n = 0; n < 4; ++n) {
        Call(sound, "/stream/");
      }
      fixture_.RunFor(Millis(700));
      if (Call(deadly).starts_with("HTTP/1.1 503")) {
        return i;
      }
    }
    return most;
  }

  int crashed() const {
    return static_cast<int>(std::count_if(
        fixture_.upstreams.begin(), fixture_.upstreams.end(),
        [](const auto& upstream) { return upstream->has_crashed(); }));
  }
  EdgeFixture& fixture() { return fixture_; }
  // The upstream that gets the next call crashes, whatever the call holds.
  void CrashOnNextCall() { crashes_next_ = true; }
  // The upstream that gets the next call does not answer it.
  void HoldNextCall() { holds_next_ = true; }
  void SendTo(net::Endpoint* to) { to_ = to; }

 private:
  EdgeFixture fixture_;
  int calls_ = 0;
  bool crashes_next_ = false;
  bool holds_next_ = false;
  net::Endpoint* to_ = nullptr;
};

// Guards against BUDGET: calls with a deadly part crash one upstream after the
// other.
TEST_CASE("a deadly prompt part crashes four upstreams at most") {
  Poisoned poisoned(Failure::kCrash, 8);
  CHECK(poisoned.Crash(7) <= 3);
  CHECK(poisoned.crashed() <= 4);
  std::string refused = poisoned.Call(kDeadly);
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(poisoned.Call(kDeadly, "/stream/").starts_with("HTTP/1.1 503"));
  CHECK(poisoned.Call(kDeadly, "/once/").starts_with("HTTP/1.1 503"));
  CHECK(poisoned.crashed() <= 4);
  CHECK(poisoned.Call(kSound, "/stream/").starts_with("HTTP/1.1 200"));
}

// Guards against BUDGET: a deadly part is not looked at because many shared
// parts follow it.
TEST_CASE("a deadly part is blocked wherever it stands in a long prompt") {
  struct Row {
    const char* name;
    size_t parts;
    size_t deadly;
  };
  for (const Row& row :
       {Row{"first of five", 5, 0}, Row{"first of thirty", 30, 0},
        Row{"in the middle", 30, 15}, Row{"last but one", 30, 28},
        Row{"last", 30, 29}, Row{"first of a hundred", 100, 0}}) {
    INFO(row.name);
    std::string sound = "Parts: ";
    std::string deadly = "Parts: ";
    for (size_t i = 0; i < row.parts; ++i) {
      std::string shared = std::to_string(100 + i) + " ";
      sound += i == row.deadly ? "8 " : shared;
      deadly += i == row.deadly ? "7 " : shared;
    }
    Poisoned poisoned(Failure::kCrash, 8);
    CHECK(poisoned.Crash(7, sound, deadly) <= 3);
    CHECK(poisoned.crashed() <= 4);
    CHECK(poisoned.Call(deadly, "/stream/").starts_with("HTTP/1.1 503"));
    CHECK(poisoned.Call(sound, "/stream/").starts_with("HTTP/1.1 200"));
  }
}

// Guards against BUDGET: each call with a new deadly part crashes two
// upstreams.
TEST_CASE("a call with a part that no call has survived crashes one upstream") {
  Poisoned poisoned(Failure::kCrash, 4);
  CHECK(poisoned.Call(kDeadly).starts_with("HTTP/1.1 502"));
  CHECK(poisoned.crashed() == 1);
}

// Guards against lost calls: an upstream that crashes by itself ends them.
TEST_CASE("a call with proven parts is sent again when its upstream crashes") {
  Poisoned poisoned(Failure::kCrash, 4);
  REQUIRE(poisoned.Call(kSound).starts_with("HTTP/1.1 200"));
  poisoned.CrashOnNextCall();
  CHECK(poisoned.Call(kSound).starts_with("HTTP/1.1 200"));
  CHECK(poisoned.crashed() == 1);
}

// Guards against BUDGET: calls that wait at upstreams as their part is blocked
// crash them afterwards.
TEST_CASE("a call that waits with a part that is blocked is withdrawn") {
  Poisoned poisoned(Failure::kCrash, 8);
  for (int n = 0; n < 4; ++n) {
    poisoned.Call(kSound, "/stream/");
  }
  poisoned.HoldNextCall();
  EdgeFixture& fixture = poisoned.fixture();
  RawCaller waiting(&fixture.loop, fixture.node->public_endpoint());
  waiting.Send(EdgeFixture::Request("/single/", "waiting", "",
                                    std::string(kDeadly) + "999\r\n"));
  fixture.RunFor(Millis(20));
  REQUIRE(poisoned.Crash(7) <= 3);
  fixture.RunFor(Millis(20));
  CHECK(waiting.text().starts_with("HTTP/1.1 502"));
  CHECK(std::any_of(
      fixture.upstreams.begin(), fixture.upstreams.end(),
      [](const auto& upstream) { return upstream->disconnects() == 1; }));
}

// Guards against LOST: sound calls are refused because connections are reset.
TEST_CASE("resets and drained upstreams block no prompt part") {
  for (Failure failure : {Failure::kReset, Failure::kDrainedCrash}) {
    Poisoned poisoned(failure, 14);
    CHECK(poisoned.Crash(6) == 6);
  }
}

TEST_CASE("an instance learns a blocked prompt part from another one") {
  for (const char* region : {"north", "south"}) {
    INFO(region);
    Poisoned poisoned(Failure::kCrash, 8);
    auto other = poisoned.fixture().AddPeerInstance("other", region);
    flow::InstanceRecord record = other->settings().self;
    record.peer_address = other->peer_endpoint().Text();
    record.incarnation = 1;
    poisoned.fixture().node->fleet().Register(record,
                                              poisoned.fixture().loop.Now());
    REQUIRE(poisoned.Crash(7) <= 3);
    poisoned.fixture().RunFor(Millis(1500));
    CHECK(other->poison_guard().blocked_parts() == 1);
  }
}

TEST_CASE("a forwarded call with a blocked part is refused as unsent") {
  Poisoned poisoned(Failure::kCrash, 8);
  REQUIRE(poisoned.Crash(7) <= 3);
  HopParams hop;
  hop.service = ServiceName("service");
  hop.kind = flow::CallKind::kStream;
  hop.time_left = Millis(2000);
  hop.response_time_left = Millis(2000);
  hop.target_left = Millis(1000);
  net::Endpoint peer = poisoned.fixture().node->peer_endpoint();
  poisoned.SendTo(&peer);
  std::string text = poisoned.Call(
      kDeadly, "/stream/",
      std::string(kHopHeader) + ": " + FormatHopHeader(hop) + "\r\n");
  CHECK(text.starts_with("HTTP/1.1 503"));
  CHECK(text.find(std::string(kHopOutcomeHeader) + ": not-run") !=
        std::string::npos);
  CHECK(text.find(kHopUnsentHeader) != std::string::npos);
}

TEST_CASE("a heartbeat's poison report round-trips, and may be missing") {
  flow::Heartbeat heartbeat;
  heartbeat.from.id = InstanceId("i");
  std::string without = EncodeHeartbeat(heartbeat);
  REQUIRE(DecodeHeartbeat(without));
  CHECK(DecodeHeartbeat(without)->poison.empty());
  uint64_t large = 0xfedcba9876543210;
  heartbeat.poison.crashed_calls = {
      {flow::CrashId(large),
       flow::UpstreamShortId(3),
       Millis(70),
       {flow::PromptPartId(1), flow::PromptPartId(large)}}};
  heartbeat.poison.survivals = {{flow::PromptPartId(5), Millis(40)}};
  heartbeat.poison.verdicts = {
      {flow::PromptPartId(large), 4, true, Seconds(50), 1, Millis(12)}};
  std::string bytes = EncodeHeartbeat(heartbeat);
  auto read = DecodeHeartbeat(bytes);
  REQUIRE(read);
  const flow::CrashedCall& call = read->poison.crashed_calls.at(0);
  CHECK(call.crash.value() == large);
  CHECK(call.upstream == flow::UpstreamShortId(3));
  CHECK(call.age == Millis(70));
  CHECK(call.parts == heartbeat.poison.crashed_calls[0].parts);
  CHECK(read->poison.survivals.at(0).part == flow::PromptPartId(5));
  CHECK(read->poison.survivals.at(0).age == Millis(40));
  const flow::PartVerdict& verdict = read->poison.verdicts.at(0);
  CHECK(verdict.part.value() == large);
  CHECK(verdict.generation == 4);
  CHECK(verdict.is_blocked);
  CHECK(verdict.time_left == Seconds(50));
  CHECK(verdict.probes == 1);
  CHECK(verdict.idle == Millis(12));
  // An element of a later version is ignored; the five before it are known.
  auto row = nlohmann::json::from_msgpack(bytes);
  row.push_back(nlohmann::json::array());
  row.push_back(nlohmann::json::array());
  row.push_back(7);
  row.push_back(nlohmann::json::array());
  row.push_back(nlohmann::json::array());
  row.push_back("later");
  std::string later;
  nlohmann::json::to_msgpack(row, later);
  CHECK(DecodeHeartbeat(later));
}

TEST_CASE("the poison part of a heartbeat stays small") {
  flow::Heartbeat heartbeat;
  heartbeat.from.id = InstanceId("i");
  size_t empty = EncodeHeartbeat(heartbeat).size();
  flow::PoisonTracker tracker;
  Instant now{Seconds(1000)};
  auto part = [](uint64_t n) {
    return flow::PromptPartId(0x9000000000000000 + n);
  };
  for (uint64_t i = 0; i < 80; ++i) {
    tracker.OnCrash(flow::CrashId(0x8000000000000000 + i),
                    flow::UpstreamShortId(0x80000000 + i % 40),
                    {{part(0), part(i % 20)}}, now);
    tracker.OnSurvival({part(i % 30), part(500 + i)}, now);
    now += Millis(40);
  }
  heartbeat.poison = tracker.MakeReport(now);
  CHECK(heartbeat.poison.crashed_calls.size() == 20);
  CHECK(heartbeat.poison.survivals.size() == 12);
  for (uint64_t i = 0; i < 16; ++i) {
    heartbeat.poison.verdicts.push_back(
        {part(i), 4, true, Seconds(599), 2, Seconds(599)});
  }
  size_t bytes = EncodeHeartbeat(heartbeat).size() - empty;
  CAPTURE(bytes);
  CHECK(bytes < 2000);
}

}  // namespace
}  // namespace basilvalve::edge
