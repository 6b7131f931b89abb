// One send of a call to an upstream or an instance, and what came of it.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Core/Edge/edge_components.h"
#include "Core/Flow/placement.h"
#include "Core/Net/client_connection.h"

namespace basilvalve::edge {

/// Keeps account of what it asks of its upstream. Not thread safe.
struct Attempt {
  bool is_active = false;
  /// nullptr for a send to another region.
  flow::UpstreamRegistry::Ptr upstream;
  InstanceId peer;
  RegionId region;
  net::Endpoint endpoint;
  std::shared_ptr<net::ClientConnection> connection;
  Instant sent_at;
  /// When the last event came, or it was sent.
  Instant event_at;
  flow::Forecast forecast;
  /// Its work at the upstream, as neighbours are told.
  flow::LoadShare share;
  bool has_first = false;
  bool is_refusal = false;
  bool is_unproven = false;
  /// What a peer said of a call that no upstream answered.
  std::optional<Outcome> peer_outcome;
  net::MessageHead head;
  std::string body;

  /// A send to the chosen upstream, whose work grows by it. Not thread safe.
  static Attempt Here(EdgeParts* parts, const flow::Placement& placement,
                      const ServiceName& service, const flow::CallSize& size,
                      const flow::ServiceTraits& traits);
  /// A send to an instance of another region. Not thread safe.
  static Attempt Away(const flow::InstanceRecord& peer,
                      const net::Endpoint& endpoint);

  /// The upstream has read the prompt. Not thread safe.
  void OnPromptRead();
  /// The upstream's work shrinks by this send. May be called twice. Not thread
  /// safe.
  void ReleaseShare();
  /// The upstream ended it well or not. Not thread safe.
  void NoteEnd(bool has_failed, Instant now);
};

}  // namespace basilvalve::edge
