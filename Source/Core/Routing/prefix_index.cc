#include "Core/Routing/prefix_index.h"

#include <algorithm>

#include "Core/Common/hash.h"

namespace basilvalve::routing {
namespace {

// Weight of entries inserted before the latest event gap. Entries from before
// an earlier gap are ignored.
constexpr double kWeightAfterGap = 0.5;
constexpr uint32_t kEpochsToExpire = 2;
constexpr double kTokensPerBlock =
    static_cast<double>(kPrefixBlockBytes) / kBytesPerToken;

}  // namespace

std::vector<uint64_t> HashPrefixBlocks(std::string_view prompt,
                                       size_t max_blocks) {
  std::vector<uint64_t> blocks;
  uint64_t chained_hash = 0;
  for (size_t offset = 0; offset + kPrefixBlockBytes <= prompt.size() &&
                          blocks.size() < max_blocks;
       offset += kPrefixBlockBytes) {
    chained_hash =
        Hash64(prompt.substr(offset, kPrefixBlockBytes), chained_hash);
    blocks.push_back(chained_hash);
  }
  return blocks;
}

PrefixIndex::PrefixIndex(size_t capacity)
    : shard_capacity_(std::max<size_t>(1, capacity / kShards)) {}

uint32_t PrefixIndex::EpochOf(uint32_t upstream) const {
  std::lock_guard lock(epoch_mutex_);
  auto it = epochs_.find(upstream);
  return it == epochs_.end() ? 0 : it->second;
}

void PrefixIndex::EraseLocked(Shard* shard, uint64_t block, uint32_t upstream) {
  auto it = shard->holders.find(block);
  if (it == shard->holders.end()) {
    return;
  }
  std::erase_if(it->second,
                [upstream](const Holder& h) { return h.upstream == upstream; });
  if (it->second.empty()) {
    shard->holders.erase(it);
  }
}

void PrefixIndex::Insert(const std::vector<uint64_t>& blocks,
                         uint32_t upstream) {
  uint32_t epoch = EpochOf(upstream);
  for (uint64_t block : blocks) {
    Shard& shard = shards_[block % kShards];
    std::lock_guard lock(shard.mutex);
    std::vector<Holder>& holders = shard.holders[block];
    auto it = std::find_if(
        holders.begin(), holders.end(),
        [upstream](const Holder& h) { return h.upstream == upstream; });
    if (it != holders.end()) {
      it->epoch = epoch;
      continue;
    }
    holders.push_back({upstream, epoch});
    shard.insertion_order.push_back({block, upstream});
    if (shard.insertion_order.size() > shard_capacity_) {
      BlockHolder oldest = shard.insertion_order.front();
      shard.insertion_order.pop_front();
      EraseLocked(&shard, oldest.block, oldest.upstream);
    }
  }
}

void PrefixIndex::Remove(uint64_t block, uint32_t upstream) {
  Shard& shard = shards_[block % kShards];
  std::lock_guard lock(shard.mutex);
  EraseLocked(&shard, block, upstream);
}

void PrefixIndex::OnEventGap(uint32_t upstream) {
  std::lock_guard lock(epoch_mutex_);
  epochs_[upstream] += 1;
}

void PrefixIndex::Forget(uint32_t upstream) {
  std::lock_guard lock(epoch_mutex_);
  epochs_[upstream] += kEpochsToExpire;
}

void PrefixIndex::Match(const std::vector<uint64_t>& blocks,
                        const std::vector<uint32_t>& upstreams,
                        std::vector<double>* tokens) const {
  tokens->assign(upstreams.size(), 0);
  if (blocks.empty() || upstreams.empty()) {
    return;
  }
  std::unordered_map<uint32_t, size_t> positions;
  std::vector<uint32_t> epochs(upstreams.size());
  for (size_t i = 0; i < upstreams.size(); ++i) {
    positions[upstreams[i]] = i;
    epochs[i] = EpochOf(upstreams[i]);
  }
  std::vector<size_t> matched(upstreams.size(), 0);
  for (size_t depth = 0; depth < blocks.size(); ++depth) {
    const Shard& shard = shards_[blocks[depth] % kShards];
    std::lock_guard lock(shard.mutex);
    auto it = shard.holders.find(blocks[depth]);
    if (it == shard.holders.end()) {
      break;
    }
    for (const Holder& holder : it->second) {
      auto position = positions.find(holder.upstream);
      // A prefix cache can only reuse a contiguous run of blocks from the start
      // of the prompt.
      bool contiguous =
          position != positions.end() && matched[position->second] == depth;
      if (!contiguous) {
        continue;
      }
      uint32_t age = epochs[position->second] - holder.epoch;
      if (age < kEpochsToExpire) {
        matched[position->second] = depth + 1;
        (*tokens)[position->second] +=
            kTokensPerBlock * (age == 0 ? 1 : kWeightAfterGap);
      }
    }
  }
}

}  // namespace basilvalve::routing
