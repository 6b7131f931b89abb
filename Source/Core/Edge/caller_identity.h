// Identifies the workspace of a caller by its key.
#pragma once

#include <memory>
#include <string_view>

#include "Core/Flow/desired_state.h"

namespace basilvalve::edge {

/// Why a caller is refused, if it is.
enum class IdentityVerdict {
  kAccepted,
  /// Its key is missing or unknown.
  kUnknownKey,
  /// Its key cannot be checked: it may have been revoked or added since the
  /// desired state was known to be the newest one.
  kStaleState,
};

/// Whether a caller may use a route, and on whose behalf.
struct CallerIdentity {
  IdentityVerdict verdict = IdentityVerdict::kAccepted;
  /// nullptr if the caller has no workspace.
  std::shared_ptr<const flow::Workspace> workspace;
  /// Whether the caller's own headers for key and workspace are removed.
  bool hides_identity = false;
};

/// Looks up the caller's key, which is empty if it sent none. Without
/// workspaces in the desired state, every caller is accepted. `is_fresh`:
/// whether keys may be checked against the state. Pure function; thread safe.
CallerIdentity IdentifyCaller(const flow::DesiredState& state,
                              const flow::Route& route, std::string_view key,
                              bool is_fresh);

}  // namespace basilvalve::edge
