// Index of the prompt prefixes that upstreams hold in their prefix caches.
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

/// Size of a prompt block, the unit of prefix matching.
inline constexpr size_t kPrefixBlockBytes = 256;
/// Average number of bytes per token, to estimate token counts from text.
inline constexpr double kBytesPerToken = 4;

/// Chained hashes of a prompt's complete blocks, at most `max_blocks`. Each
/// hash covers all blocks up to its own, so equal hashes mean equal prefixes.
/// Thread safe.
std::vector<uint64_t> HashPrefixBlocks(std::string_view prompt,
                                       size_t max_blocks);

/// Maps blocks to the upstreams expected to cache them. It is filled by this
/// instance's routing decisions and by the upstreams' cache events. Events are
/// delayed and can be lost: after a gap, older entries of that upstream count
/// less until they are inserted again. Bounded; the oldest entries are evicted.
/// Sharded by block, with one lock per shard. Thread safe.
class PrefixIndex {
 public:
  /// Pre: capacity > 0, counted in (block, upstream) pairs.
  explicit PrefixIndex(size_t capacity);

  /// Records that the blocks were sent to an upstream or reported by it. Thread
  /// safe.
  void Insert(const std::vector<uint64_t>& blocks, uint32_t upstream);
  /// Records that an upstream has evicted a block. Thread safe.
  void Remove(uint64_t block, uint32_t upstream);
  /// Records a gap in an upstream's cache events: its entries count half from
  /// now on, and not at all after a second gap, unless inserted again. Thread
  /// safe.
  void OnEventGap(uint32_t upstream);
  /// Invalidates all entries of an upstream that has lost its cache. Thread
  /// safe.
  void Forget(uint32_t upstream);
  /// Writes to `tokens`, for each entry of `upstreams`, the number of prefix
  /// tokens that the upstream is expected to have cached. Thread safe. Pre:
  /// `tokens` is not null.
  void Match(const std::vector<uint64_t>& blocks,
             const std::vector<uint32_t>& upstreams,
             std::vector<double>* tokens) const;

 private:
  struct Holder {
    uint32_t upstream;
    uint32_t epoch;
  };
  struct BlockHolder {
    uint64_t block;
    uint32_t upstream;
  };
  struct Shard {
    mutable std::mutex mutex;
    // Guarded by mutex. `insertion_order` is the eviction queue, oldest first.
    std::unordered_map<uint64_t, std::vector<Holder>> holders;
    std::deque<BlockHolder> insertion_order;
  };

  static constexpr size_t kShards = 16;

  void EraseLocked(Shard* shard, uint64_t block, uint32_t upstream);
  uint32_t EpochOf(uint32_t upstream) const;

  size_t shard_capacity_;
  std::array<Shard, kShards> shards_;
  mutable std::mutex epoch_mutex_;
  // Guarded by epoch_mutex_. Cache epoch per upstream, advanced by one on an
  // event gap and by two on Forget. Entries keep the epoch of their insertion.
  std::unordered_map<uint32_t, uint32_t> epochs_;
};

}  // namespace basilvalve::routing
