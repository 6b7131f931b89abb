#include "Core/Membership/member_table.h"

#include <algorithm>
#include <bit>

namespace basilvalve::membership {
namespace {

/// How long a relayed probe waits for its ack before it is dropped.
constexpr Millis kRelayedProbeTimeout{5000};

bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

}  // namespace

bool Supersedes(const MemberInfo& candidate, const MemberInfo& current) {
  if (candidate.incarnation != current.incarnation) {
    return candidate.incarnation > current.incarnation;
  }
  // A member that has left stays so for this incarnation: other instances may
  // already have acted on its departure, so no later revision brings it back.
  bool current_is_final = current.state == MemberState::kLeft;
  if (current_is_final) {
    return false;
  }
  if (candidate.revision != current.revision) {
    return candidate.revision > current.revision;
  }
  return candidate.state > current.state;
}

MemberTable::MemberTable(const MembershipSettings& settings, MemberInfo self,
                         uint64_t seed)
    : settings_(settings), self_(std::move(self)), random_(seed) {
  self_.state = MemberState::kAlive;
}

ControlMessage MemberTable::NewMessage(ControlKind kind) {
  ControlMessage message;
  message.kind = kind;
  message.sender = self_.id;
  message.incarnation = self_.incarnation;
  return message;
}

size_t MemberTable::RetransmitLimit() const {
  return settings_.retransmit_factor * std::bit_width(members_.size() + 1);
}

void MemberTable::PiggybackUpdates(ControlMessage* message) {
  message->members.push_back(self_);
  // Updates with the fewest transmissions go first, so that older updates do
  // not delay new ones.
  std::vector<Update*> order;
  for (auto& [id, update] : updates_) {
    order.push_back(&update);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const Update* a, const Update* b) {
                     return a->transmissions < b->transmissions;
                   });
  for (size_t i = 0;
       i < std::min(order.size(), settings_.max_updates_per_message); ++i) {
    message->members.push_back(order[i]->info);
    ++order[i]->transmissions;
  }
  size_t limit = RetransmitLimit();
  std::erase_if(updates_, [limit](const auto& it) {
    return it.second.transmissions >= limit;
  });
}

void MemberTable::Enqueue(const MemberInfo& info) {
  updates_[info.id] = Update{info, 0};
}

void MemberTable::SetState(Entry* entry, MemberState state, Instant now) {
  entry->info.state = state;
  entry->state_since = now;
  Enqueue(entry->info);
}

void MemberTable::AddDiscovered(const MemberInfo& info, Instant now) {
  if (info.id == self_.id || info.region != self_.region ||
      members_.contains(info.id)) {
    return;
  }
  members_[info.id] = Entry{info, now};
}

void MemberTable::UpdateSelf(uint8_t load_percent, bool draining) {
  bool changed = self_.draining != draining;
  self_.load_percent = load_percent;
  self_.draining = draining;
  if (changed) {
    ++self_.revision;
    Enqueue(self_);
  }
}

void MemberTable::RefuteIfSuspected(const MemberInfo& info) {
  bool about_self = info.incarnation == self_.incarnation &&
                    info.state != MemberState::kAlive;
  if (about_self && info.revision >= self_.revision &&
      self_.state == MemberState::kAlive) {
    // Another member suspects this instance, or declared it dead during a
    // pause. A higher revision refutes that.
    self_.revision = info.revision + 1;
    Enqueue(self_);
  }
}

void MemberTable::Merge(const MemberInfo& info, Instant now) {
  if (info.id == self_.id) {
    RefuteIfSuspected(info);
    return;
  }
  if (info.region != self_.region) {
    return;
  }
  auto it = members_.find(info.id);
  if (it == members_.end()) {
    members_[info.id] = Entry{info, now};
    Enqueue(info);
    return;
  }
  Entry& entry = it->second;
  if (Supersedes(info, entry.info)) {
    bool state_changed = entry.info.state != info.state;
    entry.info = info;
    entry.state_since = state_changed ? now : entry.state_since;
    Enqueue(info);
  } else if (info.incarnation == entry.info.incarnation &&
             info.revision == entry.info.revision &&
             info.state == entry.info.state) {
    // The load changes without a new revision. It is short-lived, so it is
    // stored but not gossiped further.
    entry.info.load_percent = info.load_percent;
  }
}

