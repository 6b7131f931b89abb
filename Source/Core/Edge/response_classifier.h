// Classifies a completed response: forward it, retry the call or report
// failure.
#pragma once

#include <optional>
#include <string_view>

#include "Core/Common/result_code.h"

namespace basilvalve::edge {

/// What is known about the response and about what the caller already received.
struct ResponseFacts {
  int status = 0;
  /// Set if a peer instance reported that no upstream produced a response.
  std::optional<Outcome> peer_outcome = std::nullopt;
  /// The upstream states that it did not execute the call.
  bool is_refusal = false;
  /// The response lacks the upstream's signature or its unmodified body.
  bool is_unverified = false;
  /// The call's response is an event stream.
  bool is_stream = false;
  /// The caller has received the start of the stream.
  bool stream_started = false;
  /// The stream ended in the middle of an event.
  bool has_partial_event = false;
};

enum class ResponseVerdict {
  /// Forward the response unchanged.
  kForward,
  /// All events were forwarded; end the stream.
  kStreamComplete,
  /// The call was not executed.
  kNotRun,
  /// The call may have been executed, but there is no usable response.
  kMayHaveRun,
  /// The call was executed and failed: retry it if permitted, else forward the
  /// response.
  kUpstreamError,
};

struct Classification {
  ResponseVerdict verdict = ResponseVerdict::kForward;
  /// For log and metrics.
  std::string_view reason;
};

/// Whether the status tells a caller that its call was not executed and never
/// will be. Thread safe.
bool PromisesNotRun(int status);

/// Pure function. Thread safe.
Classification ClassifyResponse(const ResponseFacts& facts);

}  // namespace basilvalve::edge
