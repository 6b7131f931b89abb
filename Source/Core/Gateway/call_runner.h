// Chooses where a call runs, runs it, and tries again where that is allowed.
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

  /// Admits and runs a call. The outcome over all attempts is kNotRun only if
  /// every attempt's was. Thread safe; blocks until the call has ended.
  CallEnd Run(const Call& call, CallResponseSink* sink) override;

 private:
  /// What earlier attempts of the call left behind.
  struct Attempts {
    uint32_t made = 0;
    std::vector<uint32_t> tried;
    std::vector<RegionId> tried_regions;
    bool any_unknown = false;
  };

  CallEnd RunAttempts(const Call& call, CallResponseSink* sink);
  CallEnd RunOnce(const Call& call, Attempts* attempts, CallResponseSink* sink);
  routing::RouteDecision Decide(const Call& call, const Attempts& attempts,
                                routing::RouteInput* input);
  routing::RouteDecision DecidePlain(const Call& call,
                                     routing::RouteInput* input);
  std::vector<routing::RemoteOption> RemoteOptions(const Call& call,
                                                   const Attempts& attempts);
  bool MayRetry(const Call& call, const Attempts& attempts, const CallEnd& end,
                CallResponseSink* sink);

  const NodeParts* parts_;
  UpstreamPort* upstreams_;
  PeerPort* peers_;
};

}  // namespace basilvalve::gateway
