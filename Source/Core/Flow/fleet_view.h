// The other instances: who is there, and what their regions have room for.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Flow/placement.h"

namespace basilvalve::flow {

/// How one instance is reached.
struct InstanceRecord {
  InstanceId id;
  DataCentreId data_centre;
  RegionId region;
  /// Where callers connect.
  std::string front;
  /// Where other instances send calls and datagrams.
  std::string peer;
  /// Start of its process; a later start has a higher number.
  uint64_t incarnation = 0;
  bool is_draining = false;

  bool operator==(const InstanceRecord&) const = default;
};

/// What a region could do for one more call of a service.
struct ServiceCapacity {
  /// Upstreams that may be sent to.
  uint32_t upstreams = 0;
  /// Mean time until an upstream gets to a new call.
  Micros wait{0};
  /// Prompt tokens that one of them reads in a millisecond.
  double prefill_tokens_per_ms = 0;
  /// Mean time for one generated token, microseconds; 0 if none was seen.
  double time_per_token_us = 0;
  /// Mean share of calls that failed at its upstreams of late.
  double failure_rate = 0;
};

/// What an instance tells the others now and again.
struct Heartbeat {
  InstanceRecord from;
  uint64_t sequence = 0;
  /// Version of the desired state that it has in force.
  uint64_t state_version = 0;
  /// Its own work at each upstream; only told within the region.
  std::map<UpstreamShortId, LoadShare> loads;
  std::map<ServiceName, ServiceCapacity> service_capacities;
  /// Prompts it sent since its last beat; only told within the region.
  std::vector<PromptCacheUpdate> cache_updates;
};

/// A region's offer as the freshest of its instances told it.
struct RegionCapacity {
  RegionId region;
  ServiceCapacity room;
  Micros age{0};
};

/// Merges registrations and beats. Not thread safe.
class FleetView {
 public:
  explicit FleetView(InstanceRecord self);

  /// Registrations, as the platform holds them.
  void Register(const InstanceRecord& record, Instant now);
  void Unregister(const InstanceId& id);
  void ReplaceAll(const std::vector<InstanceRecord>& records, Instant now);
  /// A beat came in. False if it is older than what is known.
  bool OnHeartbeat(const Heartbeat& beat, Instant now);
  /// A call to the instance failed to connect: it is passed over until it is
  /// heard again.
  void OnUnreachable(const InstanceId& id);

  /// Instances that callers may be sent to, this one included if it does not
  /// drain.
  std::vector<InstanceRecord> RoutableInstances(const RegionId& region,
                                                Instant now) const;
  /// Other instances of a region that were heard of lately.
  std::vector<InstanceRecord> LiveInstances(const RegionId& region,
                                            Instant now) const;
  /// Instances that are registered or were heard, and are not live now.
  std::set<InstanceId> UnresponsiveInstances(Instant now) const;
  /// Everyone to whom beats go.
  std::vector<InstanceRecord> OtherInstances() const;
  /// How long ago the other live instances of this region last told of their
  /// work, added up.
  Micros TotalHeartbeatAge(Instant now) const;
  /// LiveInstances instances with this one.
  size_t LiveCount(Instant now) const;
  /// Other regions with live instances and their room for the service.
  std::vector<RegionCapacity> RemoteCapacities(const ServiceName& service,
                                               Instant now) const;
  /// Work went to another region after its last beat.
  void OnForwarded(const RegionId& region, const ServiceName& service,
                   double tokens);
  /// Forgets who is neither registered nor heard.
  void Sweep(Instant now);

  void SetDraining() { self_.is_draining = true; }
  const InstanceRecord& self() const { return self_; }

 private:
  struct Known {
    InstanceRecord record;
    bool is_registered = false;
    Instant registered_at;
    std::optional<Instant> heard_at;
    bool is_unreachable = false;
    uint64_t sequence = 0;
    std::map<ServiceName, ServiceCapacity> service_capacities;
  };

  static bool Supersedes(const Known& known, uint64_t incarnation, Instant now);
  bool IsLive(const Known& known, Instant now) const;

  InstanceRecord self_;
  std::map<InstanceId, Known> known_;
  // Prompt tokens sent to a region after its last beat.
  std::map<RegionId, std::map<ServiceName, double>> away_;
};

}  // namespace basilvalve::flow
