// What an answer that has come to its end means for its call.
#pragma once

#include <optional>
#include <string_view>

#include "Core/Common/result_code.h"

namespace basilvalve::edge {

/// What is known of the answer and of what the caller holds already.
struct ResponseFacts {
  int status = 0;
  /// What a peer said of a call that no upstream answered.
  std::optional<Outcome> peer_outcome = std::nullopt;
  /// The upstream stated that it did not run the call.
  bool is_refusal = false;
  /// The answer lacks the proof of whose it is.
  bool is_unverified = false;
  /// The call is answered by events.
  bool is_stream = false;
  /// The caller holds the beginning of the stream.
  bool stream_started = false;
  /// It ended within an event.
  bool has_partial_event = false;
};

enum class ResponseVerdict {
  /// The caller gets it as it is.
  kForward,
  /// All events were passed on; the stream ends.
  kStreamComplete,
  /// The call did not run.
  kNotRun,
  /// It may have run, and there is no answer.
  kMayHaveRun,
  /// It ran and failed: repeated if that is allowed, else passed on.
  kUpstreamError,
};

struct Classification {
  ResponseVerdict verdict = ResponseVerdict::kForward;
  /// For the log.
  std::string_view reason;
};

/// Pure. Thread safe.
Classification ClassifyResponse(const ResponseFacts& facts);

}  // namespace basilvalve::edge
