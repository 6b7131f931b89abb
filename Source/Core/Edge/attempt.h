// One attempt to execute a call on an upstream or through a peer instance.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Core/Edge/edge_components.h"
#include "Core/Edge/run_ledger.h"
#include "Core/Flow/placement.h"
#include "Core/Net/client_connection.h"

namespace basilvalve::edge {

/// State of one attempt. While it is in flight, its load is added to
/// `upstream->own_load`. Not thread safe.
struct Attempt {
  bool is_active = false;
  AttemptNumber number;
  /// nullptr if the call is forwarded to another region.
  flow::UpstreamRegistry::Ptr upstream;
  /// What was known of the upstream's process when the call was sent.
  flow::UpstreamNotice::Ptr notice;
  /// For a forwarded call: the instance that received it.
  InstanceId peer;
  RegionId region;
  net::Endpoint endpoint;
  std::shared_ptr<net::ClientConnection> connection;
  /// Whether the connection was idle before this attempt.
  bool is_connection_reused = false;
  Instant sent_at;
  /// Time of the last event of a stream or the last bytes of a plain response,
  /// or of the send if there were none.
  Instant last_event_at;
  /// When this instance last began to read from the connection.
  Instant listening_since;
  /// The upstream's silence was counted as a failure.
  bool is_silence_recorded = false;
  flow::Forecast forecast;
  /// The part of `upstream->own_load` that this attempt added; heartbeats
  /// report the sum to the region's other instances.
  flow::LoadShare load_share;
  bool has_first_byte = false;
  /// Events of the call's stream before this attempt.
  uint64_t events_before = 0;
  /// Whether the upstream has got past the start of its response, which is
  /// where a deadly prompt part crashes it.
  bool is_past_start = false;
  /// Set if the response proves that the call was not executed.
  std::optional<NotRunProof> not_run_proof;
  /// The upstream states that it is leaving, in this response or in a late one
  /// to another call before it.
  bool is_leaving = false;
  /// The response lacks the upstream's signature or its unmodified body.
  bool is_unverified = false;
  /// Set if a peer instance reported that no upstream produced a response.
  std::optional<Outcome> peer_outcome;
  /// Retry-After of a peer instance that refused the call; zero if none.
  Millis peer_retry_after{0};
  /// Whether a peer instance states that it sent the call to no upstream.
  bool is_unsent_by_peer = false;
  /// For a call forwarded within the region: the upstream it was meant for.
  UpstreamId suggested_upstream;
  net::MessageHead head;
  /// Body bytes that were received; `body` keeps them only if they are used.
  size_t body_bytes = 0;
  std::string body;
  net::MemoryReservation body_memory;

  /// Whether a response with this head may be passed on. Not thread safe.
  bool IsUsable() const {
    return !not_run_proof && !is_unverified && !peer_outcome;
  }

  /// Starts an attempt on the chosen upstream: adds the attempt's load and
  /// notifies the breaker and the send limiter. Not thread safe.
  static Attempt ToUpstream(EdgeComponents* components,
                            const flow::Placement& placement,
                            const ServiceName& service,
                            const flow::CallSize& size,
                            const flow::ServiceTraits& traits);
  /// Starts an attempt through an instance of another region. Not thread safe.
  static Attempt ToPeer(const flow::InstanceRecord& peer,
                        const net::Endpoint& endpoint);

  /// Called at the first byte of the response, when the upstream has processed
  /// the prompt. Not thread safe.
  void OnPrefillDone();
  /// Records that the upstream proved not to have run the call. A plain call
  /// that was refused because the upstream is full pauses further ones. Not
  /// thread safe.
  void OnRefused(EdgeComponents* components, const ResponseInfo& response,
                 const flow::CallSize& size);
  /// Learns the time of a plain call from the start of its successful response.
  /// Not thread safe.
  void LearnServiceTime(flow::UpstreamRegistry* registry,
                        const flow::CallSize& size, Instant now);
  /// Subtracts the attempt's load from its upstream. Idempotent. Not thread
  /// safe.
  void ReleaseLoad();
  /// Records the result in the upstream's failure rate. Not thread safe.
  void RecordResult(bool has_failed, Instant now);
};

}  // namespace basilvalve::edge
