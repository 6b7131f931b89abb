// Parsers of external input, with the rules that must hold for any bytes.
#pragma once

#include <string>
#include <vector>

#include "UnitTests/Platform/Fuzz/byte_mutator.h"

namespace basilvalve::fuzz {

/// A parser under test.
struct FuzzTarget {
  /// Also the name of the directory of its corpus.
  const char* name;
  /// Returns the violated rule, or empty. Splits inputs into fragments of the
  /// sizes that `fragmenter` returns.
  std::string (*check)(const std::string& bytes, ByteMutator* fragmenter);
  /// Whether the parser accepts the bytes; true for each entry of its corpus.
  bool (*accepts)(const std::string& bytes);
};

/// Thread safe.
const std::vector<FuzzTarget>& FuzzTargets();

/// Returns the contents of a target's corpus files. Pre: they exist in the
/// source tree.
std::vector<std::string> ReadCorpus(const FuzzTarget& target);

/// Result of one run.
struct FuzzReport {
  uint64_t executions = 0;
  /// The first input that violated a rule, and the rule; both empty if none
  /// did.
  std::string input;
  std::string violation;
};

/// Checks `executions` inputs generated from the seed, or fewer if one violates
/// a rule.
FuzzReport RunFuzz(const FuzzTarget& target, uint64_t seed,
                   uint64_t executions);

}  // namespace basilvalve::fuzz
