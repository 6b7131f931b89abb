// Gossip membership protocol of one region: probing, suspicion and
// dissemination of updates.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/random.h"
#include "Core/Membership/control_message.h"

namespace basilvalve::membership {

/// Timing and dissemination parameters of the protocol.
struct MembershipSettings {
  /// Interval between probes; one member is probed per interval. A probe
  /// without an ack after this time makes its target a suspect.
  Millis probe_period{1000};
  /// Time without an ack after which other members are asked to probe the
  /// target.
  Millis probe_timeout{300};
  /// A suspected member that has not refuted the suspicion within this time is
  /// declared dead.
  Millis suspicion_timeout{3000};
  /// How long a member that is dead or has left stays in the table.
  Millis dead_member_retention{60000};
  /// Number of members asked to probe a target that sent no ack.
  size_t indirect_probes = 2;
  /// An update is retransmitted this many times the base-2 logarithm of the
  /// number of members.
  size_t retransmit_factor = 3;
  /// Largest number of updates piggybacked on one message.
  size_t max_updates_per_message = 6;
};

/// State of a member as known to this instance.
struct MemberView {
  MemberInfo info;
  /// Time of the last state change by the local clock.
  Instant state_since;
};

/// State machine of the protocol, driven by Tick and OnMessage. Both return the
/// messages to send; the sender of a message sets its sequence number. The
/// class has no clock, socket or thread of its own. Not thread safe.
class MemberTable {
 public:
  /// Pre: `self` has an id, region, incarnation and peer address.
  MemberTable(const MembershipSettings& settings, MemberInfo self,
              uint64_t seed);

  /// Adds a member known from another source, such as the platform's instance
  /// list. Has no effect if the member is known already or belongs to another
  /// region.
  void AddDiscovered(const MemberInfo& info, Instant now);
  /// Updates the published state of this instance.
  void UpdateSelf(uint8_t load_percent, bool draining);
  /// Advances the protocol to `now`; returns the messages to send.
  std::vector<OutgoingMessage> Tick(Instant now);
  /// Handles an authenticated message; returns the replies to send.
  std::vector<OutgoingMessage> OnMessage(const ControlMessage& message,
                                         Instant now);
  /// Marks this instance as left and returns messages that announce it to some
  /// members. Call once, as the last call.
  std::vector<OutgoingMessage> Leave();

  /// All known members except this instance.
  std::vector<MemberView> Members() const;
  /// Alive and suspected members including this instance, sorted by id.
  std::vector<MemberInfo> Live() const;
  /// The member with this id, nullopt if it is unknown.
  std::optional<MemberInfo> Find(const InstanceId& id) const;
  /// Published state of this instance.
  const MemberInfo& self() const { return self_; }

 private:
  struct Entry {
    MemberInfo info;
    Instant state_since;
  };

  struct Probe {
    InstanceId target;
    uint64_t number = 0;
    Instant sent;
    bool indirect_sent = false;
  };

  struct RelayedProbe {
    InstanceId origin;
    uint64_t origin_probe = 0;
    Instant expires;
  };

  struct Update {
    MemberInfo info;
    size_t transmissions = 0;
  };

  ControlMessage NewMessage(ControlKind kind);
  void PiggybackUpdates(ControlMessage* message);
  void Merge(const MemberInfo& info, Instant now);
  void RefuteIfSuspected(const MemberInfo& info);
  void SetState(Entry* entry, MemberState state, Instant now);
  void Enqueue(const MemberInfo& info);
  void ExpireMembers(Instant now);
  void CheckProbe(Instant now, std::vector<OutgoingMessage>* out);
  void StartProbe(Instant now, std::vector<OutgoingMessage>* out);
  std::optional<InstanceId> NextProbeTarget();
  std::vector<InstanceId> RandomAlive(size_t count, const InstanceId& except);
  size_t RetransmitLimit() const;

  MembershipSettings settings_;
  MemberInfo self_;
  Random random_;
  std::map<InstanceId, Entry> members_;
  std::map<InstanceId, Update> updates_;
  std::vector<InstanceId> probe_order_;
  std::optional<Probe> probe_;
  std::map<uint64_t, RelayedProbe> relayed_probes_;
  Instant next_probe_time_;
  uint64_t next_probe_number_ = 1;
};

/// Whether `candidate` is newer information than `current` about the same
/// member.
bool Supersedes(const MemberInfo& candidate, const MemberInfo& current);

}  // namespace basilvalve::membership
