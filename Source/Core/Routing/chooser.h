// Strategies that choose one upstream among candidates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "Core/Common/random.h"
#include "Core/Routing/candidate.h"
#include "Core/Routing/predictor.h"

namespace basilvalve::routing {

/// What a strategy chooses from.
struct ChoiceInput {
  std::span<const Candidate> candidates;
  PromptSize prompt;
  PeerLoadModel peer_load;
  /// Hash of the beginning of the prompt.
  uint64_t prefix_hash = 0;
};

/// A choice with what it was based on.
struct Choice {
  size_t index = 0;
  Micros predicted{0};
};

/// A strategy. Implementations are not thread safe: each thread has its own.
class Chooser {
 public:
  virtual ~Chooser() = default;
  /// Index of the chosen candidate, nullopt if there is none. Not thread safe.
  virtual std::optional<Choice> Choose(const ChoiceInput& input,
                                       Random* random) = 0;
};

/// The strategies. All but kPredicted serve as baselines for measurements.
enum class ChooserKind {
  kRandom,
  kRoundRobin,
  kLeastOutstanding,
  kJoinShortest,
  kPrefixHash,
  kPredicted,
};

/// Name used in reports. Thread safe.
std::string_view ChooserName(ChooserKind kind);
/// Creates a strategy. Thread safe.
std::unique_ptr<Chooser> CreateChooser(ChooserKind kind);

}  // namespace basilvalve::routing
