#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "UnitTests/Core/Gateway/test_fleet.h"

namespace basilvalve::gateway {
namespace {

constexpr const char* kSettlePath = "/v1/services/payments/settle";
const http::Headers kReportsHeaders = {{"Basilvalve-Service", "reports"}};

std::string HeaderOf(const http::BufferedResponse& response, const char* name) {
  return std::string(http::FindHeader(response.headers, name));
}

std::string ExpectedStreamText(int tokens) {
  std::string text;
  nlohmann::json body =
      nlohmann::json::parse(TestFleet::ModelBody(true, tokens));
  uint64_t hash = Hash64(body["messages"].dump());
  for (int i = 0; i < tokens; ++i) {
    text += fakes::FakeEngine::TokenText(hash, i);
  }
  return text;
}

/// Concatenates the token texts of all complete events of a stream.
std::string StreamText(const std::string& body) {
  std::string text;
  size_t at = 0;
  while ((at = body.find("data: {", at)) != std::string::npos) {
    size_t end = body.find("\n\n", at);
    nlohmann::json event = nlohmann::json::parse(
        body.substr(at + 6, end - at - 6), nullptr, false);
    if (event.is_object() && event.contains("choices")) {
      text += event["choices"][0]["delta"].value("content", "");
    }
    at = end == std::string::npos ? body.size() : end;
  }
  return text;
}

TEST_CASE("a settlement runs at most once for every fault of its service") {
  struct Row {
    const char* name;
    fakes::ServiceFault fault;
    const char* first;
    const char* second;
    int runs;
  };
  std::vector<Row> rows = {
      {"plain", fakes::ServiceFault::kNone, "done", "done", 1},
      {"ran, answer lost", fakes::ServiceFault::kRunThenDrop, "unknown",
       "unknown", 1},
      {"dropped", fakes::ServiceFault::kDrop, "unknown", "unknown", 0},
  };
  for (const Row& row : rows) {
    for (bool with_ticket : {true, false}) {
      TestFleet fleet;
      std::string body =
          std::string(row.name) + (with_ticket ? " ticket" : " key");
      http::Headers claim = {
          with_ticket ? http::Header{"Basilvalve-Ticket", fleet.Ticket("m1")}
                      : http::Header{"Idempotency-Key", body}};
      INFO(body);
      fleet.service.SetFault(row.fault);
      CHECK(HeaderOf(fleet.Send("m1", "POST", kSettlePath, "", claim, body),
                     "Basilvalve-Outcome") == row.first);
      fleet.service.SetFault(fakes::ServiceFault::kNone);
      // The retry goes to another instance, which forwards it to the first one.
      CHECK(HeaderOf(fleet.Send("m2", "POST", kSettlePath, "", claim, body),
                     "Basilvalve-Outcome") == row.second);
      CHECK(fleet.service.RunCount(body) == row.runs);
    }
  }
}

TEST_CASE(
    "concurrent duplicates from both regions run a settlement exactly once") {
  TestFleet fleet;
  std::string ticket = fleet.Ticket("m1");
  std::vector<std::thread> callers;
  for (int i = 0; i < 12; ++i) {
    callers.emplace_back([&fleet, &ticket, i] {
      const char* node = i % 3 == 0 ? "n1" : (i % 3 == 1 ? "m1" : "m2");
      fleet.Send(node, "POST", kSettlePath, "", {{"Basilvalve-Ticket", ticket}},
                 "tab 1");
      fleet.Send(node, "POST", kSettlePath, "", {{"Idempotency-Key", "k"}},
                 "tab 2");
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  CHECK(fleet.service.RunCount("tab 1") == 1);
  CHECK(fleet.service.RunCount("tab 2") == 1);
}

TEST_CASE(
    "the outcome of a ticket is unknown, and it does not run, after the "
    "instance that issued it has stopped") {
  TestFleet fleet;
  std::string ticket = fleet.Ticket("m2");
  fleet.StopNode("m2");
  http::BufferedResponse response = fleet.Send(
      "m1", "POST", kSettlePath, "", {{"Basilvalve-Ticket", ticket}}, "tab");
  CHECK(HeaderOf(response, "Basilvalve-Outcome") == "unknown");
  fleet.StartNode("m2", "munich");
  fleet.AwaitDocument("payments", 1);
  response = fleet.Send("m2", "POST", kSettlePath, "",
                        {{"Basilvalve-Ticket", ticket}}, "tab");
  CHECK(HeaderOf(response, "Basilvalve-Outcome") == "unknown");
  CHECK(fleet.service.TotalRunCount() == 0);
}

TEST_CASE(
    "a stream cut by its engine resumes at the exact token, or ends with an "
    "error event if it is not resumable") {
  constexpr int kTokens = 12;
  for (int cut : {0, 5, 11}) {
    for (bool resumable : {true, false}) {
      TestFleet fleet;
      for (auto& [name, engine] : fleet.engines) {
        fakes::EngineFaults faults;
        faults.cut_after_events = cut;
        faults.streams_to_cut = 1;
        faults.resumable = resumable;
        engine->SetFaults(faults);
      }
      http::BufferedResponse response =
          fleet.Send("m1", "POST", "/v1/chat/completions", "", kReportsHeaders,
                     TestFleet::ModelBody(true, kTokens));
      INFO("cut after " << cut << (resumable ? ", resumable" : ""));
      std::string expected_text = ExpectedStreamText(kTokens);
      if (resumable) {
        CHECK(StreamText(response.body) == expected_text);
        CHECK(response.body.find("data: [DONE]") != std::string::npos);
      } else {
        CHECK(expected_text.starts_with(StreamText(response.body)));
        CHECK(response.body.find("data: [DONE]") == std::string::npos);
        CHECK(response.body.find("event: error") != std::string::npos);
      }
    }
  }
}

TEST_CASE("a stream whose engine fails is not reported as not run") {
  TestFleet fleet;
  /// Stops both engines when the first part of the response arrives.
  class StopEnginesSink : public http::ResponseSink {
   public:
    explicit StopEnginesSink(TestFleet* fleet) : fleet_(fleet) {}
    bool OnHead(const http::ResponseHead& /*head*/) override { return true; }
    bool OnBody(std::string_view chunk) override {
      if (body.empty()) {
        fleet_->StopUpstream("em1");
        fleet_->StopUpstream("em2");
      }
      body.append(chunk);
      return true;
    }
    std::string body;

   private:
    TestFleet* fleet_;
  };
  StopEnginesSink sink(&fleet);
  http::Request request{"POST", "/v1/chat/completions", "", kReportsHeaders,
                        TestFleet::ModelBody(true, 100000)};
  request.headers.push_back(
      {"Authorization", std::string("Bearer ") + kTestKey});
  http::Execute(fleet.nodes["m1"]->caller_endpoint(), request, {}, &sink);
  // The resume attempt cannot connect, so it has outcome not-run; the call
  // itself must not be reported as not-run, because it had already started.
  INFO(sink.body.substr(sink.body.size() -
                        std::min<size_t>(sink.body.size(), 300)));
  CHECK(sink.body.find("event: error") != std::string::npos);
  CHECK(sink.body.find("answer_truncated") != std::string::npos);
  CHECK(sink.body.find("not-run") == std::string::npos);
  CHECK(ExpectedStreamText(100000).starts_with(StreamText(sink.body)));
}

TEST_CASE("calls succeed on another engine while one fails or drains") {
  TestFleet fleet;
  fakes::EngineFaults failing;
  failing.failing = true;
  fleet.engines["em1"]->SetFaults(failing);
  for (int i = 0; i < 5; ++i) {
    CHECK(fleet
              .Send("m1", "POST", "/v1/chat/completions", "", kReportsHeaders,
                    TestFleet::ModelBody(false, 2))
              .Is(200));
  }
  fakes::EngineFaults draining;
  draining.draining = true;
  fleet.engines["em1"]->SetFaults(draining);
  for (int i = 0; i < 20; ++i) {
    CHECK(fleet
              .Send(i % 2 == 0 ? "m1" : "m2", "POST", "/v1/chat/completions",
                    "", kReportsHeaders, TestFleet::ModelBody(false, 2))
              .Is(200));
  }
}

TEST_CASE(
    "calls run only in permitted regions and are forwarded only to these") {
  TestFleet fleet;
  CHECK(HeaderOf(fleet.Send("n1", "GET", "/v1/services/payments/balance", "",
                            {}, ""),
                 "Basilvalve-Region") == "munich");
  fleet.Apply("n1", PaymentsDocument(R"(["nuremberg"])"), 1, "payments-2");
  fleet.AwaitDocument("payments", 2);
  http::BufferedResponse refused =
      fleet.Send("n1", "GET", "/v1/services/payments/balance", "", {}, "");
  CHECK(HeaderOf(refused, "Basilvalve-Code") == "2007");
  refused =
      fleet.Send("m1", "GET", "/v1/services/payments/balance", "", {}, "");
  CHECK(HeaderOf(refused, "Basilvalve-Code") == "2002");
}

TEST_CASE(
    "without the store only document changes and idempotency keys are "
    "refused") {
  TestFleet fleet;
  fleet.store.SetDown(true);
  CHECK(fleet
            .Send("m1", "POST", "/v1/chat/completions", "", kReportsHeaders,
                  TestFleet::ModelBody(false, 2))
            .Is(200));
  CHECK(fleet
            .Send("m1", "POST", kSettlePath, "",
                  {{"Basilvalve-Ticket", fleet.Ticket("m1")}}, "a")
            .Is(200));
  CHECK(HeaderOf(fleet.Send("m1", "POST", kSettlePath, "",
                            {{"Idempotency-Key", "k"}}, "b"),
                 "Basilvalve-Code") == "2008");
  CHECK(fleet.Apply("m1", PaymentsDocument(R"(["munich"])"), 1, "x").status ==
        503);
  // An instance that restarts meanwhile gets its documents from the others.
  fleet.StopNode("m2");
  fleet.StartNode("m2", "munich");
  fleet.AwaitDocument("payments", 1);
  fleet.AwaitDocument("reports", 1);
  CHECK(fleet.Admin("m2", "GET", "/readyz", "", "").Is(200));
  fleet.store.SetDown(false);
  TestFleet::Await([&] {
    return fleet
        .Send("m1", "POST", kSettlePath, "", {{"Idempotency-Key", "k"}}, "b")
        .Is(200);
  });
  CHECK(fleet.service.RunCount("b") == 1);
}

TEST_CASE(
    "the active documents are written back to a store restored from an older "
    "backup") {
  TestFleet fleet;
  fleet.store.SaveSnapshot();
  fleet.Apply("m1", ReportsDocument(R"(["munich"])"), 1, "reports-2");
  fleet.AwaitDocument("reports", 2);
  fleet.store.RestoreSnapshot();
  TestFleet::Await([&] {
    Result<std::optional<platform::StoreEntry>> entry =
        fleet.store.Get(document::CurrentKey(ServiceName("reports")));
    return document::ParseRecord((*entry)->value)->version.value() == 2;
  });
  fleet.AwaitDocument("reports", 2);
}

TEST_CASE(
    "a graceful stop completes all streams in flight and refuses new calls "
    "with a list of other entries") {
  TestFleet fleet;
  constexpr int kStreams = 20;
  constexpr int kTokens = 400;
  std::atomic<int> complete_streams{0};
  std::vector<std::thread> callers;
  callers.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    callers.emplace_back([&] {
      http::BufferedResponse response =
          fleet.Send("m1", "POST", "/v1/chat/completions", "", kReportsHeaders,
                     TestFleet::ModelBody(true, kTokens));
      complete_streams +=
          StreamText(response.body) == ExpectedStreamText(kTokens) ? 1 : 0;
    });
  }
  TestFleet::Await([&] {
    return fleet.engines["em1"]->calls_started() +
               fleet.engines["em2"]->calls_started() >=
           kStreams;
  });
  fleet.store.SetDown(true);
  fleet.nodes["m1"]->BeginDrain();
  http::BufferedResponse refused =
      fleet.Send("m1", "POST", "/v1/chat/completions", "", kReportsHeaders,
                 TestFleet::ModelBody(false, 2));
  CHECK(HeaderOf(refused, "Basilvalve-Code") == "2006");
  CHECK(HeaderOf(refused, "Basilvalve-Outcome") == "not-run");
  CHECK(refused.body.find("\"m2\"") != std::string::npos);
  CHECK(fleet.nodes["m1"]->AwaitDrained());
  for (std::thread& it : callers) {
    it.join();
  }
  CHECK(complete_streams == kStreams);
  for (const http::Endpoint& it :
       fleet.directory.PublishedEntries(RegionId("munich"))) {
    CHECK_FALSE(it == fleet.nodes["m1"]->caller_endpoint());
  }
}

TEST_CASE("a caller that disconnects cancels its stream at the engine") {
  TestFleet fleet;
  /// Closes the connection after the first chunk of the body.
  class CloseAfterFirstChunkSink : public http::ResponseSink {
   public:
    bool OnHead(const http::ResponseHead& /*head*/) override { return true; }
    bool OnBody(std::string_view /*chunk*/) override { return false; }
  };
  CloseAfterFirstChunkSink sink;
  http::Request request{"POST", "/v1/chat/completions", "", kReportsHeaders,
                        TestFleet::ModelBody(true, 100000)};
  request.headers.push_back(
      {"Authorization", std::string("Bearer ") + kTestKey});
  http::Execute(fleet.nodes["m1"]->caller_endpoint(), request, {}, &sink);
  TestFleet::Await([&] {
    return fleet.engines["em1"]->cancelled() +
               fleet.engines["em2"]->cancelled() >
           0;
  });
  TestFleet::Await([&] {
    http::BufferedResponse status =
        fleet.Admin("m1", "GET", "/v1/status", "", "");
    return nlohmann::json::parse(status.body)["in_flight"] == 0;
  });
}

}  // namespace
}  // namespace basilvalve::gateway
