// Counts the attempts that may have executed a call.
#pragma once

#include <vector>

#include "Core/Common/strong_id.h"
#include "Core/Edge/not_run_proof.h"

namespace basilvalve::edge {

/// Tells an attempt from the others of its call.
using AttemptNumber = StrongNumber<struct AttemptNumberTag>;

/// The attempts of one call. Not thread safe.
class RunLedger {
 public:
  /// Counts an attempt as a possible execution.
  AttemptNumber OnAttempt();
  /// Takes the attempt back; once for each. Pre: `number` is from OnAttempt.
  void OnNotRun(AttemptNumber number, NotRunProof proof);
  /// Attempts that may have executed the call.
  int possible_runs() const { return possible_runs_; }
  bool MayHaveRun() const { return possible_runs_ > 0; }

 private:
  int possible_runs_ = 0;
  std::vector<bool> is_counted_;
};

}  // namespace basilvalve::edge
