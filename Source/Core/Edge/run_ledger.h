// Counts the attempts that may have executed a call.
#pragma once

#include "Core/Edge/not_run_proof.h"

namespace basilvalve::edge {

/// The attempts of one call. Not thread safe.
class RunLedger {
 public:
  /// Counts an attempt as a possible execution. Pre: the latest one has ended.
  void OnAttempt();
  /// Takes the latest attempt back; once for each.
  void OnNotRun(NotRunProof proof);
  /// Attempts that may have executed the call.
  int possible_runs() const { return possible_runs_; }
  bool MayHaveRun() const { return possible_runs_ > 0; }

 private:
  int possible_runs_ = 0;
  bool is_latest_counted_ = false;
};

}  // namespace basilvalve::edge