std::vector<OutgoingMessage> MemberTable::OnMessage(
    const ControlMessage& message, Instant now) {
  for (const MemberInfo& it : message.members) {
    Merge(it, now);
  }
  std::vector<OutgoingMessage> out;
  auto sender = members_.find(message.sender);
  if (sender == members_.end() ||
      sender->second.info.incarnation != message.incarnation) {
    return out;
  }
  if (message.kind == ControlKind::kPing) {
    ControlMessage ack = NewMessage(ControlKind::kAck);
    ack.probe = message.probe;
    ack.target = self_.id;
    PiggybackUpdates(&ack);
    // Sends the sender its recorded state, so that a member that was suspected
    // or declared dead while it was paused can refute that.
    if (sender->second.info.state != MemberState::kAlive) {
      ack.members.push_back(sender->second.info);
    }
    out.push_back({sender->second.info.peer, std::move(ack)});
  } else if (message.kind == ControlKind::kPingRequest) {
    auto target = members_.find(message.target);
    if (target != members_.end()) {
      uint64_t number = next_probe_number_++;
      relayed_probes_[number] = RelayedProbe{message.sender, message.probe,
                                             now + kRelayedProbeTimeout};
      ControlMessage ping = NewMessage(ControlKind::kPing);
      ping.probe = number;
      PiggybackUpdates(&ping);
      out.push_back({target->second.info.peer, std::move(ping)});
    }
  } else if (message.kind == ControlKind::kAck) {
    if (probe_ && probe_->number == message.probe &&
        probe_->target == message.target) {
      probe_.reset();
    }
    auto relayed = relayed_probes_.find(message.probe);
    if (relayed != relayed_probes_.end()) {
      auto origin = members_.find(relayed->second.origin);
      if (origin != members_.end()) {
        ControlMessage ack = NewMessage(ControlKind::kAck);
        ack.probe = relayed->second.origin_probe;
        ack.target = message.target;
        PiggybackUpdates(&ack);
        out.push_back({origin->second.info.peer, std::move(ack)});
      }
      relayed_probes_.erase(relayed);
    }
  }
  return out;
}

std::vector<OutgoingMessage> MemberTable::Tick(Instant now) {
  std::vector<OutgoingMessage> out;
  ExpireMembers(now);
  CheckProbe(now, &out);
  if (now >= next_probe_time_) {
    next_probe_time_ = now + settings_.probe_period;
    StartProbe(now, &out);
  }
  return out;
}

void MemberTable::ExpireMembers(Instant now) {
  for (auto it = members_.begin(); it != members_.end();) {
    Entry& entry = it->second;
    Micros age = now - entry.state_since;
    if (entry.info.state == MemberState::kSuspect &&
        age > settings_.suspicion_timeout) {
      SetState(&entry, MemberState::kDead, now);
    }
    bool expired = !IsLive(entry.info.state) &&
                   now - entry.state_since > settings_.dead_member_retention;
    it = expired ? members_.erase(it) : std::next(it);
  }
  std::erase_if(relayed_probes_,
                [now](const auto& it) { return it.second.expires < now; });
}

