#include "Core/Flow/send_limiter.h"

#include <algorithm>

namespace basilvalve::flow {
namespace {

// Share of a cold upstream's rate that is used, since calls sent at intervals
// may arrive together, and other instances may consider themselves the owner
// for a moment.
constexpr double kColdRateShare = 0.7;
// An upstream tolerates 1.5 times its stated limit and five calls more in 4 s.
// An owner uses less of it, since another instance may consider itself the
// owner until heartbeats have arrived. The constant part also keeps calls
// coming to an upstream that takes almost none: only a response shows that its
// limit has ended.
constexpr double kStatedRateShare = 1.1;
constexpr double kExtraCallsPerSecond = 0.6;
// Calls that an owner may send at once after an idle time.
constexpr double kBurst = 1.5;
// Longer than the interval between two calls to any upstream.
constexpr Seconds kMemory{30};

}  // namespace

bool SendLimiter::Allows(const UpstreamId& upstream, const SendLimits& limits,
                         bool is_owner, Instant now) {
  if (limits.empty()) {
    return true;
  }
  State& state = states_[upstream];
  state.used_at = now;
  if (!is_owner || !limits.stated) {
    state.bucket.reset();
  }
  if (!is_owner) {
    return false;
  }
  if (limits.stated) {
    Bucket& bucket =
        state.bucket ? *state.bucket : state.bucket.emplace(Bucket{0, now});
    double per_second =
        kStatedRateShare * limits.stated->value() + kExtraCallsPerSecond;
    double elapsed_s =
        std::chrono::duration<double>(now - bucket.filled_at).count();
    bucket.tokens = std::min(kBurst, bucket.tokens + per_second * elapsed_s);
    bucket.filled_at = now;
    if (bucket.tokens < 1) {
      return false;
    }
  }
  if (limits.cold && state.last_sent_at) {
    auto min_interval = Micros(
        static_cast<int64_t>(1e6 / (limits.cold->value() * kColdRateShare)));
    return now - *state.last_sent_at >= min_interval;
  }
  return true;
}

void SendLimiter::OnSent(const UpstreamId& upstream, Instant now) {
  State& state = states_[upstream];
  state.last_sent_at = state.used_at = now;
  if (state.bucket) {
    state.bucket->tokens -= 1;
  }
}

void SendLimiter::OnUnsent(const UpstreamId& upstream) {
  auto it = states_.find(upstream);
  if (it != states_.end() && it->second.bucket) {
    double& tokens = it->second.bucket->tokens;
    tokens = std::min(kBurst, tokens + 1);
  }
}

void SendLimiter::Sweep(Instant now) {
  std::erase_if(states_, [now](const auto& entry) {
    return now - entry.second.used_at > kMemory;
  });
}

}  // namespace basilvalve::flow
