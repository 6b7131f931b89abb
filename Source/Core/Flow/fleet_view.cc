#include "Core/Flow/fleet_view.h"

namespace basilvalve::flow {
namespace {

// An instance without heartbeats for this long is no longer live. Instances of
// the same region send at least five per second, those of other regions as
// often as the fleet's size permits.
constexpr Millis kRegionHeartbeatTimeout{1200};
constexpr Millis kRemoteHeartbeatTimeout{3000};
// A registration counts as live for this long without a heartbeat, since
// instances that start at the same time register before their first heartbeat.
constexpr Millis kRegistrationGrace{2500};
// An older incarnation is accepted after this long without heartbeats from the
// known one; a restart takes longer.
constexpr Millis kRestartTakeoverDelay{400};
// An unregistered instance is removed after this long without heartbeats.
constexpr Millis kRecordRetention{4000};

}  // namespace

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

bool FleetView::OnHeartbeat(const Heartbeat& heartbeat, Instant now) {
  if (heartbeat.from.id == self_.id) {
    return false;
  }
  KnownInstance& instance = instances_[heartbeat.from.id];
  if (instance.record.incarnation != heartbeat.from.incarnation &&
      !Supersedes(instance, heartbeat.from.incarnation, now)) {
    return false;
  }
  if (instance.record.incarnation == heartbeat.from.incarnation &&
      instance.sequence >= heartbeat.sequence) {
    return false;
  }
  instance.record = heartbeat.from;
  instance.sequence = heartbeat.sequence;
  instance.last_heartbeat_at = now;
  instance.is_unreachable = false;
  instance.service_capacities = heartbeat.service_capacities;
  forwarded_tokens_.erase(heartbeat.from.region);
  return true;
}

void FleetView::OnUnreachable(const InstanceId& id) {
  auto it = instances_.find(id);
  if (it != instances_.end()) {
    it->second.is_unreachable = true;
  }
}

bool FleetView::IsLive(const KnownInstance& instance, Instant now) const {
  if (instance.is_unreachable) {
    return false;
  }
  Micros timeout = instance.record.region == self_.region
                       ? kRegionHeartbeatTimeout
                       : kRemoteHeartbeatTimeout;
  if (instance.last_heartbeat_at) {
    return now - *instance.last_heartbeat_at < timeout;
  }
  return instance.is_registered &&
         now - instance.registered_at < kRegistrationGrace;
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
  for (const auto& [id, instance] : instances_) {
    if (instance.record.region == self_.region && IsLive(instance, now) &&
        instance.last_heartbeat_at) {
      sum += now - *instance.last_heartbeat_at;
    }
  }
  return sum;
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
    auto forwarded = forwarded_tokens_.find(region);
    if (forwarded != forwarded_tokens_.end() &&
        forwarded->second.contains(service) &&
        region_capacity.capacity.prefill_tokens_per_ms > 0) {
      double ms = forwarded->second.at(service) /
                  (region_capacity.capacity.prefill_tokens_per_ms *
                   region_capacity.capacity.upstreams);
      region_capacity.capacity.wait += Micros(static_cast<int64_t>(ms * 1000));
    }
    remote_capacities.push_back(region_capacity);
  }
  return remote_capacities;
}

void FleetView::OnForwarded(const RegionId& region, const ServiceName& service,
                            double tokens) {
  forwarded_tokens_[region][service] += tokens;
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