void MemberTable::CheckProbe(Instant now, std::vector<OutgoingMessage>* out) {
  if (!probe_) {
    return;
  }
  auto it = members_.find(probe_->target);
  if (it == members_.end()) {
    probe_.reset();
    return;
  }
  Micros waited = now - probe_->sent;
  if (!probe_->indirect_sent && waited >= settings_.probe_timeout) {
    probe_->indirect_sent = true;
    for (const InstanceId& proxy :
         RandomAlive(settings_.indirect_probes, probe_->target)) {
      ControlMessage request = NewMessage(ControlKind::kPingRequest);
      request.probe = probe_->number;
      request.target = probe_->target;
      PiggybackUpdates(&request);
      out->push_back({members_[proxy].info.peer, std::move(request)});
    }
  }
  if (waited >= settings_.probe_period) {
    if (it->second.info.state == MemberState::kAlive) {
      SetState(&it->second, MemberState::kSuspect, now);
    }
    probe_.reset();
  }
}

void MemberTable::StartProbe(Instant now, std::vector<OutgoingMessage>* out) {
  if (probe_) {
    return;
  }
  std::optional<InstanceId> target = NextProbeTarget();
  if (!target) {
    return;
  }
  const Entry& entry = members_[*target];
  // Dead and left members stay in the probe order, so that both sides of a
  // healed partition, or a resumed instance, discover each other again.
  ControlMessage ping = NewMessage(ControlKind::kPing);
  ping.probe = next_probe_number_++;
  PiggybackUpdates(&ping);
  if (entry.info.state != MemberState::kAlive) {
    ping.members.push_back(entry.info);
  }
  if (IsLive(entry.info.state)) {
    probe_ = Probe{*target, ping.probe, now, false};
  }
  out->push_back({entry.info.peer, std::move(ping)});
}

std::optional<InstanceId> MemberTable::NextProbeTarget() {
  while (true) {
    if (probe_order_.empty()) {
      for (const auto& [id, entry] : members_) {
        probe_order_.push_back(id);
      }
      for (size_t i = probe_order_.size(); i > 1; --i) {
        std::swap(probe_order_[i - 1], probe_order_[random_.Below(i)]);
      }
    }
    if (probe_order_.empty()) {
      return std::nullopt;
    }
    InstanceId id = probe_order_.back();
    probe_order_.pop_back();
    if (members_.contains(id)) {
      return id;
    }
  }
}

std::vector<InstanceId> MemberTable::RandomAlive(size_t count,
                                                 const InstanceId& except) {
  std::vector<InstanceId> candidates;
  for (const auto& [id, entry] : members_) {
    if (entry.info.state == MemberState::kAlive && id != except) {
      candidates.push_back(id);
    }
  }
  for (size_t i = candidates.size(); i > 1; --i) {
    std::swap(candidates[i - 1], candidates[random_.Below(i)]);
  }
  candidates.resize(std::min(count, candidates.size()));
  return candidates;
}

std::vector<OutgoingMessage> MemberTable::Leave() {
  self_.state = MemberState::kLeft;
  self_.draining = true;
  ++self_.revision;
  std::vector<OutgoingMessage> out;
  for (const InstanceId& id : RandomAlive(RetransmitLimit(), self_.id)) {
    ControlMessage message = NewMessage(ControlKind::kPing);
    message.members.push_back(self_);
    out.push_back({members_[id].info.peer, std::move(message)});
  }
  return out;
}

std::vector<MemberView> MemberTable::Members() const {
  std::vector<MemberView> views;
  for (const auto& [id, entry] : members_) {
    views.push_back({entry.info, entry.state_since});
  }
  return views;
}

std::vector<MemberInfo> MemberTable::Live() const {
  std::vector<MemberInfo> live;
  for (const auto& [id, entry] : members_) {
    if (IsLive(entry.info.state)) {
      live.push_back(entry.info);
    }
  }
  live.push_back(self_);
  std::sort(
      live.begin(), live.end(),
      [](const MemberInfo& a, const MemberInfo& b) { return a.id < b.id; });
  return live;
}

std::optional<MemberInfo> MemberTable::Find(const InstanceId& id) const {
  if (id == self_.id) {
    return self_;
  }
  auto it = members_.find(id);
  return it == members_.end() ? std::nullopt
                              : std::make_optional(it->second.info);
}

}  // namespace basilvalve::membership
