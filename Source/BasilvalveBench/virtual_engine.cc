#include "BasilvalveBench/virtual_engine.h"

#include <algorithm>

#include "Core/Routing/prefix_index.h"

namespace basilvalve::bench {
namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kTokensPerBlock =
    static_cast<double>(routing::kPrefixBlockBytes) / routing::kBytesPerToken;

Micros ToMicros(double seconds) {
  return Micros(static_cast<int64_t>(seconds * kMicrosPerSecond));
}

}  // namespace

double VirtualEngine::CachedTokens(const std::vector<uint64_t>& blocks) const {
  double tokens = 0;
  for (uint64_t it : blocks) {
    if (!block_positions_.contains(it)) {
      break;
    }
    tokens += kTokensPerBlock;
  }
  return tokens;
}

void VirtualEngine::InsertIntoCache(const std::vector<uint64_t>& blocks) {
  for (uint64_t block : blocks) {
    auto it = block_positions_.find(block);
    if (it != block_positions_.end()) {
      lru_blocks_.erase(it->second);
    }
    lru_blocks_.push_front(block);
    block_positions_[block] = lru_blocks_.begin();
  }
  while (lru_blocks_.size() > speed_.cache_blocks) {
    block_positions_.erase(lru_blocks_.back());
    lru_blocks_.pop_back();
  }
}

void VirtualEngine::ClearCache() {
  lru_blocks_.clear();
  block_positions_.clear();
}

Micros VirtualEngine::SlotFreeTime(Micros now) const {
  std::vector<Micros> end_times;
  for (const ActiveJob& it : active_) {
    if (it.finished > now) {
      end_times.push_back(it.finished);
    }
  }
  auto slots = static_cast<size_t>(speed_.slots);
  if (end_times.size() < slots) {
    return now;
  }
  // A slot is free once all but `slots` - 1 of the unfinished jobs have ended.
  size_t rank = end_times.size() - slots;
  std::nth_element(end_times.begin(),
                   end_times.begin() + static_cast<ptrdiff_t>(rank),
                   end_times.end());
  return end_times[rank];
}

Micros VirtualEngine::TrueTimeToFirstToken(const EngineJob& job,
                                           Micros now) const {
  double uncached = std::max(1.0, job.prompt_tokens - CachedTokens(job.blocks));
  Micros start = std::max(SlotFreeTime(now), std::max(prefill_free_, now));
  return start + ToMicros(uncached / speed_.prefill_rate) + speed_.token_time -
         now;
}

JobTimes VirtualEngine::Add(const EngineJob& job, Micros now) {
  std::erase_if(active_,
                [now](const ActiveJob& it) { return it.finished <= now; });
  JobTimes times;
  times.recomputed_tokens =
      std::max(1.0, job.prompt_tokens - CachedTokens(job.blocks));
  Micros start = std::max(SlotFreeTime(now), std::max(prefill_free_, now));
  Micros prefilled =
      start + ToMicros(times.recomputed_tokens / speed_.prefill_rate);
  prefill_free_ = prefilled;
  auto batch = static_cast<int64_t>(
      std::min<double>(static_cast<double>(active_.size()), speed_.slots - 1));
  times.between_tokens =
      speed_.token_time + batch * speed_.token_time_per_sequence;
  times.first_token = prefilled + speed_.token_time - now;
  times.finished = prefilled + times.between_tokens *
                                   static_cast<int64_t>(job.answer_tokens);
  active_.push_back(
      {start, times.finished, times.recomputed_tokens, prefilled});
  InsertIntoCache(job.blocks);
  return times;
}

routing::LoadReport VirtualEngine::MakeReport(
    Micros now, double reported_prefill_rate) const {
  routing::LoadReport report;
  report.slots = speed_.slots;
  report.prefill_rate = reported_prefill_rate;
  for (const ActiveJob& it : active_) {
    if (it.finished <= now) {
      continue;
    }
    bool waiting = it.start > now;
    report.running += waiting ? 0 : 1;
    report.queued += waiting ? 1 : 0;
    if (waiting) {
      report.backlog_tokens += it.uncached;
    } else if (it.first_token > now) {
      double remaining_seconds =
          static_cast<double>((it.first_token - now).count()) /
          kMicrosPerSecond;
      report.backlog_tokens +=
          std::min(it.uncached, remaining_seconds * speed_.prefill_rate);
    }
  }
  return report;
}

}  // namespace basilvalve::bench
