// A simulated model engine on virtual time, for routing simulations.
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

/// True performance of one engine. Load reports of a slowed engine still state
/// its nominal prefill rate.
struct EngineSpeed {
  /// Sequences decoded at once.
  double slots = 16;
  /// Prompt tokens per second.
  double prefill_rate = 4000;
  /// Decoding time of a token in a batch of one.
  Micros token_time{20000};
  /// Increase of the token time for each additional sequence in the batch.
  Micros token_time_per_sequence{400};
  size_t cache_blocks = 2000;
};

/// One request to an engine.
struct EngineJob {
  uint64_t id = 0;
  double prompt_tokens = 0;
  double answer_tokens = 0;
  /// Prefix hashes of the prompt's blocks, in order.
  std::vector<uint64_t> blocks;
};

/// Times of a job, computed when it is added.
struct JobTimes {
  /// Time to first token, relative to the job's arrival.
  Micros first_token{0};
  /// Virtual time at which the job ends.
  Micros finished{0};
  Micros between_tokens{0};
  double recomputed_tokens = 0;
};

/// Prefills one prompt at a time, decodes up to `slots` sequences and queues
/// the other jobs in order of arrival. The times of a job are computed when it
/// is added. Not thread safe.
class VirtualEngine {
 public:
  explicit VirtualEngine(const EngineSpeed& speed) : speed_(speed) {}

  /// Adds a job that arrives at `now`, which must not decrease between calls.
  JobTimes Add(const EngineJob& job, Micros now);
  /// The load report at `now`. It states `reported_prefill_rate` instead of the
  /// true rate.
  routing::LoadReport MakeReport(Micros now,
                                 double reported_prefill_rate) const;
  /// The exact time to first token of a job that would arrive at `now`.
  Micros TrueTimeToFirstToken(const EngineJob& job, Micros now) const;
  /// Number of tokens of the longest cached prefix of a prompt.
  double CachedTokens(const std::vector<uint64_t>& blocks) const;
  /// Empties the cache, as a restart does.
  void ClearCache();
  /// Sets the true performance for jobs added later.
  void SetSpeed(const EngineSpeed& speed) { speed_ = speed; }
  const EngineSpeed& speed() const { return speed_; }

 private:
  struct ActiveJob {
    Micros start;
    Micros finished;
    double uncached;
    Micros first_token;
  };

  /// Marks the blocks as most recently used and evicts the least recently used
  /// ones beyond the cache size.
  void InsertIntoCache(const std::vector<uint64_t>& blocks);
  /// Time from which a job that arrives at `now` finds a free slot.
  Micros SlotFreeTime(Micros now) const;

  EngineSpeed speed_;
  Micros prefill_free_{0};
  std::vector<ActiveJob> active_;
  std::list<uint64_t> lru_blocks_;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> block_positions_;
};

}  // namespace basilvalve::bench
