// Rate limits on calls to upstreams that bear few of them.
#pragma once

#include <map>
#include <optional>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"
#include "Core/Flow/calls_per_second.h"

namespace basilvalve::flow {

/// What one upstream bears from all instances together.
struct SendLimits {
  /// While it is cold; nullopt if it is warm, or bears any rate when cold.
  std::optional<CallsPerSecond> cold;
  /// As it stated itself; nullopt if it states no limit.
  std::optional<CallsPerSecond> stated;

  bool empty() const { return !cold && !stated; }
};

/// Limits the rate at which this instance sends to upstreams that are cold or
/// state a limit. Only the owner of such an upstream sends to it; the rates
/// leave room for other instances that consider themselves its owner for a
/// moment. Not thread safe.
class SendLimiter {
 public:
  /// Whether this instance may send the upstream one more call now. An instance
  /// that becomes the owner, or learns of a limit, begins without saved calls.
  bool Allows(const UpstreamId& upstream, const SendLimits& limits,
              bool is_owner, Instant now);
  /// Records that a call was sent to the upstream.
  void OnSent(const UpstreamId& upstream, Instant now);
  /// Gives back the latest call, which was never written to a connection.
  void OnUnsent(const UpstreamId& upstream);
  /// Forgets upstreams that were neither asked about nor sent calls for long.
  void Sweep(Instant now);

 private:
  /// Token bucket for a stated limit.
  struct Bucket {
    double tokens = 0;
    Instant filled_at;
  };
  struct State {
    std::optional<Instant> last_sent_at;
    std::optional<Bucket> bucket;
    Instant used_at;
  };

  std::map<UpstreamId, State> states_;
};

}  // namespace basilvalve::flow
