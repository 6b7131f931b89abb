#include "Core/Edge/response_classifier.h"

namespace basilvalve::edge {
namespace {

constexpr int kOk = 200;
constexpr int kFirstServerError = 500;

}  // namespace

Judgement JudgeAnswer(const AnswerFacts& facts) {
  if (facts.peer_outcome) {
    if (*facts.peer_outcome == Outcome::kNotRun) {
      return {AnswerVerdict::kNotRun, "peer_refused"};
    }
    return {AnswerVerdict::kMayHaveRun, "peer_failed"};
  }
  if (facts.is_refusal) {
    return {AnswerVerdict::kNotRun, "upstream_refused"};
  }
  if (facts.is_unproven) {
    return {AnswerVerdict::kMayHaveRun, "answer_unproven"};
  }
  if (facts.stream_begun && facts.status != kOk) {
    // The caller holds part of a stream: another answer cannot end it.
    return {AnswerVerdict::kMayHaveRun, "resume_refused"};
  }
  if (facts.status >= kFirstServerError) {
    return {AnswerVerdict::kFailed, "upstream_error"};
  }
  if (!facts.is_stream || facts.status != kOk) {
    return {AnswerVerdict::kPassWhole, "answered"};
  }
  if (facts.has_partial) {
    return {AnswerVerdict::kMayHaveRun, "stream_truncated"};
  }
  return {AnswerVerdict::kEndStream, "streamed"};
}

}  // namespace basilvalve::edge
