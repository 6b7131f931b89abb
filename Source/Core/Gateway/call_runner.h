// Routes a call, runs it and retries it within the retry budget.
#pragma once

#include <vector>

#include "Core/Gateway/call_ports.h"
#include "Core/Gateway/node_parts.h"

namespace basilvalve::gateway {

/// Runs calls that have passed the filters. Thread safe.
class CallRunner : public CallExecutor {
 public:
  /// Pre: the pointers outlive the runner.
  CallRunner(const NodeParts* parts, UpstreamPort* upstreams, PeerPort* peers)
      : parts_(parts), upstreams_(upstreams), peers_(peers) {}

  /// Runs a call if the workspace's concurrency limit admits it, and retries it
  /// as the retry rules allow. The outcome is kNotRun only if every attempt
  /// ended with kNotRun. Thread safe; blocks until the call has ended.
  CallResult Run(const Call& call, CallResponseSink* sink) override;

 private:
  /// The attempts made so far for one call.
  struct AttemptHistory {
    uint32_t started = 0;
    /// Handles in the upstream table.
    std::vector<uint32_t> tried_upstreams;
    std::vector<RegionId> tried_regions;
    bool any_outcome_unknown = false;
  };

  CallResult RunWithRetries(const Call& call, CallResponseSink* sink);
  CallResult RunAttempt(const Call& call, AttemptHistory* attempts,
                        CallResponseSink* sink);
  routing::RouteDecision RouteCall(const Call& call,
                                   const AttemptHistory& attempts,
                                   routing::RouteInput* input);
  /// Routes a call that is not a model call: to the local upstream with the
  /// fewest in-flight calls, else to another region.
  routing::RouteDecision RouteServiceCall(const Call& call,
                                          routing::RouteInput* input);
  std::vector<routing::RemoteOption> RemoteOptions(
      const Call& call, const AttemptHistory& attempts);
  /// Whether to retry after `result`. Spends one retry of the budget if so.
  bool TryAcquireRetry(const Call& call, const AttemptHistory& attempts,
                       const CallResult& result, CallResponseSink* sink);

  const NodeParts* parts_;
  UpstreamPort* upstreams_;
  PeerPort* peers_;
};

}  // namespace basilvalve::gateway
