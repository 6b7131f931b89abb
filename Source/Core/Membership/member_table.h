// Membership of one region: probing, suspicion and the spreading of updates.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/random.h"
#include "Core/Membership/control_message.h"

namespace basilvalve::membership {

/// Periods of the protocol.
struct MembershipSettings {
  /// One member is probed in each period.
  Millis probe_period{1000};
  /// Without an ack for this long, others are asked to probe.
  Millis probe_timeout{300};
  /// A suspected member that does not refute within this time is dead.
  Millis suspicion_timeout{3000};
  /// A dead or left member is forgotten after this time.
  Millis forget{60000};
  /// Members asked to probe on behalf of this one.
  size_t indirect_probes = 2;
  /// How often an update is passed on, times the logarithm of the group's size.
  size_t retransmit_factor = 3;
  /// Updates carried by one message at most.
  size_t updates_each = 6;
};

/// A member as this instance sees it.
struct MemberView {
  MemberInfo info;
  /// When the state last changed, by this instance's clock.
  Instant since;
};

/// A state machine: it is driven by Tick and OnMessage and returns what to
/// send, the messages' sequence numbers being left to the sender. It has no
/// clock, socket or thread of its own. Not thread safe.
class MemberTable {
 public:
  /// Pre: `self` has an id, region, incarnation and peer address.
  MemberTable(const MembershipSettings& settings, MemberInfo self,
              uint64_t seed);

  /// Learns of a member from outside, such as the platform's list; never
  /// overrides what members said. `info` of another region is ignored.
  void Introduce(const MemberInfo& info, Instant now);
  /// Changes what this instance tells of itself.
  void UpdateSelf(uint8_t load_percent, bool draining);
  /// Advances to `now`; returns the messages due.
  std::vector<OutgoingMessage> Tick(Instant now);
  /// Handles a verified message; returns the answers.
  std::vector<OutgoingMessage> OnMessage(const ControlMessage& message,
                                         Instant now);
  /// Messages that tell a few members of the departure. Call once, last.
  std::vector<OutgoingMessage> Leave();

  /// All known members but this one.
  std::vector<MemberView> Members() const;
  /// Alive and suspected members and this one, sorted by id.
  std::vector<MemberInfo> Live() const;
  /// The member, nullopt if it is unknown.
  std::optional<MemberInfo> Find(const InstanceId& id) const;
  /// What this instance tells of itself.
  const MemberInfo& self() const { return self_; }

 private:
  struct Entry {
    MemberInfo info;
    Instant since;
  };

  struct Probe {
    InstanceId target;
    uint64_t number = 0;
    Instant sent;
    bool indirect_sent = false;
  };

  struct Relay {
    InstanceId origin;
    uint64_t origin_probe = 0;
    Instant expires;
  };

  struct Update {
    MemberInfo info;
    size_t transmissions = 0;
  };

  ControlMessage NewMessage(ControlKind kind);
  void Attach(ControlMessage* message);
  void Merge(const MemberInfo& info, Instant now);
  void MergeSelf(const MemberInfo& info);
  void SetState(Entry* entry, MemberState state, Instant now);
  void Enqueue(const MemberInfo& info);
  void ExpireMembers(Instant now);
  void CheckProbe(Instant now, std::vector<OutgoingMessage>* out);
  void StartProbe(Instant now, std::vector<OutgoingMessage>* out);
  std::optional<InstanceId> NextTarget();
  std::vector<InstanceId> RandomLive(size_t count, const InstanceId& except);
  size_t RetransmitLimit() const;

  MembershipSettings settings_;
  MemberInfo self_;
  Random random_;
  std::map<InstanceId, Entry> members_;
  std::map<InstanceId, Update> updates_;
  std::vector<InstanceId> round_;
  std::optional<Probe> probe_;
  std::map<uint64_t, Relay> relays_;
  Instant next_probe_;
  uint64_t next_probe_number_ = 1;
};

/// Whether `left` replaces `right`, both being of the same member.
bool Supersedes(const MemberInfo& left, const MemberInfo& right);

}  // namespace basilvalve::membership
