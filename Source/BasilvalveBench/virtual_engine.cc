#include "BasilvalveBench/virtual_engine.h"

#include <algorithm>

#include "Core/Routing/prefix_index.h"

namespace basilvalve::bench {
namespace {

constexpr double kMicros = 1e6;
constexpr double kTokensPerBlock =
    static_cast<double>(routing::kPrefixBlockBytes) / routing::kBytesPerToken;

Micros Seconds(double seconds) {
  return Micros(static_cast<int64_t>(seconds * kMicros));
}

}  // namespace

double VirtualEngine::CachedTokens(const std::vector<uint64_t>& blocks) const {
  double tokens = 0;
  for (uint64_t it : blocks) {
    if (!cached_.contains(it)) {
      break;
    }
    tokens += kTokensPerBlock;
  }
  return tokens;
}

void VirtualEngine::Touch(const std::vector<uint64_t>& blocks) {
  for (uint64_t block : blocks) {
    auto it = cached_.find(block);
    if (it != cached_.end()) {
      recent_.erase(it->second);
    }
    recent_.push_front(block);
    cached_[block] = recent_.begin();
  }
  while (recent_.size() > speed_.cache_blocks) {
    cached_.erase(recent_.back());
    recent_.pop_back();
  }
}

void VirtualEngine::DropCache() {
  recent_.clear();
  cached_.clear();
}

Micros VirtualEngine::SlotFree(Micros now) const {
  std::vector<Micros> ends;
  for (const Active& it : active_) {
    if (it.finished > now) {
      ends.push_back(it.finished);
    }
  }
  auto slots = static_cast<size_t>(speed_.slots);
  if (ends.size() < slots) {
    return now;
  }
  // The job starts when so many have ended that a slot is free.
  size_t rank = ends.size() - slots;
  std::nth_element(ends.begin(), ends.begin() + static_cast<ptrdiff_t>(rank),
                   ends.end());
  return ends[rank];
}

Micros VirtualEngine::TrueFirstToken(const EngineJob& job, Micros now) const {
  double uncached = std::max(1.0, job.prompt_tokens - CachedTokens(job.blocks));
  Micros start = std::max(SlotFree(now), std::max(prefill_free_, now));
  return start + Seconds(uncached / speed_.prefill_rate) + speed_.token_time -
         now;
}

JobTimes VirtualEngine::Add(const EngineJob& job, Micros now) {
  std::erase_if(active_,
                [now](const Active& it) { return it.finished <= now; });
  JobTimes times;
  times.recomputed_tokens =
      std::max(1.0, job.prompt_tokens - CachedTokens(job.blocks));
  Micros start = std::max(SlotFree(now), std::max(prefill_free_, now));
  Micros prefilled =
      start + Seconds(times.recomputed_tokens / speed_.prefill_rate);
  prefill_free_ = prefilled;
  auto batch = static_cast<int64_t>(
      std::min<double>(static_cast<double>(active_.size()), speed_.slots - 1));
  times.between_tokens = speed_.token_time + batch * speed_.token_time_each;
  times.first_token = prefilled + speed_.token_time - now;
  times.finished = prefilled + times.between_tokens *
                                   static_cast<int64_t>(job.answer_tokens);
  active_.push_back(
      {start, times.finished, times.recomputed_tokens, prefilled});
  Touch(job.blocks);
  return times;
}

routing::LoadReport VirtualEngine::Report(Micros now,
                                          double stated_rate) const {
  routing::LoadReport report;
  report.slots = speed_.slots;
  report.prefill_rate = stated_rate;
  for (const Active& it : active_) {
    if (it.finished <= now) {
      continue;
    }
    bool waiting = it.start > now;
    report.running += waiting ? 0 : 1;
    report.queued += waiting ? 1 : 0;
    if (waiting) {
      report.backlog_tokens += it.uncached;
    } else if (it.first_token > now) {
      double left =
          static_cast<double>((it.first_token - now).count()) / kMicros;
      report.backlog_tokens +=
          std::min(it.uncached, left * speed_.prefill_rate);
    }
  }
  return report;
}

}  // namespace basilvalve::bench
