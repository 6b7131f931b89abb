// Which upstream holds which beginnings of prompts in its prefix cache.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Common/clock.h"

namespace basilvalve::routing {

/// Bytes of a prompt that make one block.
inline constexpr size_t kPrefixBlockBytes = 256;
/// Bytes of text that make one token, on average.
inline constexpr double kBytesPerToken = 4;

/// Chained hashes of the whole blocks of a prompt: equal hashes mean equal
/// beginnings. Thread safe.
std::vector<uint64_t> HashPrefixBlocks(std::string_view prompt,
                                       size_t max_blocks);

/// An index fed by own routing and by the upstreams' cache events. The events
/// come late and with gaps: a gap lowers the trust in what is known of that
/// upstream until newer routing has replaced it. Sharded by block, each shard
/// under its own lock. Thread safe.
class PrefixIndex {
 public:
  /// Pre: capacity > 0, counted in (block, upstream) pairs.
  explicit PrefixIndex(size_t capacity);

  /// Notes that the blocks were sent to, or reported by, an upstream. Thread
  /// safe.
  void Insert(const std::vector<uint64_t>& blocks, uint32_t upstream);
  /// Notes that an upstream has dropped a block. Thread safe.
  void Remove(uint64_t block, uint32_t upstream);
  /// Notes a gap in an upstream's events: what was noted before counts half.
  /// Thread safe.
  void OnEventGap(uint32_t upstream);
  /// Forgets an upstream, whose cache is lost. Thread safe.
  void Forget(uint32_t upstream);
  /// For each upstream in `upstreams`, the tokens of the prompt's beginning
  /// that it is expected to hold, into `tokens`. Thread safe. Pre: `tokens` is
  /// not null.
  void Match(const std::vector<uint64_t>& blocks,
             const std::vector<uint32_t>& upstreams,
             std::vector<double>* tokens) const;

 private:
  struct Holder {
    uint32_t upstream;
    uint32_t epoch;
  };
  struct Pair {
    uint64_t block;
    uint32_t upstream;
  };
  struct Shard {
    mutable std::mutex mutex;
    // Guarded by mutex. `order` lists pairs in the order of their insertion.
    std::unordered_map<uint64_t, std::vector<Holder>> holders;
    std::deque<Pair> order;
  };

  static constexpr size_t kShards = 16;

  void EraseLocked(Shard* shard, uint64_t block, uint32_t upstream);
  uint32_t EpochOf(uint32_t upstream) const;

  size_t shard_capacity_;
  std::array<Shard, kShards> shards_;
  mutable std::mutex epoch_mutex_;
  // Guarded by epoch_mutex_: raised by two on Forget and by one on a gap.
  std::unordered_map<uint32_t, uint32_t> epochs_;
};

}  // namespace basilvalve::routing
