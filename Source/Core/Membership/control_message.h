// Messages that instances send each other as datagrams.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Common/strong_id.h"
#include "Core/Http/http_message.h"

namespace basilvalve::membership {

enum class MemberState : uint8_t { kAlive, kSuspect, kDead, kLeft };

/// What one instance tells of itself, spread by the others.
struct MemberInfo {
  InstanceId id;
  RegionId region;
  /// Start of the process; a later start replaces all that is known of an
  /// earlier one.
  Incarnation incarnation;
  /// Raised by the instance itself to refute a suspicion or to change what it
  /// tells.
  uint32_t revision = 0;
  MemberState state = MemberState::kAlive;
  /// Address of datagrams and of peer streams (same port number, UDP and TCP).
  http::Endpoint peer;
  /// Address for callers.
  http::Endpoint caller;
  /// Share of the concurrency limit in use, 0 to 100.
  uint8_t load_percent = 0;
  /// No new work; the instance is stopping.
  bool draining = false;
};

/// Load of one model in one region.
struct ModelSummary {
  ModelName model;
  /// Predicted time to first token of a short prompt, in milliseconds.
  uint32_t first_token_ms = 0;
  /// Live upstreams of the model.
  uint32_t upstreams = 0;
};

/// What a region tells the others.
struct RegionSummary {
  RegionId region;
  /// Raised by every summary of one speaker; orders those of the same speaker.
  uint64_t sequence = 0;
  std::vector<ModelSummary> models;
  /// Names of plain services with a live upstream in the region.
  std::vector<ServiceName> services;
  /// A few live entry instances to which requests can be forwarded.
  std::vector<MemberInfo> contacts;
};

/// An upstream that a member saw leaving or failing.
struct UpstreamNotice {
  UpstreamId upstream;
  /// Age of the observation when the message was sent, in milliseconds.
  uint32_t age_ms = 0;
};

enum class ControlKind : uint8_t { kPing, kAck, kPingRequest, kSummary };

/// One datagram.
struct ControlMessage {
  ControlKind kind = ControlKind::kPing;
  InstanceId sender;
  Incarnation incarnation;
  /// Rises with every message of the incarnation.
  Sequence sequence;
  /// Number of the probe that an ack answers.
  uint64_t probe = 0;
  /// Whom a ping request asks to probe, or whom an ack speaks for.
  InstanceId target;
  std::vector<MemberInfo> members;
  /// Hash of the sender's document digest; 0 if it tells none.
  uint64_t document_hash = 0;
  std::vector<UpstreamNotice> notices;
  /// Holds one element in a kSummary message.
  std::vector<RegionSummary> summaries;
};

/// A message and where to send it.
struct OutgoingMessage {
  http::Endpoint to;
  ControlMessage message;
};

}  // namespace basilvalve::membership
