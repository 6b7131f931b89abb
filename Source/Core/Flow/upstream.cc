#include "Core/Flow/upstream.h"

#include <algorithm>
#include <cmath>

#include "Core/Common/hash.h"

namespace basilvalve::flow {

bool UpstreamRecord::IsEarlierThan(const UpstreamRecord& other) const {
  bool may_be_same_process = started_at_ms == 0 || other.started_at_ms == 0 ||
                             started_at_ms == other.started_at_ms;
  return may_be_same_process ? sequence < other.sequence
                             : started_at_ms < other.started_at_ms;
}

namespace {

// After this time without a report from another instance, its callers have
// received their first token or timed out, so its load no longer counts.
constexpr Millis kNeighbourLoadLifetime{2500};

// A reported queue is processed within this time.
constexpr Millis kReportedLoadLifetime{400};

// Plain calls that may wait per slot, and the share of the queue length at
// which the upstream refuses calls that they may use. The rest is for calls
// that other instances have sent meanwhile.
constexpr double kMaxWaitingPerSlot = 2;
constexpr double kMaxQueueShare = 0.75;

// The breaker opens after few failures but only for a short time: other
// upstreams take the load meanwhile, and a successful probe closes it.
constexpr admission::BreakerSettings kBreakerSettings{
    .failure_threshold = 3,
    .open_duration = Millis(800),
    .max_open_duration = Millis(6000),
    .max_half_open_probes = 2,
};

// Weight of one call in the failure rate: a single failure has little effect,
// several in a row are visible.
constexpr double kFailureSampleWeight = 0.2;
// The failure rate decays with this half-life, so that a recovered upstream
// receives calls again.
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

void FailureRate::Record(bool has_failed, Instant now) {
  double before = At(now);
  rate_ = before + kFailureSampleWeight * ((has_failed ? 1.0 : 0.0) - before);
  at_ = now;
}

double FailureRate::At(Instant now) const {
  auto age = static_cast<double>((now - at_).count());
  return rate_ * std::exp2(-age / kFailureHalfLifeUs);
}

uint32_t PromptCacheView::CachedPrefixTokens(
    const std::vector<PromptPart>& parts) const {
  uint32_t tokens = 0;
  for (const PromptPart& part : parts) {
    auto it = entries_.find(part.id);
    if (it == entries_.end()) {
      break;
    }
    tokens += std::min(part.tokens, it->second.tokens);
  }
  return tokens;
}

void PromptCacheView::MarkUsed(const std::vector<PromptPart>& parts,
                               uint64_t memory_tokens) {
  for (const PromptPart& part : parts) {
    auto it = entries_.find(part.id);
    if (it != entries_.end()) {
      recency_order_.splice(recency_order_.begin(), recency_order_,
                            it->second.at);
      continue;
    }
    recency_order_.push_front(part.id);
    entries_[part.id] = {part.tokens, recency_order_.begin()};
    total_tokens_ += part.tokens;
  }
  while (total_tokens_ > memory_tokens && !recency_order_.empty()) {
    auto it = entries_.find(recency_order_.back());
    total_tokens_ -= it->second.tokens;
    entries_.erase(it);
    recency_order_.pop_back();
  }
}

void PromptCacheView::Clear() {
  recency_order_.clear();
  entries_.clear();
  total_tokens_ = 0;
}

Upstream::Upstream(UpstreamRecord registered)
    : record(std::move(registered)),
      notice(std::make_shared<UpstreamNotice>(record.started_at_ms)),
      breaker(kBreakerSettings) {}

LoadShare Upstream::TotalLoad(Instant now, double mean_prefill_tokens) const {
  LoadShare total = own_load;
  total.Add(forwarded_load);
  for (const auto& [instance, neighbour] : neighbour_loads) {
    if (now - neighbour.at < kNeighbourLoadLifetime) {
      total.Add(neighbour.share);
    }
  }
  if (reported && now - reported->at < kReportedLoadLifetime) {
    total.running =
        std::max(total.running, reported->running + reported->waiting);
    total.prefill_tokens = std::max(
        total.prefill_tokens,
        static_cast<uint64_t>(mean_prefill_tokens * reported->waiting));
  }
  return total;
}

double Upstream::PlainCalls(Instant now) const {
  bool is_adaptive = slowness.is_reported() || full_pause.has_refused();
  if (auto estimate = queue.At(now); is_adaptive && estimate) {
    return std::max<double>(own_load.running, *estimate);
  }
  return TotalLoad(now, 0).running;
}

double Upstream::MaxPlainCalls() const {
  double slots = std::max(1U, record.slots);
  double few_waiting = std::floor(slots / 2) + 1;
  if (!slowness.is_reported() && !full_pause.full_queue()) {
    return slots + few_waiting;
  }
  double most_waiting = kMaxWaitingPerSlot * slots;
  if (full_pause.full_queue()) {
    most_waiting =
        std::min(most_waiting, kMaxQueueShare * *full_pause.full_queue());
  }
  return slots + std::max(few_waiting, most_waiting);
}

void Upstream::OnRestarted() {
  cache.Clear();
  is_misdirected = false;
  reported.reset();
  slowness = Slowness();
  queue = QueueEstimate();
  service_time = ServiceTime(kServiceTimeWeight);
  full_pause = FullPause();
}

bool Upstream::IsRejectedBy(const InstanceId& instance, Instant now) const {
  auto it = neighbour_loads.find(instance);
  return it != neighbour_loads.end() && !it->second.is_accepting &&
         now - it->second.at < kNeighbourLoadLifetime;
}

void Upstream::OnReport(const InstanceId& instance, const LoadShare& share,
                        bool is_accepting, Instant now) {
  neighbour_loads[instance] = {share, now, is_accepting};
  forwarded_load = LoadShare();
}

}  // namespace basilvalve::flow
