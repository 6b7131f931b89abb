#include "Core/Membership/member_table.h"

#include <algorithm>
#include <bit>

namespace basilvalve::membership {
namespace {

/// Time after which an indirect probe that got no answer is dropped.
constexpr Millis kRelayKeep{5000};

bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

}  // namespace

bool Supersedes(const MemberInfo& left, const MemberInfo& right) {
  if (left.incarnation != right.incarnation) {
    return left.incarnation > right.incarnation;
  }
  // The end of an incarnation is final: no refutation by it counts any more,
  // since others may have acted on its death.
  bool right_final = right.state == MemberState::kLeft;
  if (right_final) {
    return false;
  }
  if (left.revision != right.revision) {
    return left.revision > right.revision;
  }
  return left.state > right.state;
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

void MemberTable::Attach(ControlMessage* message) {
  message->members.push_back(self_);
  // Updates that were sent least go first, so that news is not held up by old
  // updates.
  std::vector<Update*> order;
  for (auto& [id, update] : updates_) {
    order.push_back(&update);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const Update* a, const Update* b) {
                     return a->transmissions < b->transmissions;
                   });
  for (size_t i = 0; i < std::min(order.size(), settings_.updates_each); ++i) {
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
  entry->since = now;
  Enqueue(entry->info);
}

void MemberTable::Introduce(const MemberInfo& info, Instant now) {
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

void MemberTable::MergeSelf(const MemberInfo& info) {
  bool about_me = info.incarnation == self_.incarnation &&
                  info.state != MemberState::kAlive;
  if (about_me && info.revision >= self_.revision &&
      self_.state == MemberState::kAlive) {
    // Someone suspects this instance, or it was paused and declared dead: a
    // higher revision refutes that.
    self_.revision = info.revision + 1;
    Enqueue(self_);
  }
}

void MemberTable::Merge(const MemberInfo& info, Instant now) {
  if (info.id == self_.id) {
    MergeSelf(info);
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
    entry.since = state_changed ? now : entry.since;
    Enqueue(info);
  } else if (info.incarnation == entry.info.incarnation &&
             info.revision == entry.info.revision &&
             info.state == entry.info.state) {
    // Load is told without a new revision: it is old soon and is not passed on.
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
    Attach(&ack);
    // What this instance holds against the sender goes back to it, so that a
    // member that was declared dead while paused learns of it and can refute.
    if (sender->second.info.state != MemberState::kAlive) {
      ack.members.push_back(sender->second.info);
    }
    out.push_back({sender->second.info.peer, std::move(ack)});
  } else if (message.kind == ControlKind::kPingRequest) {
    auto target = members_.find(message.target);
    if (target != members_.end()) {
      uint64_t number = next_probe_number_++;
      relays_[number] = Relay{message.sender, message.probe, now + kRelayKeep};
      ControlMessage ping = NewMessage(ControlKind::kPing);
      ping.probe = number;
      Attach(&ping);
      out.push_back({target->second.info.peer, std::move(ping)});
    }
  } else if (message.kind == ControlKind::kAck) {
    if (probe_ && probe_->number == message.probe &&
        probe_->target == message.target) {
      probe_.reset();
    }
    auto relay = relays_.find(message.probe);
    if (relay != relays_.end()) {
      auto origin = members_.find(relay->second.origin);
      if (origin != members_.end()) {
        ControlMessage ack = NewMessage(ControlKind::kAck);
        ack.probe = relay->second.origin_probe;
        ack.target = message.target;
        Attach(&ack);
        out.push_back({origin->second.info.peer, std::move(ack)});
      }
      relays_.erase(relay);
    }
  }
  return out;
}

std::vector<OutgoingMessage> MemberTable::Tick(Instant now) {
  std::vector<OutgoingMessage> out;
  ExpireMembers(now);
  CheckProbe(now, &out);
  if (now >= next_probe_) {
    next_probe_ = now + settings_.probe_period;
    StartProbe(now, &out);
  }
  return out;
}

void MemberTable::ExpireMembers(Instant now) {
  for (auto it = members_.begin(); it != members_.end();) {
    Entry& entry = it->second;
    Micros age = now - entry.since;
    if (entry.info.state == MemberState::kSuspect &&
        age > settings_.suspicion_timeout) {
      SetState(&entry, MemberState::kDead, now);
    }
    bool gone =
        !IsLive(entry.info.state) && now - entry.since > settings_.forget;
    it = gone ? members_.erase(it) : std::next(it);
  }
  std::erase_if(relays_,
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
    for (const InstanceId& helper :
         RandomLive(settings_.indirect_probes, probe_->target)) {
      ControlMessage request = NewMessage(ControlKind::kPingRequest);
      request.probe = probe_->number;
      request.target = probe_->target;
      Attach(&request);
      out->push_back({members_[helper].info.peer, std::move(request)});
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
  std::optional<InstanceId> target = NextTarget();
  if (!target) {
    return;
  }
  const Entry& entry = members_[*target];
  // A dead or left member is tried now and then, so that both sides of a healed
  // partition, or a paused instance, find each other again.
  ControlMessage ping = NewMessage(ControlKind::kPing);
  ping.probe = next_probe_number_++;
  Attach(&ping);
  if (entry.info.state != MemberState::kAlive) {
    ping.members.push_back(entry.info);
  }
  if (IsLive(entry.info.state)) {
    probe_ = Probe{*target, ping.probe, now, false};
  }
  out->push_back({entry.info.peer, std::move(ping)});
}

std::optional<InstanceId> MemberTable::NextTarget() {
  while (true) {
    if (round_.empty()) {
      for (const auto& [id, entry] : members_) {
        round_.push_back(id);
      }
      for (size_t i = round_.size(); i > 1; --i) {
        std::swap(round_[i - 1], round_[random_.Below(i)]);
      }
    }
    if (round_.empty()) {
      return std::nullopt;
    }
    InstanceId id = round_.back();
    round_.pop_back();
    if (members_.contains(id)) {
      return id;
    }
  }
}

std::vector<InstanceId> MemberTable::RandomLive(size_t count,
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
  for (const InstanceId& id : RandomLive(RetransmitLimit(), self_.id)) {
    ControlMessage message = NewMessage(ControlKind::kPing);
    message.members.push_back(self_);
    out.push_back({members_[id].info.peer, std::move(message)});
  }
  return out;
}

std::vector<MemberView> MemberTable::Members() const {
  std::vector<MemberView> views;
  for (const auto& [id, entry] : members_) {
    views.push_back({entry.info, entry.since});
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
