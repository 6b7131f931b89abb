#include "Core/Edge/caller_identity.h"

namespace basilvalve::edge {

CallerIdentity IdentifyCaller(const flow::DesiredState& state,
                              const flow::Route& route, std::string_view key) {
  CallerIdentity identity;
  if (!state.has_workspaces()) {
    return identity;
  }
  identity.hides_identity = true;
  if (!key.empty()) {
    identity.workspace = state.Authenticate(key);
  }
  identity.is_accepted = identity.workspace != nullptr || route.is_anonymous;
  return identity;
}

}  // namespace basilvalve::edge
