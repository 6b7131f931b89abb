#include "Core/Edge/not_run_proof.h"

namespace basilvalve::edge {

std::optional<NotRunProof> NotRunProof::FromConnection(
    const net::ClientConnection& connection) {
  if (connection.has_sent()) {
    return std::nullopt;
  }
  return NotRunProof();
}

std::optional<NotRunProof> NotRunProof::FromResponse(
    const ResponseClaim& claim) {
  bool says_so = claim.peer_outcome ? *claim.peer_outcome == Outcome::kNotRun
                                    : claim.not_executed;
  if (!says_so || claim.named_call != NamedCall::kThis) {
    return std::nullopt;
  }
  return NotRunProof();
}

}  // namespace basilvalve::edge
