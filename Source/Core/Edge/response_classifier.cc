#include "Core/Edge/response_classifier.h"

namespace basilvalve::edge {
namespace {

constexpr int kOk = 200;
constexpr int kFirstServerError = 500;

}  // namespace

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

Classification ClassifyResponse(const ResponseFacts& facts) {
  if (facts.peer_outcome) {
    if (*facts.peer_outcome == Outcome::kNotRun) {
      return {ResponseVerdict::kNotRun, "peer_refused"};
    }
    return {ResponseVerdict::kMayHaveRun, "peer_failed"};
  }
  if (facts.is_refusal) {
    return {ResponseVerdict::kNotRun, "upstream_refused"};
  }
  if (facts.is_unverified) {
    return {ResponseVerdict::kMayHaveRun, "answer_unproven"};
  }
  if (facts.stream_started && facts.status != kOk) {
    // The caller has part of a stream, which another response cannot complete.
    return {ResponseVerdict::kMayHaveRun, "resume_refused"};
  }
  if (facts.status >= kFirstServerError || PromisesNotRun(facts.status)) {
    return {ResponseVerdict::kUpstreamError, "upstream_error"};
  }
  if (!facts.is_stream || facts.status != kOk) {
    return {ResponseVerdict::kForward, "answered"};
  }
  if (facts.has_partial_event) {
    return {ResponseVerdict::kMayHaveRun, "stream_truncated"};
  }
  return {ResponseVerdict::kStreamComplete, "streamed"};
}

}  // namespace basilvalve::edge
