// Counters and latency histograms of the event-driven request path.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "Core/Common/clock.h"

namespace basilvalve::edge {

/// Not thread safe: written and read on the event loop's thread. Label values
/// must come from bounded sets.
class EdgeMetrics {
 public:
  EdgeMetrics();
  ~EdgeMetrics();
  EdgeMetrics(const EdgeMetrics&) = delete;
  EdgeMetrics& operator=(const EdgeMetrics&) = delete;

  /// Counts a call that ended with `outcome` and response status `status`.
  void CountCall(std::string_view outcome, int status);
  void ObserveFirstByte(Micros time);
  void ObserveTotal(Micros time);
  /// Counts a call sent to an upstream (`where` is "here") or to another region
  /// ("away").
  void CountSend(std::string_view where);
  void CountRetry(std::string_view reason);
  /// Counts a hedge by `event`: "sent", or "won" if its response was the first.
  void CountHedge(std::string_view event);
  /// Counts a call that was not hedged when its delay had passed.
  void CountHedgeRefused(std::string_view reason);
  /// Counts an upstream that crashed under calls of this instance.
  void CountUpstreamCrash();
  /// Counts a call that was refused because of a blocked prompt part.
  void CountBlockedCall();
  /// Counts a call of a workspace with a token quota: `decision` is "admitted",
  /// "refused", or "refunded" for an admitted one that was not run.
  void CountQuota(std::string_view workspace, std::string_view decision,
                  uint64_t tokens);
  void CountStoreCall(std::string_view kind, int status);
  void CountCrossRegionBytes(uint64_t bytes);
  /// Counts a change of what is known of an upstream's willingness: `change` is
  /// "leaving" or "pause", `source` who said so.
  void CountNotice(std::string_view change, std::string_view source);
  /// Counts a call that was taken back before it was sent, since its upstream
  /// said it wants none.
  void CountWithdrawn();
  /// Counts a response that belongs to another call ("other") or names none
  /// ("none").
  void CountForeignResponse(std::string_view names);
  void CountInvalidDatagram();
  /// Counts a plain call that an upstream refused because it is full.
  void CountFullRefusal();
  /// Counts a plain call that was refused because its response would have come
  /// after its deadline.
  void CountLateRefusal();
  /// Counts a call that was sent to find out whether a forecast still holds.
  void CountTrial();
  /// Sets the learned time of a service's plain calls, and the highest slowness
  /// of its upstreams.
  void SetServiceSpeed(std::string_view service, Micros service_time,
                       double slowness);
  /// Sets the learned speeds of a service with model calls.
  void SetModelSpeed(std::string_view service, double time_per_token_us,
                     double prefill_tokens_per_ms);
  /// Counts the bytes that ended with a connection: of responses that were not
  /// written, and of requests that were read and discarded.
  void CountBytesLost(uint64_t unwritten, uint64_t discarded);
  void SetConnectionsOpened(uint64_t upstreams, uint64_t peers);
  /// Counts a connection or request that was ended to keep the limits of the
  /// machine.
  void CountShed(std::string_view reason);
  /// Sets the bytes that connections buffer and the number of connections.
  void SetResources(uint64_t request_bytes, uint64_t other_bytes,
                    uint64_t caller_connections, uint64_t other_connections);
  void SetStateVersion(uint64_t version);
  /// Whether keys may be checked against the desired state.
  void SetStateFresh(bool is_fresh);
  /// Counts a change of that: `to` is "fresh" or "stale".
  void CountFreshnessChange(std::string_view to);
  /// All metrics in the Prometheus text exposition format.
  std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilvalve::edge
