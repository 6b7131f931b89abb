// What parses bytes from outside, and what must hold for any bytes.
#pragma once

#include <string>
#include <vector>

#include "UnitTests/Platform/Fuzz/byte_mutator.h"

namespace basilvalve::fuzz {

/// One parser.
struct FuzzTarget {
  /// Also the directory of its corpus.
  const char* name;
  /// Returns what is wrong, empty if nothing is. Cuts inputs as the mutator
  /// says.
  std::string (*check)(const std::string& bytes, ByteMutator* fragmenter);
  /// Whether the parser takes the bytes, as it takes each of its corpus.
  bool (*accepts)(const std::string& bytes);
};

/// Thread safe.
const std::vector<FuzzTarget>& FuzzTargets();

/// The files of a target's corpus. Pre: they are in the tree.
std::vector<std::string> ReadCorpus(const FuzzTarget& target);

/// What one run found.
struct FuzzReport {
  uint64_t executions = 0;
  /// The first input that broke a rule, and how; both empty if none did.
  std::string input;
  std::string violation;
};

/// Feeds `executions` inputs made from the seed, or fewer if one breaks a rule.
FuzzReport RunFuzz(const FuzzTarget& target, uint64_t seed,
                   uint64_t executions);

}  // namespace basilvalve::fuzz
