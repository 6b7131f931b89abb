#include "Core/Flow/upstream.h"

#include <algorithm>
#include <cmath>

#include "Core/Common/hash.h"

namespace basilvalve::flow {
namespace {

// A neighbour that fell silent holds its work no longer than its callers wait
// for a first token.
constexpr Millis kToldLifetime{2500};

// A queue that was reported is worked off within this time.
constexpr Millis kReportLifetime{400};

// Failures open the breaker at once for a short time: a call that finds the
// upstream well again closes it, and the neighbours carry the load meanwhile.
constexpr admission::BreakerSettings kBreaker{
    .failure_threshold = 3,
    .open_duration = Millis(800),
    .max_open_duration = Millis(6000),
    .max_half_open_probes = 2,
};

// Weight of one call in the share that fails: some failures in a row show, one
// alone hardly does.
constexpr double kFailureNoteWeight = 0.2;
// After this time half of the share is forgotten, so that an upstream that is
// well again gets calls again.
constexpr double kFailureHalfLifeUs = 2'500'000;

}  // namespace

UpstreamShortId ShortIdOf(const UpstreamId& id) {
  return UpstreamShortId(Hash64(id.value()) & 0xffffffff);
}

uint64_t CallSize::AffinityKey() const {
  if (parts.empty()) {
    return 0;
  }
  size_t n = parts.size() > 1 ? parts.size() - 1 : parts.size();
  uint64_t key = 0;
  for (size_t i = 0; i < n; ++i) {
    key = Hash64(std::string_view(reinterpret_cast<const char*>(&parts[i].id),
                                  sizeof(parts[i].id)),
                 key);
  }
  return key;
}

void LoadShare::Add(const LoadShare& other) {
  running += other.running;
  prefill_tokens += other.prefill_tokens;
  reserved_tokens += other.reserved_tokens;
}

void FailureShare::Record(bool has_failed, Instant now) {
  double before = At(now);
  share_ = before + kFailureNoteWeight * ((has_failed ? 1.0 : 0.0) - before);
  at_ = now;
}

double FailureShare::At(Instant now) const {
  auto age = static_cast<double>((now - at_).count());
  return share_ * std::exp2(-age / kFailureHalfLifeUs);
}

uint32_t PromptCacheView::KeptTokens(
    const std::vector<PromptPart>& parts) const {
  uint32_t tokens = 0;
  for (const PromptPart& part : parts) {
    auto it = kept_.find(part.id);
    if (it == kept_.end()) {
      break;
    }
    tokens += std::min(part.tokens, it->second.tokens);
  }
  return tokens;
}

void PromptCacheView::Touch(const std::vector<PromptPart>& parts,
                            uint64_t memory_tokens) {
  for (const PromptPart& part : parts) {
    auto it = kept_.find(part.id);
    if (it != kept_.end()) {
      order_.splice(order_.begin(), order_, it->second.at);
      continue;
    }
    order_.push_front(part.id);
    kept_[part.id] = {part.tokens, order_.begin()};
    total_ += part.tokens;
  }
  while (total_ > memory_tokens && !order_.empty()) {
    auto it = kept_.find(order_.back());
    total_ -= it->second.tokens;
    kept_.erase(it);
    order_.pop_back();
  }
}

void PromptCacheView::Clear() {
  order_.clear();
  kept_.clear();
  total_ = 0;
}

Upstream::Upstream(UpstreamRecord registered)
    : record(std::move(registered)), breaker(kBreaker) {}

LoadShare Upstream::TotalLoad(Instant now, double mean_unread) const {
  LoadShare total = own_load;
  for (const auto& [instance, told] : neighbour_loads) {
    if (now - told.at < kToldLifetime) {
      total.Add(told.share);
    }
  }
  if (reported && now - reported->at < kReportLifetime) {
    total.running =
        std::max(total.running, reported->running + reported->waiting);
    total.prefill_tokens =
        std::max(total.prefill_tokens,
                 static_cast<uint64_t>(mean_unread * reported->waiting));
  }
  return total;
}

}  // namespace basilvalve::flow
