#include "Core/Flow/fleet_view.h"

namespace basilvalve::flow {
namespace {

// Beats missed before an instance is passed over: its region beats at least
// five times a second, others as often as the fleet's size permits.
constexpr Millis kNearSilence{1200};
constexpr Millis kFarSilence{3000};
// A registration that no beat confirms counts this long: two instances that
// start together register before they beat.
constexpr Millis kRegisteredGrace{2500};
// Silence after which another start of an instance is believed; a restart
// takes longer.
constexpr Millis kSuccession{400};
// A record that is gone and silent is dropped.
constexpr Millis kForgetAfter{4000};

}  // namespace

FleetView::FleetView(InstanceRecord self) : self_(std::move(self)) {}

bool FleetView::Supersedes(const Known& known, uint64_t incarnation,
                           Instant now) {
  // Incarnations come from the time of day, which may have jumped back over a
  // restart: who fell silent is succeeded by whoever speaks under its name.
  return incarnation > known.record.incarnation || !known.heard_at ||
         now - *known.heard_at > kSuccession;
}

void FleetView::Register(const InstanceRecord& record, Instant now) {
  if (record.id == self_.id) {
    return;
  }
  Known& known = known_[record.id];
  if (known.record.incarnation != record.incarnation &&
      Supersedes(known, record.incarnation, now)) {
    known = Known();
    known.record = record;
    known.registered_at = now;
  }
  known.record.is_draining |= record.is_draining;
  known.is_registered = true;
}

void FleetView::Unregister(const InstanceId& id) {
  auto it = known_.find(id);
  if (it != known_.end()) {
    it->second.is_registered = false;
  }
}

void FleetView::ReplaceAll(const std::vector<InstanceRecord>& records,
                           Instant now) {
  for (auto& [id, known] : known_) {
    known.is_registered = false;
  }
  for (const InstanceRecord& record : records) {
    Register(record, now);
  }
}

bool FleetView::OnHeartbeat(const Heartbeat& beat, Instant now) {
  if (beat.from.id == self_.id) {
    return false;
  }
  Known& known = known_[beat.from.id];
  if (known.record.incarnation != beat.from.incarnation &&
      !Supersedes(known, beat.from.incarnation, now)) {
    return false;
  }
  if (known.record.incarnation == beat.from.incarnation &&
      known.sequence >= beat.sequence) {
    return false;
  }
  known.record = beat.from;
  known.sequence = beat.sequence;
  known.heard_at = now;
  known.is_unreachable = false;
  known.service_capacities = beat.service_capacities;
  away_.erase(beat.from.region);
  return true;
}

void FleetView::OnUnreachable(const InstanceId& id) {
  auto it = known_.find(id);
  if (it != known_.end()) {
    it->second.is_unreachable = true;
  }
}

bool FleetView::IsLive(const Known& known, Instant now) const {
  if (known.is_unreachable) {
    return false;
  }
  Micros silence =
      known.record.region == self_.region ? kNearSilence : kFarSilence;
  if (known.heard_at) {
    return now - *known.heard_at < silence;
  }
  return known.is_registered && now - known.registered_at < kRegisteredGrace;
}

std::vector<InstanceRecord> FleetView::RoutableInstances(const RegionId& region,
                                                         Instant now) const {
  std::vector<InstanceRecord> entries;
  if (!self_.is_draining && (region == self_.region)) {
    entries.push_back(self_);
  }
  for (const auto& [id, known] : known_) {
    if (known.record.region == region && !known.record.is_draining &&
        IsLive(known, now)) {
      entries.push_back(known.record);
    }
  }
  return entries;
}

std::vector<InstanceRecord> FleetView::LiveInstances(const RegionId& region,
                                                     Instant now) const {
  std::vector<InstanceRecord> live;
  for (const auto& [id, known] : known_) {
    if (known.record.region == region && IsLive(known, now)) {
      live.push_back(known.record);
    }
  }
  return live;
}

std::set<InstanceId> FleetView::UnresponsiveInstances(Instant now) const {
  std::set<InstanceId> silent;
  for (const auto& [id, known] : known_) {
    if (!IsLive(known, now)) {
      silent.insert(id);
    }
  }
  return silent;
}

std::vector<InstanceRecord> FleetView::OtherInstances() const {
  std::vector<InstanceRecord> others;
  for (const auto& [id, known] : known_) {
    others.push_back(known.record);
  }
  return others;
}

Micros FleetView::TotalHeartbeatAge(Instant now) const {
  Micros sum{0};
  for (const auto& [id, known] : known_) {
    if (known.record.region == self_.region && IsLive(known, now) &&
        known.heard_at) {
      sum += now - *known.heard_at;
    }
  }
  return sum;
}

size_t FleetView::LiveCount(Instant now) const {
  size_t n = 1;
  for (const auto& [id, known] : known_) {
    n += known.is_registered || IsLive(known, now) ? 1 : 0;
  }
  return n;
}

std::vector<RegionCapacity> FleetView::RemoteCapacities(
    const ServiceName& service, Instant now) const {
  std::map<RegionId, RegionCapacity> freshest;
  for (const auto& [id, known] : known_) {
    if (known.record.region == self_.region || !IsLive(known, now) ||
        known.record.is_draining || !known.heard_at) {
      continue;
    }
    auto room = known.service_capacities.find(service);
    if (room == known.service_capacities.end() || room->second.upstreams == 0) {
      continue;
    }
    Micros age = now - *known.heard_at;
    auto [it, is_new] = freshest.try_emplace(known.record.region);
    if (is_new || age < it->second.age) {
      it->second = {known.record.region, room->second, age};
    }
  }
  std::vector<RegionCapacity> remote_capacities;
  for (auto& [region, offer] : freshest) {
    auto away = away_.find(region);
    if (away != away_.end() && away->second.contains(service) &&
        offer.room.prefill_tokens_per_ms > 0) {
      double ms = away->second.at(service) /
                  (offer.room.prefill_tokens_per_ms * offer.room.upstreams);
      offer.room.wait += Micros(static_cast<int64_t>(ms * 1000));
    }
    remote_capacities.push_back(offer);
  }
  return remote_capacities;
}

void FleetView::OnForwarded(const RegionId& region, const ServiceName& service,
                            double tokens) {
  away_[region][service] += tokens;
}

void FleetView::Sweep(Instant now) {
  std::erase_if(known_, [&](const auto& entry) {
    const Known& known = entry.second;
    bool is_silent = !known.heard_at || now - *known.heard_at > kForgetAfter;
    return !known.is_registered && is_silent &&
           now - known.registered_at > kForgetAfter;
  });
}

}  // namespace basilvalve::flow
