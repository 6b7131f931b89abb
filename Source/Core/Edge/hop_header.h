// The hop header, which carries the parameters of a call that one instance
// forwards to another.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Common/result_code.h"
#include "Core/Common/strong_id.h"
#include "Core/Flow/desired_state.h"

namespace basilvalve::edge {

/// Request header of a forwarded call.
inline constexpr std::string_view kHopHeader = "Basilvalve-Hop";
/// Response header between instances: the outcome, as written by OutcomeName,
/// of a call for which no upstream produced a response.
inline constexpr std::string_view kHopOutcomeHeader = "Basilvalve-Outcome";
/// Response header between instances, beside the outcome: the request id of the
/// call.
inline constexpr std::string_view kHopCallHeader = "Basilvalve-Call";
/// Response header between instances, beside the outcome "not-run": no upstream
/// was sent the call.
inline constexpr std::string_view kHopUnsentHeader = "Basilvalve-Unsent";
/// Response header between instances of a region: the upstream that responded
/// is leaving, as written by FormatHopLeaving.
inline constexpr std::string_view kHopLeavingHeader = "Basilvalve-Leaving";
/// All of them; a response of an upstream that has one does not pass it on.
inline constexpr std::array<std::string_view, 4> kHopResponseHeaders = {
    kHopOutcomeHeader, kHopCallHeader, kHopUnsentHeader, kHopLeavingHeader};

/// The sender's route parameters. The receiver does not look up the route
/// itself, so that differing versions of the desired state cannot conflict.
struct HopParams {
  ServiceName service;
  flow::CallKind kind = flow::CallKind::kNonIdempotent;
  bool is_resumable = false;
  int priority = 0;
  /// Counted from the time of sending, as are the other times left.
  Millis time_left{0};
  /// Time until the response or the start of a stream is due.
  Millis response_time_left{0};
  Millis target_left{0};
  Millis event_interval_target{0};
  /// Whether the receiver has to use its own upstreams.
  bool is_last_hop = false;
  /// Whether the caller has received the start of the stream, so that refusing
  /// the call breaks it off: only its end counts then.
  bool is_resumed = false;
  /// Whether the sender tries the call elsewhere if it fails.
  bool can_sender_retry = false;
  /// The upstream that the sender suggests; empty if none.
  UpstreamId suggested_upstream;
  /// Workspace of the caller; empty if none.
  WorkspaceId workspace;
  int workspace_priority = 0;
};

/// A failure as an instance reports it to the one that forwarded the call.
struct HopFailure {
  RequestId call;
  Outcome outcome = Outcome::kUnknown;
  /// Whether no upstream was sent the call.
  bool is_unsent = false;
};

/// An upstream that is leaving, for kHopLeavingHeader.
struct HopLeaving {
  UpstreamId upstream;
  /// Start of its process, Unix milliseconds; 0 if unknown.
  int64_t started_at_ms = 0;
};

/// Thread safe.
std::string FormatHopLeaving(const HopLeaving& leaving);
/// Inverse of FormatHopLeaving; nullopt if the text is malformed. Thread safe.
std::optional<HopLeaving> ParseHopLeaving(const std::string& text);

/// Thread safe.
std::string FormatHopHeader(const HopParams& params);
/// Inverse of FormatHopHeader; nullopt if the text is malformed. Reads text
/// without a workspace, too, as earlier versions write it. Thread safe.
std::optional<HopParams> ParseHopHeader(const std::string& text);

}  // namespace basilvalve::edge
