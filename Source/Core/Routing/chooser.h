// Load-balancing strategies that choose one upstream among candidates.
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

/// Input of a strategy for one request.
struct ChoiceInput {
  std::span<const Candidate> candidates;
  PromptSize prompt;
  PeerLoadModel peer_load;
  /// Hash of the prompt's prefix.
  uint64_t prefix_hash = 0;
};

/// The chosen candidate and its predicted time to first token.
struct Choice {
  /// Index into `ChoiceInput::candidates`.
  size_t index = 0;
  Micros predicted{0};
};

/// A load-balancing strategy. Implementations are not thread safe.
class Chooser {
 public:
  virtual ~Chooser() = default;
  /// Chooses one of the candidates; nullopt if there are none. Not thread safe.
  virtual std::optional<Choice> Choose(const ChoiceInput& input,
                                       Random* random) = 0;
};

/// Available strategies. All but kPredicted are baselines for benchmarks.
enum class ChooserKind {
  kRandom,
  kRoundRobin,
  kLeastOutstanding,
  kJoinShortest,
  kPrefixHash,
  kPredicted,
};

/// Name of the strategy in settings and reports. Thread safe.
std::string_view ChooserName(ChooserKind kind);
/// Creates a strategy. Thread safe.
std::unique_ptr<Chooser> CreateChooser(ChooserKind kind);

}  // namespace basilvalve::routing
