#include "Core/Edge/run_ledger.h"

namespace basilvalve::edge {

AttemptNumber RunLedger::OnAttempt() {
  ++possible_runs_;
  is_counted_.push_back(true);
  return AttemptNumber(is_counted_.size() - 1);
}

void RunLedger::OnNotRun(AttemptNumber number, NotRunProof) {
  if (is_counted_[number.value()]) {
    is_counted_[number.value()] = false;
    --possible_runs_;
  }
}

}  // namespace basilvalve::edge
