#include "Core/Edge/run_ledger.h"

#include <utility>

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

void RunLedger::OnAttempt() {
  ++possible_runs_;
  is_latest_counted_ = true;
}

void RunLedger::OnNotRun(NotRunProof) {
  if (std::exchange(is_latest_counted_, false)) {
    --possible_runs_;
  }
}

}  // namespace basilvalve::edge
