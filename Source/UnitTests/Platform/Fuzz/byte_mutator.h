// Seeded damage to bytes, as networks, other writers and attackers do it.
#pragma once

#include <string>
#include <vector>

#include "Core/Common/random.h"

namespace basilvalve::fuzz {

/// Makes new inputs out of a corpus. The same seed makes the same inputs. Not
/// thread safe.
class ByteMutator {
 public:
  /// Pre: the corpus is not empty.
  ByteMutator(uint64_t seed, std::vector<std::string> corpus)
      : random_(seed), corpus_(std::move(corpus)) {}

  /// The next input: one of the corpus with some changes. Not thread safe.
  std::string Next();
  /// Where to cut an input of that size into pieces: sizes above zero. Not
  /// thread safe.
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
