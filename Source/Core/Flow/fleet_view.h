// The other instances: which of them are live, and the capacity of their
// regions.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Flow/placement.h"

namespace basilvalve::flow {

/// Identity and addresses of an instance.
struct InstanceRecord {
  InstanceId id;
  DataCentreId data_centre;
  RegionId region;
  /// Address for callers.
  std::string public_address;
  /// Address for forwarded calls and datagrams from other instances.
  std::string peer_address;
  /// Identifies the process start; a later start has a higher number.
  uint64_t incarnation = 0;
  bool is_draining = false;

  bool operator==(const InstanceRecord&) const = default;
};

/// Capacity of a region for one more call of a service.
struct ServiceCapacity {
  /// Number of upstreams that accept requests.
  uint32_t upstreams = 0;
  /// Mean time until an upstream starts on a new call.
  Micros wait{0};
  /// Prefill throughput of one upstream, prompt tokens per millisecond.
  double prefill_tokens_per_ms = 0;
  /// Mean time per generated token in microseconds; 0 if none was observed.
  double time_per_token_us = 0;
  /// Mean recent failure rate of its upstreams, in [0, 1].
  double failure_rate = 0;
};

/// Periodic datagram in which an instance reports its state to the others.
struct Heartbeat {
  InstanceRecord from;
  uint64_t sequence = 0;
  /// Version of the desired state that the sender has applied.
  uint64_t state_version = 0;
  /// The sender's load on each upstream; sent only within the region.
  std::map<UpstreamShortId, LoadShare> loads;
  std::map<ServiceName, ServiceCapacity> service_capacities;
  /// Prompts that the sender placed on upstreams since its last heartbeat; sent
  /// only within the region.
  std::vector<PromptCacheUpdate> cache_updates;
};

/// Capacity of another region, from the most recent heartbeat of its instances.
struct RegionCapacity {
  RegionId region;
  ServiceCapacity capacity;
  Micros age{0};
};

/// Combines registrations and heartbeats into a view of the fleet. Not thread
/// safe.
class FleetView {
 public:
  explicit FleetView(InstanceRecord self);

  /// Adds or updates an instance from its stored registration. A different
  /// incarnation replaces the known one if it is newer or the known one is
  /// silent.
  void Register(const InstanceRecord& record, Instant now);
  void Unregister(const InstanceId& id);
  void ReplaceAll(const std::vector<InstanceRecord>& records, Instant now);
  /// Applies a heartbeat. Returns false if it is older than what is known, or
  /// this instance's own.
  bool OnHeartbeat(const Heartbeat& heartbeat, Instant now);
  /// Excludes an instance after a failed connection from the live ones until
  /// its next heartbeat.
  void OnUnreachable(const InstanceId& id);

  /// Live instances of a region that accept callers, including this one unless
  /// it is draining.
  std::vector<InstanceRecord> RoutableInstances(const RegionId& region,
                                                Instant now) const;
  /// Live instances of a region other than this one, draining ones included.
  std::vector<InstanceRecord> LiveInstances(const RegionId& region,
                                            Instant now) const;
  /// Known instances that are not live.
  std::set<InstanceId> UnresponsiveInstances(Instant now) const;
  /// All known instances: the recipients of heartbeats.
  std::vector<InstanceRecord> OtherInstances() const;
  /// Sum of the ages of the latest heartbeats of the other live instances in
  /// this region.
  Micros TotalHeartbeatAge(Instant now) const;
  /// Number of registered or live instances, including this one.
  size_t LiveCount(Instant now) const;
  /// Other regions with live instances and their capacity for the service. The
  /// wait includes calls forwarded there since the latest heartbeat.
  std::vector<RegionCapacity> RemoteCapacities(const ServiceName& service,
                                               Instant now) const;
  /// Records that a call with this many prompt tokens was forwarded to a
  /// region.
  void OnForwarded(const RegionId& region, const ServiceName& service,
                   double tokens);
  /// Removes instances that are neither registered nor sending heartbeats.
  void Sweep(Instant now);

  void SetDraining() { self_.is_draining = true; }
  const InstanceRecord& self() const { return self_; }

 private:
  struct KnownInstance {
    InstanceRecord record;
    bool is_registered = false;
    Instant registered_at;
    std::optional<Instant> last_heartbeat_at;
    bool is_unreachable = false;
    uint64_t sequence = 0;
    std::map<ServiceName, ServiceCapacity> service_capacities;
  };

  static bool Supersedes(const KnownInstance& instance, uint64_t incarnation,
                         Instant now);
  bool IsLive(const KnownInstance& instance, Instant now) const;

  InstanceRecord self_;
  std::map<InstanceId, KnownInstance> instances_;
  // Prompt tokens forwarded to each region since its last heartbeat.
  std::map<RegionId, std::map<ServiceName, double>> forwarded_tokens_;
};

}  // namespace basilvalve::flow
