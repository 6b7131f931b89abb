// What an answer that has come to its end means for its call.
#pragma once

#include <optional>
#include <string_view>

#include "Core/Common/result_code.h"

namespace basilvalve::edge {

/// What is known of the answer and of what the caller holds already.
struct AnswerFacts {
  int status = 0;
  /// What a peer said of a call that no upstream answered.
  std::optional<Outcome> peer_outcome = std::nullopt;
  /// The upstream stated that it did not run the call.
  bool is_refusal = false;
  /// The answer lacks the proof of whose it is.
  bool is_unproven = false;
  /// The call is answered by events.
  bool is_stream = false;
  /// The caller holds the beginning of the stream.
  bool stream_begun = false;
  /// It ended within an event.
  bool has_partial = false;
};

enum class AnswerVerdict {
  /// The caller gets it as it is.
  kPassWhole,
  /// All events were passed on; the stream ends.
  kEndStream,
  /// The call did not run.
  kNotRun,
  /// It may have run, and there is no answer.
  kMayHaveRun,
  /// It ran and failed: repeated if that is allowed, else passed on.
  kFailed,
};

struct Judgement {
  AnswerVerdict verdict = AnswerVerdict::kPassWhole;
  /// For the log.
  std::string_view why;
};

/// Pure. Thread safe.
Judgement JudgeAnswer(const AnswerFacts& facts);

}  // namespace basilvalve::edge
