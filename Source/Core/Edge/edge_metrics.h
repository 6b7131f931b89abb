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
  /// Counts an upstream that crashed under calls of this instance.
  void CountUpstreamCrash();
  /// Counts a call that was refused because of a blocked prompt part.
  void CountBlockedCall();
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
  /// All metrics in the Prometheus text exposition format.
  std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilvalve::edge
