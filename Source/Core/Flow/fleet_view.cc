#include "Core/Flow/fleet_view.h"

#include <algorithm>

namespace basilvalve::flow {
namespace {

// An instance whose heartbeats are expected and that sends none for this long
// is no longer live. Within the region the time covers several heartbeats also
// where they are less frequent, so that a lost one does not change the view.
constexpr Millis kMinRegionHeartbeatTimeout{1200};
constexpr double kMissedHeartbeats = 3.2;
constexpr Millis kDirectHeartbeatBase{150};
constexpr Millis kDirectHeartbeatPerNeighbour{10};
constexpr Millis kRemoteHeartbeatTimeout{3000};
// A registration counts as live for this long without a heartbeat, since
// instances that start at the same time register before their first heartbeat.
constexpr Millis kRegistrationGrace{2500};
// An older incarnation is accepted after this long without heartbeats from the
// known one, while its own arrive; a restart takes longer.
constexpr Millis kRestartTakeoverDelay{400};
// An unregistered instance is removed after this long without heartbeats.
constexpr Millis kRecordRetention{4000};
// A failed connection excludes an instance that sends no heartbeats this long.
constexpr Millis kUnreachableTime{2000};
// A silent instance that is still registered after this time has renewed its
// lease meanwhile: it is alive, but does not know that its heartbeats are
// expected.
constexpr Seconds kSilenceForgiven{10};

}  // namespace

Millis DirectHeartbeatInterval(size_t neighbours) {
  return kDirectHeartbeatBase +
         kDirectHeartbeatPerNeighbour * static_cast<int64_t>(neighbours);
}

FleetView::FleetView(InstanceRecord self) : self_(std::move(self)) {}

bool FleetView::Supersedes(const KnownInstance& instance, uint64_t incarnation,
                           Instant now) {
  // Incarnations are wall-clock times, and the clock may have been set back
  // during a restart. After a period without heartbeats, any other incarnation
  // of the instance is therefore accepted.
  return incarnation > instance.record.incarnation ||
         !instance.last_heartbeat_at ||
         now - *instance.last_heartbeat_at > kRestartTakeoverDelay;
}

bool FleetView::ConfirmsRestart(KnownInstance* instance,
                                const Heartbeat& heartbeat, Instant now) {
  auto& earlier = instance->earlier;
  if (!earlier || earlier->incarnation != heartbeat.from.incarnation) {
    earlier = {heartbeat.from.incarnation, heartbeat.sequence, now};
    return false;
  }
  if (heartbeat.sequence <= earlier->sequence) {
    return false;
  }
  earlier->sequence = heartbeat.sequence;
  return now - earlier->first_heard_at > kRestartTakeoverDelay;
}

void FleetView::Register(const InstanceRecord& record, Instant now) {
  if (record.id == self_.id) {
    return;
  }
  KnownInstance& instance = instances_[record.id];
  if (instance.record.incarnation != record.incarnation &&
      Supersedes(instance, record.incarnation, now)) {
    instance = KnownInstance();
    instance.record = record;
    instance.registered_at = now;
    instance.expected_since = now;
  }
  instance.record.is_draining |= record.is_draining;
  instance.is_registered = true;
}

void FleetView::Unregister(const InstanceId& id) {
  auto it = instances_.find(id);
  if (it != instances_.end()) {
    it->second.is_registered = false;
  }
}

void FleetView::ReplaceAll(const std::vector<InstanceRecord>& records,
                           Instant now) {
  for (auto& [id, instance] : instances_) {
    instance.is_registered = false;
  }
  for (const InstanceRecord& record : records) {
    Register(record, now);
  }
}

void FleetView::Restore(const std::vector<InstanceRecord>& records,
                        Instant now) {
  for (const InstanceRecord& record : records) {
    auto it = instances_.find(record.id);
    if (it == instances_.end() ||
        it->second.record.incarnation <= record.incarnation) {
      Register(record, now);
    }
  }
}

bool FleetView::OnHeartbeat(const Heartbeat& heartbeat, Instant now) {
  if (heartbeat.from.id == self_.id) {
    return false;
  }
  KnownInstance& instance = instances_[heartbeat.from.id];
  if (heartbeat.from.incarnation < instance.record.incarnation) {
    bool is_restart = ConfirmsRestart(&instance, heartbeat, now);
    if (!is_restart || !Supersedes(instance, heartbeat.from.incarnation, now)) {
      return false;
    }
  }
  if (instance.record.incarnation == heartbeat.from.incarnation &&
      instance.sequence >= heartbeat.sequence) {
    return false;
  }
  instance.earlier.reset();
  instance.record = heartbeat.from;
  instance.sequence = heartbeat.sequence;
  instance.last_heartbeat_at = now;
  instance.unreachable_since.reset();
  instance.service_capacities = heartbeat.service_capacities;
  forwarded_.erase(heartbeat.from.region);
  return true;
}

void FleetView::OnUnreachable(const InstanceId& id, Instant now) {
  auto it = instances_.find(id);
  if (it != instances_.end()) {
    it->second.unreachable_since = now;
  }
}

void FleetView::SetExpectedSenders(const std::set<InstanceId>& senders,
                                   Instant now) {
  expected_senders_ = senders.size();
  for (auto& [id, instance] : instances_) {
    if (instance.record.region != self_.region) {
      continue;
    }
    if (senders.contains(id)) {
      if (instance.is_quiet) {
        instance.is_quiet = false;
        instance.expected_since = now;
      }
      continue;
    }
    // Heartbeats stay expected from a silent instance: only a heartbeat, a new
    // registration or its lease shows that it is alive.
    bool is_forgiven = now - instance.expected_since > kSilenceForgiven;
    instance.is_quiet |= IsLive(instance, now) || is_forgiven;
  }
}

Micros FleetView::RegionTimeout() const {
  Millis interval = std::max(kDispatcherHeartbeatInterval,
                             DirectHeartbeatInterval(expected_senders_));
  return std::max<Micros>(
      kMinRegionHeartbeatTimeout,
      Micros(static_cast<int64_t>(kMissedHeartbeats * 1000 *
                                  static_cast<double>(interval.count()))));
}

bool FleetView::IsLive(const KnownInstance& instance, Instant now) const {
  if (instance.unreachable_since &&
      now - *instance.unreachable_since < kUnreachableTime) {
    return false;
  }
  bool is_near = instance.record.region == self_.region;
  if (is_near && instance.is_quiet && instance.is_registered) {
    return true;
  }
  Micros timeout = is_near ? RegionTimeout() : kRemoteHeartbeatTimeout;
  Instant expected_since = instance.expected_since;
  if (instance.last_heartbeat_at &&
      *instance.last_heartbeat_at >= expected_since) {
    return now - *instance.last_heartbeat_at < timeout;
  }
  // An instance that starts reads the store before its first heartbeat.
  Micros grace = expected_since == instance.registered_at
                     ? Micros(kRegistrationGrace)
                     : timeout;
  return instance.is_registered && now - expected_since < grace;
}

std::vector<InstanceRecord> FleetView::RoutableInstances(const RegionId& region,
                                                         Instant now) const {
  std::vector<InstanceRecord> routable;
  if (!self_.is_draining && (region == self_.region)) {
    routable.push_back(self_);
  }
  for (const auto& [id, instance] : instances_) {
    if (instance.record.region == region && !instance.record.is_draining &&
        IsLive(instance, now)) {
      routable.push_back(instance.record);
    }
  }
  return routable;
}

std::vector<InstanceRecord> FleetView::LiveInstances(const RegionId& region,
                                                     Instant now) const {
  std::vector<InstanceRecord> live;
  for (const auto& [id, instance] : instances_) {
    if (instance.record.region == region && IsLive(instance, now)) {
      live.push_back(instance.record);
    }
  }
  return live;
}

std::set<InstanceId> FleetView::UnresponsiveInstances(Instant now) const {
  std::set<InstanceId> unresponsive;
  for (const auto& [id, instance] : instances_) {
    if (!IsLive(instance, now)) {
      unresponsive.insert(id);
    }
  }
  return unresponsive;
}

std::vector<InstanceRecord> FleetView::OtherInstances() const {
  std::vector<InstanceRecord> others;
  for (const auto& [id, instance] : instances_) {
    others.push_back(instance.record);
  }
  return others;
}

Micros FleetView::TotalHeartbeatAge(Instant now) const {
  Micros sum{0};
  int64_t live = 0;
  int64_t senders = 0;
  for (const auto& [id, instance] : instances_) {
    if (instance.record.region != self_.region || !IsLive(instance, now)) {
      continue;
    }
    ++live;
    if (instance.last_heartbeat_at &&
        now - *instance.last_heartbeat_at < RegionTimeout()) {
      sum += now - *instance.last_heartbeat_at;
      ++senders;
    }
  }
  return senders > 0 ? sum * live / senders : Micros::zero();
}

size_t FleetView::LiveCount(Instant now) const {
  size_t n = 1;
  for (const auto& [id, instance] : instances_) {
    n += instance.is_registered || IsLive(instance, now) ? 1 : 0;
  }
  return n;
}

std::vector<RegionCapacity> FleetView::RemoteCapacities(
    const ServiceName& service, Instant now) const {
  std::map<RegionId, RegionCapacity> latest_by_region;
  for (const auto& [id, instance] : instances_) {
    if (instance.record.region == self_.region || !IsLive(instance, now) ||
        instance.record.is_draining || !instance.last_heartbeat_at) {
      continue;
    }
    auto capacity = instance.service_capacities.find(service);
    if (capacity == instance.service_capacities.end() ||
        capacity->second.upstreams == 0) {
      continue;
    }
    Micros age = now - *instance.last_heartbeat_at;
    auto [it, is_new] = latest_by_region.try_emplace(instance.record.region);
    if (is_new || age < it->second.age) {
      it->second = {instance.record.region, capacity->second, age};
    }
  }
  std::vector<RegionCapacity> remote_capacities;
  for (auto& [region, region_capacity] : latest_by_region) {
    auto forwarded = forwarded_.find(region);
    if (forwarded != forwarded_.end() && forwarded->second.contains(service)) {
      const ForwardedWork& work = forwarded->second.at(service);
      ServiceCapacity& capacity = region_capacity.capacity;
      capacity.wait += work.slot_time / capacity.upstreams;
      if (capacity.prefill_tokens_per_ms > 0) {
        double ms =
            work.tokens / (capacity.prefill_tokens_per_ms * capacity.upstreams);
        capacity.wait += Micros(static_cast<int64_t>(ms * 1000));
      }
    }
    remote_capacities.push_back(region_capacity);
  }
  return remote_capacities;
}

void FleetView::OnForwarded(const RegionId& region, const ServiceName& service,
                            double tokens, Micros slot_time) {
  ForwardedWork& work = forwarded_[region][service];
  work.tokens += tokens;
  work.slot_time += slot_time;
}

void FleetView::Sweep(Instant now) {
  std::erase_if(instances_, [&](const auto& entry) {
    const KnownInstance& instance = entry.second;
    bool is_expired = !instance.last_heartbeat_at ||
                      now - *instance.last_heartbeat_at > kRecordRetention;
    return !instance.is_registered && is_expired &&
           now - instance.registered_at > kRecordRetention;
  });
}

}  // namespace basilvalve::flow
