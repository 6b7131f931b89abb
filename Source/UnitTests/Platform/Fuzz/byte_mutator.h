// Seeded mutation of inputs, to simulate corruption by networks, faulty
// programs and attackers.
#pragma once

#include <string>
#include <vector>

#include "Core/Common/random.h"

namespace basilvalve::fuzz {

/// Generates inputs by mutating the entries of a corpus. The same seed gives
/// the same inputs. Not thread safe.
class ByteMutator {
 public:
  /// Pre: the corpus is not empty.
  ByteMutator(uint64_t seed, std::vector<std::string> corpus)
      : random_(seed), corpus_(std::move(corpus)) {}

  /// Returns a random corpus entry with a random number of changes, possibly
  /// none.
  std::string Next();
  /// Returns the size of the next fragment of an input with `left` remaining
  /// bytes: at least 1. Pre: `left` is above 0.
  size_t FragmentSize(size_t left) { return 1 + random_.Below(left); }

 private:
  void MutateOnce(std::string* bytes);
  const std::string& RandomCorpusEntry() {
    return corpus_[random_.Below(corpus_.size())];
  }

  Random random_;
  std::vector<std::string> corpus_;
};

}  // namespace basilvalve::fuzz
