#include "Core/Routing/chooser.h"

#include <algorithm>
#include <array>
#include <vector>

namespace basilvalve::routing {
namespace {

Choice ChoiceAt(const ChoiceInput& input, size_t index) {
  return {index, PredictTimeToFirstToken(input.candidates[index], input.prompt,
                                         input.peer_load)};
}

class RandomChooser : public Chooser {
 public:
  std::optional<Choice> Choose(const ChoiceInput& input,
                               Random* random) override {
    if (input.candidates.empty()) {
      return std::nullopt;
    }
    return ChoiceAt(input, random->Below(input.candidates.size()));
  }
};

class RoundRobinChooser : public Chooser {
 public:
  std::optional<Choice> Choose(const ChoiceInput& input,
                               Random* /*random*/) override {
    if (input.candidates.empty()) {
      return std::nullopt;
    }
    return ChoiceAt(input, next_++ % input.candidates.size());
  }

 private:
  size_t next_ = 0;
};

/// Chooses the candidate with the smallest key and breaks ties at random.
class SmallestKeyChooser : public Chooser {
 public:
  using Key = double (*)(const Candidate&);

  explicit SmallestKeyChooser(Key key) : key_(key) {}

  std::optional<Choice> Choose(const ChoiceInput& input,
                               Random* random) override {
    if (input.candidates.empty()) {
      return std::nullopt;
    }
    size_t best = 0;
    uint64_t ties = 1;
    for (size_t i = 1; i < input.candidates.size(); ++i) {
      double key = key_(input.candidates[i]);
      double best_key = key_(input.candidates[best]);
      if (key < best_key) {
        best = i;
        ties = 1;
      } else if (key == best_key && random->Below(++ties) == 0) {
        best = i;
      }
    }
    return ChoiceAt(input, best);
  }

 private:
  Key key_;
};

class PrefixHashChooser : public Chooser {
 public:
  std::optional<Choice> Choose(const ChoiceInput& input,
                               Random* /*random*/) override {
    if (input.candidates.empty()) {
      return std::nullopt;
    }
    return ChoiceAt(input, input.prefix_hash % input.candidates.size());
  }
};

/// Predicts the time to first token of every candidate and chooses at random
/// among those within a tolerance of the best. Several instances see the same
/// load reports and would all send to the same upstream without the tolerance;
/// it grows with the number of instances.
class PredictedChooser : public Chooser {
 public:
  std::optional<Choice> Choose(const ChoiceInput& input,
                               Random* random) override {
    if (input.candidates.empty()) {
      return std::nullopt;
    }
    predicted_.resize(input.candidates.size());
    size_t best = 0;
    for (size_t i = 0; i < input.candidates.size(); ++i) {
      predicted_[i] = PredictTimeToFirstToken(input.candidates[i], input.prompt,
                                              input.peer_load);
      if (predicted_[i] < predicted_[best]) {
        best = i;
      }
    }
    Micros limit = predicted_[best] + Tolerance(input, best);
    size_t chosen = best;
    uint64_t eligible = 0;
    for (size_t i = 0; i < input.candidates.size(); ++i) {
      if (predicted_[i] <= limit && random->Below(++eligible) == 0) {
        chosen = i;
      }
    }
    return Choice{chosen, predicted_[chosen]};
  }

 private:
  // Upper bound of the tolerance, as a fraction of the prefill time of the
  // entire prompt, so that an upstream with most of the prefix cached is
  // still chosen.
  static constexpr double kToleranceShare = 0.5;

  static Micros Tolerance(const ChoiceInput& input, size_t best) {
    constexpr double kMicrosPerSecond = 1e6;
    const Candidate& it = input.candidates[best];
    double other_instances_share =
        1 - 1 / std::max(1.0, input.peer_load.instances);
    double prefill_seconds = input.prompt.tokens / it.prefill_rate;
    double seconds = prefill_seconds * kToleranceShare * other_instances_share;
    return Micros(static_cast<int64_t>(seconds * kMicrosPerSecond));
  }

  std::vector<Micros> predicted_;
};

double OwnInFlight(const Candidate& it) {
  return static_cast<double>(it.own_in_flight);
}

double ReportedQueueLength(const Candidate& it) {
  return it.running + it.queued;
}

constexpr std::array<std::string_view, 6> kChooserNames = {
    "random",        "round-robin", "least-outstanding",
    "join-shortest", "prefix-hash", "predicted"};

}  // namespace

std::string_view ChooserName(ChooserKind kind) {
  return kChooserNames[static_cast<size_t>(kind)];
}

std::unique_ptr<Chooser> CreateChooser(ChooserKind kind) {
  switch (kind) {
    case ChooserKind::kRandom:
      return std::make_unique<RandomChooser>();
    case ChooserKind::kRoundRobin:
      return std::make_unique<RoundRobinChooser>();
    case ChooserKind::kLeastOutstanding:
      return std::make_unique<SmallestKeyChooser>(&OwnInFlight);
    case ChooserKind::kJoinShortest:
      return std::make_unique<SmallestKeyChooser>(&ReportedQueueLength);
    case ChooserKind::kPrefixHash:
      return std::make_unique<PrefixHashChooser>();
    case ChooserKind::kPredicted:
      return std::make_unique<PredictedChooser>();
  }
  return nullptr;
}

}  // namespace basilvalve::routing
