// A model engine on virtual time, for routing experiments.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Routing/upstream_table.h"

namespace basilvalve::bench {

/// Speeds of one engine; the true ones, which its reports do not tell when it
/// is slow.
struct EngineSpeed {
  double slots = 16;
  double prefill_rate = 4000;
  Micros token_time{20000};
  /// Growth of the token time for each further sequence in the batch.
  Micros token_time_per_sequence{400};
  size_t cache_blocks = 2000;
};

/// One request at an engine.
struct EngineJob {
  uint64_t id = 0;
  double prompt_tokens = 0;
  double answer_tokens = 0;
  std::vector<uint64_t> blocks;
};

/// What became of a job's timing, told when its prefill starts.
struct JobTimes {
  Micros first_token{0};
  Micros finished{0};
  Micros between_tokens{0};
  double recomputed_tokens = 0;
};

/// Prefills one prompt at a time and decodes up to `slots` sequences; the rest
/// waits in order. Events are computed when a job is added, in the order of
/// arrival. Not thread safe.
class VirtualEngine {
 public:
  explicit VirtualEngine(const EngineSpeed& speed) : speed_(speed) {}

  /// Adds a job that arrives at `now`; times do not go back between calls.
  JobTimes Add(const EngineJob& job, Micros now);
  /// The load at `now` as a report, with the stated rather than the true speed.
  routing::LoadReport MakeReport(Micros now,
                                 double reported_prefill_rate) const;
  /// The true time to first token of a job that would arrive now.
  Micros TrueTimeToFirstToken(const EngineJob& job, Micros now) const;
  /// Tokens of the prompt's beginning that are in the cache.
  double CachedTokens(const std::vector<uint64_t>& blocks) const;
  /// Empties the cache, as after a restart.
  void ClearCache();
  /// Changes the true speed from now on.
  void SetSpeed(const EngineSpeed& speed) { speed_ = speed; }
  const EngineSpeed& speed() const { return speed_; }

 private:
  struct ActiveJob {
    Micros start;
    Micros finished;
    double uncached;
    Micros first_token;
  };

  void InsertIntoCache(const std::vector<uint64_t>& blocks);
  Micros SlotFreeTime(Micros now) const;

  EngineSpeed speed_;
  Micros prefill_free_{0};
  std::vector<ActiveJob> active_;
  std::list<uint64_t> lru_blocks_;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> block_positions_;
};

}  // namespace basilvalve::bench
