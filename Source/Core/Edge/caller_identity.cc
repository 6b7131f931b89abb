#include "Core/Edge/caller_identity.h"

namespace basilvalve::edge {

CallerIdentity IdentifyCaller(const flow::DesiredState& state,
                              const flow::Route& route, std::string_view key,
                              bool is_fresh) {
  CallerIdentity identity;
  if (!state.has_workspaces()) {
    return identity;
  }
  identity.hides_identity = true;
  if (!key.empty() && !is_fresh) {
    identity.verdict = IdentityVerdict::kStaleState;
    return identity;
  }
  if (!key.empty()) {
    identity.workspace = state.Authenticate(key);
  }
  if (identity.workspace == nullptr && !route.is_anonymous) {
    identity.verdict = IdentityVerdict::kUnknownKey;
  }
  return identity;
}

}  // namespace basilvalve::edge
