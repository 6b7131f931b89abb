// What one instance tells another with a call that it passes on.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Core/Flow/desired_state.h"

namespace basilvalve::edge {

/// Header of a call between instances.
inline constexpr std::string_view kHopHeader = "Basilvalve-Hop";
/// Header of an answer between instances that no upstream gave: what became of
/// the call, as OutcomeName writes it.
inline constexpr std::string_view kHopOutcomeHeader = "Basilvalve-Outcome";

/// The contract under which the sender decided. The receiver needs no route of
/// its own, so that two versions of the desired state cannot contradict.
struct HopTerms {
  ServiceName service;
  flow::CallKind kind = flow::CallKind::kNonIdempotent;
  bool is_resumable = false;
  int priority = 0;
  /// As of when it is sent.
  Millis time_left{0};
  /// Until there has to be an answer or the beginning of a stream.
  Millis answer_left{0};
  Millis target_left{0};
  Millis pause_target{0};
};

/// Thread safe.
std::string FormatHopHeader(const HopTerms& terms);
/// Inverse of FormatHopHeader; nullopt for other text. Thread safe.
std::optional<HopTerms> ParseHopHeader(const std::string& text);

}  // namespace basilvalve::edge
