#include "Core/Edge/response_classifier.h"

#include <catch2/catch.hpp>
#include <vector>

namespace basilvalve::edge {
namespace {

TEST_CASE("a completed response is classified by its facts") {
  struct Row {
    const char* name;
    ResponseFacts facts;
    ResponseVerdict expected;
  };
  const std::vector<Row> rows = {
      {"success", {.status = 200}, ResponseVerdict::kForward},
      {"client error", {.status = 404}, ResponseVerdict::kForward},
      {"upstream error", {.status = 500}, ResponseVerdict::kUpstreamError},
      {"503 that does not state whether the call ran",
       {.status = 503},
       ResponseVerdict::kUpstreamError},
      {"429 that does not state whether the call ran",
       {.status = 429},
       ResponseVerdict::kUpstreamError},
      {"408 that does not state whether the call ran",
       {.status = 408, .is_stream = true},
       ResponseVerdict::kUpstreamError},
      {"503 that states the call did not run",
       {.status = 503, .is_refusal = true},
       ResponseVerdict::kNotRun},
      {"success that states the call did not run",
       {.status = 200, .is_refusal = true},
       ResponseVerdict::kNotRun},
      {"success without a signature",
       {.status = 200, .is_unverified = true},
       ResponseVerdict::kMayHaveRun},
      {"peer reports that the call did not run",
       {.status = 503, .peer_outcome = Outcome::kNotRun},
       ResponseVerdict::kNotRun},
      {"peer reports an unknown outcome",
       {.status = 502, .peer_outcome = Outcome::kUnknown},
       ResponseVerdict::kMayHaveRun},
      {"complete stream",
       {.status = 200, .is_stream = true, .stream_started = true},
       ResponseVerdict::kStreamComplete},
      {"stream without events",
       {.status = 200, .is_stream = true},
       ResponseVerdict::kStreamComplete},
      {"stream that ends in the middle of an event",
       {.status = 200,
        .is_stream = true,
        .stream_started = true,
        .has_partial_event = true},
       ResponseVerdict::kMayHaveRun},
      {"client error for a stream call",
       {.status = 404, .is_stream = true},
       ResponseVerdict::kForward},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    CHECK(ClassifyResponse(row.facts).verdict == row.expected);
  }
}

// Checks invariants over all combinations of facts.
TEST_CASE("only a complete response to the call is ever forwarded") {
  for (int status : {200, 204, 404, 408, 421, 429, 500, 503}) {
    for (unsigned bits = 0; bits < 128; ++bits) {
      ResponseFacts facts;
      facts.status = status;
      facts.is_refusal = (bits & 1) != 0;
      facts.is_unverified = (bits & 2) != 0;
      facts.is_stream = (bits & 4) != 0;
      facts.stream_started = facts.is_stream && (bits & 8) != 0;
      facts.has_partial_event = facts.is_stream && (bits & 16) != 0;
      if ((bits & 32) != 0) {
        facts.peer_outcome =
            (bits & 64) != 0 ? Outcome::kNotRun : Outcome::kUnknown;
      }
      INFO("status " << status << " bits " << bits);
      ResponseVerdict verdict = ClassifyResponse(facts).verdict;
      bool is_forwarded = verdict == ResponseVerdict::kForward ||
                          verdict == ResponseVerdict::kStreamComplete;
      if (is_forwarded) {
        CHECK_FALSE(facts.is_refusal);
        CHECK_FALSE(facts.is_unverified);
        CHECK_FALSE(facts.peer_outcome);
        CHECK(status < 500);
        CHECK_FALSE(PromisesNotRun(status));
        // A started stream is completed as a stream or not at all.
        CHECK((!facts.stream_started ||
               verdict == ResponseVerdict::kStreamComplete));
      }
      if (verdict == ResponseVerdict::kStreamComplete) {
        CHECK_FALSE(facts.has_partial_event);
      }
      if (verdict == ResponseVerdict::kNotRun) {
        // Only the upstream or peer that received the call can state this.
        CHECK((facts.is_refusal || facts.peer_outcome == Outcome::kNotRun));
      }
    }
  }
}

}  // namespace
}  // namespace basilvalve::edge
