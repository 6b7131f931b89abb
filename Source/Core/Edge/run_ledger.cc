#include "Core/Edge/run_ledger.h"

#include <utility>

namespace basilvalve::edge {

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
