// Control messages that instances exchange as UDP datagrams.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Common/strong_id.h"
#include "Core/Http/http_message.h"

namespace basilvalve::membership {

enum class MemberState : uint8_t { kAlive, kSuspect, kDead, kLeft };

/// State of one instance, published by the instance itself and spread by
/// gossip.
struct MemberInfo {
  InstanceId id;
  RegionId region;
  /// Identifies one start of the process; a higher incarnation replaces all
  /// state of a lower one.
  Incarnation incarnation;
  /// Incremented by the instance itself to refute a suspicion or to publish a
  /// change of its state.
  uint32_t revision = 0;
  MemberState state = MemberState::kAlive;
  /// Address for control datagrams and peer streams (same port number, UDP and
  /// TCP).
  http::Endpoint peer;
  /// Address that accepts calls.
  http::Endpoint caller;
  /// Used share of the concurrency limit, 0 to 100.
  uint8_t load_percent = 0;
  /// The instance is shutting down and takes no new work.
  bool draining = false;
};

/// Load and capacity of one model in one region.
struct ModelSummary {
  ModelName model;
  /// Predicted time to first token for a short prompt, in milliseconds.
  uint32_t first_token_ms = 0;
  /// Number of live upstreams that serve the model.
  uint32_t upstreams = 0;
};

/// Summary of a region that is sent to the other regions.
struct RegionSummary {
  RegionId region;
  /// Incremented for every summary of one sender; only comparable between
  /// summaries of the same sender.
  uint64_t sequence = 0;
  std::vector<ModelSummary> models;
  /// Services without a model that have a live upstream in the region.
  std::vector<ServiceName> services;
  /// Some live instances of the region to which requests can be forwarded.
  std::vector<MemberInfo> contacts;
};

/// Reports an upstream that a member saw shutting down or failing.
struct UpstreamNotice {
  UpstreamId upstream;
  /// Time from the observation until the message was sent, in milliseconds.
  uint32_t age_ms = 0;
};

enum class ControlKind : uint8_t { kPing, kAck, kPingRequest, kSummary };

/// Contents of one control datagram.
struct ControlMessage {
  ControlKind kind = ControlKind::kPing;
  InstanceId sender;
  Incarnation incarnation;
  /// Incremented for every message of the incarnation.
  Sequence sequence;
  /// Number of the probe; an ack repeats it.
  uint64_t probe = 0;
  /// The member that a ping request asks to probe, or on whose behalf an ack is
  /// sent.
  InstanceId target;
  std::vector<MemberInfo> members;
  /// Hash of the sender's document digest; 0 if it publishes none.
  uint64_t document_hash = 0;
  std::vector<UpstreamNotice> notices;
  /// Holds exactly one element in a kSummary message.
  std::vector<RegionSummary> summaries;
};

/// A message with its destination address.
struct OutgoingMessage {
  http::Endpoint to;
  ControlMessage message;
};

}  // namespace basilvalve::membership
