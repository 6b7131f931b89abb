// Tells a crashed upstream from a lost connection.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "Core/Edge/connection_pool.h"
#include "Core/Flow/poison_tracker.h"
#include "Core/Flow/upstream_registry.h"

namespace basilvalve::edge {

/// A call whose connection broke before it had got past its first events.
struct LostCall {
  RequestId request;
  std::vector<flow::PromptPartId> parts;
};

/// Connects to an upstream after a connection to it broke: it crashed if
/// nothing listens there. Not thread safe.
class CrashDetector {
 public:
  using Upstream = flow::UpstreamRegistry::Ptr;
  /// Receives the calls that were lost in a crash, and when.
  using CrashFn =
      std::function<void(const flow::Upstream& upstream,
                         const std::vector<LostCall>& calls, Instant at)>;
  using DoneFn = std::function<void(bool has_crashed)>;

  /// `loop`, `pool` and `registry` must outlive the detector.
  CrashDetector(net::EventLoop* loop, ConnectionPool* pool,
                const flow::UpstreamRegistry* registry, CrashFn on_crash);
  ~CrashDetector();
  CrashDetector(const CrashDetector&) = delete;
  CrashDetector& operator=(const CrashDetector&) = delete;

  /// Verifies whether the upstream crashed under the call; calls that break
  /// meanwhile share the result. `done`, if set, is called with it from the
  /// loop. An upstream that is leaving has not crashed.
  void OnConnectionLost(const Upstream& upstream, LostCall call, DoneFn done);

 private:
  struct Verification;

  void Connect(Verification* verification);
  void OnConnected(Verification* verification, net::ConnectResult result);
  void Finish(Verification* verification, bool has_crashed);

  net::EventLoop* loop_;
  ConnectionPool* pool_;
  const flow::UpstreamRegistry* registry_;
  CrashFn on_crash_;
  std::map<UpstreamId, std::unique_ptr<Verification>> verifications_;
};

}  // namespace basilvalve::edge
