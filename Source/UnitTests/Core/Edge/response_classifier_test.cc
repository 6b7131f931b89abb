#include "Core/Edge/response_classifier.h"

#include <catch2/catch.hpp>
#include <vector>

namespace basilvalve::edge {
namespace {

TEST_CASE("what an answer means for its call") {
  struct Row {
    const char* name;
    AnswerFacts facts;
    AnswerVerdict expected;
  };
  const std::vector<Row> rows = {
      {"whole", {.status = 200}, AnswerVerdict::kPassWhole},
      {"the caller's own mistake", {.status = 404}, AnswerVerdict::kPassWhole},
      {"an upstream's failure", {.status = 500}, AnswerVerdict::kFailed},
      {"a 503 without an explanation", {.status = 503}, AnswerVerdict::kFailed},
      {"a 503 that states it did not run",
       {.status = 503, .is_refusal = true},
       AnswerVerdict::kNotRun},
      {"a success that states it did not run",
       {.status = 200, .is_refusal = true},
       AnswerVerdict::kNotRun},
      {"a success without proof",
       {.status = 200, .is_unproven = true},
       AnswerVerdict::kMayHaveRun},
      {"a peer's refusal",
       {.status = 503, .peer_outcome = Outcome::kNotRun},
       AnswerVerdict::kNotRun},
      {"a peer that does not know",
       {.status = 502, .peer_outcome = Outcome::kUnknown},
       AnswerVerdict::kMayHaveRun},
      {"a stream to its end",
       {.status = 200, .is_stream = true, .stream_begun = true},
       AnswerVerdict::kEndStream},
      {"a stream without events",
       {.status = 200, .is_stream = true},
       AnswerVerdict::kEndStream},
      {"a stream that ends within an event",
       {.status = 200,
        .is_stream = true,
        .stream_begun = true,
        .has_partial = true},
       AnswerVerdict::kMayHaveRun},
      {"a stream's call that is answered otherwise",
       {.status = 404, .is_stream = true},
       AnswerVerdict::kPassWhole},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    CHECK(JudgeAnswer(row.facts).verdict == row.expected);
  }
}

// All facts in all combinations: what must never be concluded from any.
TEST_CASE("no answer is passed on that is not the call's whole answer") {
  for (int status : {200, 204, 404, 421, 429, 500, 503}) {
    for (unsigned bits = 0; bits < 128; ++bits) {
      AnswerFacts facts;
      facts.status = status;
      facts.is_refusal = (bits & 1) != 0;
      facts.is_unproven = (bits & 2) != 0;
      facts.is_stream = (bits & 4) != 0;
      facts.stream_begun = facts.is_stream && (bits & 8) != 0;
      facts.has_partial = facts.is_stream && (bits & 16) != 0;
      if ((bits & 32) != 0) {
        facts.peer_outcome =
            (bits & 64) != 0 ? Outcome::kNotRun : Outcome::kUnknown;
      }
      INFO("status " << status << " bits " << bits);
      AnswerVerdict verdict = JudgeAnswer(facts).verdict;
      bool is_passed = verdict == AnswerVerdict::kPassWhole ||
                       verdict == AnswerVerdict::kEndStream;
      if (is_passed) {
        CHECK_FALSE(facts.is_refusal);
        CHECK_FALSE(facts.is_unproven);
        CHECK_FALSE(facts.peer_outcome);
        CHECK(status < 500);
        // What was begun as a stream ends as one, or not at all.
        CHECK((!facts.stream_begun || verdict == AnswerVerdict::kEndStream));
      }
      if (verdict == AnswerVerdict::kEndStream) {
        CHECK_FALSE(facts.has_partial);
      }
      if (verdict == AnswerVerdict::kNotRun) {
        // Only who had the call can say so.
        CHECK((facts.is_refusal || facts.peer_outcome == Outcome::kNotRun));
      }
    }
  }
}

}  // namespace
}  // namespace basilvalve::edge
