// The other instances: which of them are live, and the capacity of their
// regions.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Flow/catalog_position.h"
#include "Core/Flow/hedge_budget.h"
#include "Core/Flow/placement.h"
#include "Core/Flow/poison_tracker.h"
#include "Core/Flow/use_counters.h"

namespace basilvalve::flow {

/// Identity and addresses of an instance.
struct InstanceRecord {
  InstanceId id;
  DataCentreId data_centre;
  RegionId region;
  /// Address for callers, as HOST:PORT.
  std::string public_address;
  /// Address for forwarded calls and heartbeats from other instances, as
  /// HOST:PORT.
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
  /// Mean time until an upstream starts on a new call; for a service of plain
  /// calls, until its response.
  Micros wait{0};
  /// Prefill throughput of one upstream, prompt tokens per millisecond.
  double prefill_tokens_per_ms = 0;
  /// Mean time per generated token in microseconds; 0 if none was observed.
  double time_per_token_us = 0;
  /// Mean recent failure rate of its upstreams, in [0, 1].
  double failure_rate = 0;
};

/// An upstream's state as reported by an instance that sends to it.
struct UpstreamReport {
  /// The sender's own load on it.
  LoadShare load;
  /// Time per generated token in microseconds; 0 if not observed recently.
  double time_per_token_us = 0;
  /// Whether the sender considers it able to take calls.
  bool is_accepting = true;
};

/// A word of an upstream that it is leaving, passed on by an instance.
struct LeavingReport {
  UpstreamShortId upstream;
  /// Start of the process that said so, Unix milliseconds; 0 if unknown.
  int64_t started_at_ms = 0;
  /// Time since it was said.
  Millis age{0};
};

/// A response's word on an upstream's limit, passed on by the instance that got
/// the response.
struct LimitReport {
  UpstreamShortId upstream;
  /// Start of the process that said so, Unix milliseconds; 0 if unknown.
  int64_t started_at_ms = 0;
  /// nullopt: it has no limit any more.
  std::optional<CallsPerSecond> limit;
  /// Time since it was said.
  Millis age{0};
};

/// Interval between an instance's heartbeats to `neighbours` others of its
/// region that all send to upstreams. Thread safe.
Millis DirectHeartbeatInterval(size_t neighbours);
/// Interval between a dispatcher's heartbeats to its region. Thread safe.
inline constexpr Millis kDispatcherHeartbeatInterval{350};

/// Periodic datagram in which an instance reports its state to the others.
struct Heartbeat {
  InstanceRecord from;
  uint64_t sequence = 0;
  /// Version of the desired state that the sender has applied.
  uint64_t state_version = 0;
  /// Upstreams that the sender uses or owns; sent only within the region.
  std::map<UpstreamShortId, UpstreamReport> upstreams;
  std::map<ServiceName, ServiceCapacity> service_capacities;
  /// Prompts that the sender placed on upstreams since its last heartbeat; sent
  /// only within the region.
  std::vector<PromptCacheUpdate> cache_updates;
  /// Encoded heartbeats of other regions' instances that the sender received
  /// since its last one; sent only within the region.
  std::vector<std::string> relayed;
  /// Up to where the sender has read the platform's catalog; revision 0 if it
  /// is not a reader. Sent only within the region.
  CatalogPosition catalog_position;
  /// Time since the store confirmed that there are no later changes.
  Millis catalog_age{0};
  /// Whether the receiver, in another region, passes the heartbeat on within
  /// its region.
  bool is_for_relay = false;
  /// Upstreams that said they are leaving; sent only within the region.
  std::vector<LeavingReport> leaving;
  /// Upstreams that stated a limit; sent only within the region.
  std::vector<LimitReport> limits;
  /// Calls and hedges of the sender; sent only within the region.
  HedgeReport hedges;
  /// Prompt parts that crash upstreams.
  PoisonReport poison;
  /// What the sender used of limits that hold over all instances.
  std::vector<UseRow> use;
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
  /// Applies the registrations of a catalog that was restored from an older
  /// copy: a missing one ends nothing, and an earlier incarnation than the
  /// known one is ignored.
  void Restore(const std::vector<InstanceRecord>& records, Instant now);
  /// Applies a heartbeat. Returns false if it is older than what is known, or
  /// this instance's own.
  bool OnHeartbeat(const Heartbeat& heartbeat, Instant now);
  /// Excludes an instance after a failed connection from the live ones until
  /// its next heartbeat, or for some seconds if it sends none.
  void OnUnreachable(const InstanceId& id, Instant now);
  /// Sets the instances of this region whose heartbeats are expected; the
  /// others count as live while they are registered.
  void SetExpectedSenders(const std::set<InstanceId>& senders, Instant now);

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
  /// Mean age of the latest heartbeats in this region, times the number of its
  /// other live instances.
  Micros TotalHeartbeatAge(Instant now) const;
  /// Number of registered or live instances, including this one.
  size_t LiveCount(Instant now) const;
  /// Other regions with live instances and their capacity for the service. The
  /// wait includes calls forwarded there since the latest heartbeat.
  std::vector<RegionCapacity> RemoteCapacities(const ServiceName& service,
                                               Instant now) const;
  /// Records that a call with this many prompt tokens was forwarded to a
  /// region; for a plain call `slot_time` is the time for which it occupies an
  /// upstream.
  void OnForwarded(const RegionId& region, const ServiceName& service,
                   double tokens, Micros slot_time = Micros(0));
  /// Removes instances that are neither registered nor sending heartbeats.
  void Sweep(Instant now);

  void SetDraining() { self_.is_draining = true; }
  const InstanceRecord& self() const { return self_; }

 private:
  /// Heartbeats of an earlier incarnation, which are late ones of a process
  /// that has ended or show a restart whose clock was set back.
  struct EarlierIncarnation {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    Instant first_heard_at;
  };

  struct KnownInstance {
    InstanceRecord record;
    bool is_registered = false;
    Instant registered_at;
    std::optional<Instant> last_heartbeat_at;
    std::optional<Instant> unreachable_since;
    /// Whether it sends no heartbeats, so that only its registration shows
    /// whether it is live.
    bool is_quiet = false;
    /// Since when heartbeats are expected from it.
    Instant expected_since;
    uint64_t sequence = 0;
    std::map<ServiceName, ServiceCapacity> service_capacities;
    /// Heard since the last heartbeat of the known incarnation.
    std::optional<EarlierIncarnation> earlier;
  };

  static bool Supersedes(const KnownInstance& instance, uint64_t incarnation,
                         Instant now);
  /// Whether heartbeats of an earlier incarnation go on arriving, so that they
  /// are no late ones.
  static bool ConfirmsRestart(KnownInstance* instance,
                              const Heartbeat& heartbeat, Instant now);
  bool IsLive(const KnownInstance& instance, Instant now) const;
  Micros RegionTimeout() const;

  InstanceRecord self_;
  std::map<InstanceId, KnownInstance> instances_;
  size_t expected_senders_ = 0;
  /// Calls forwarded to a region since its last heartbeat.
  struct ForwardedWork {
    double tokens = 0;
    Micros slot_time{0};
  };
  std::map<RegionId, std::map<ServiceName, ForwardedWork>> forwarded_;
};

}  // namespace basilvalve::flow
