// The region's limit on hedges, as a share of its requests.
#pragma once

#include <cstdint>
#include <map>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::flow {

/// Hash of a service's name, used between instances. Services with the same
/// hash share one budget.
using ServiceShortId = StrongNumber<struct ServiceShortIdTag>;
/// The short id of a service. Thread safe.
ServiceShortId ShortIdOf(const ServiceName& service);

/// What one instance did since its start, for one service.
struct HedgeCounters {
  /// Calls that could have been hedged.
  uint64_t requests = 0;
  uint64_t hedges = 0;

  bool operator==(const HedgeCounters&) const = default;
};

/// Counters of an instance by service.
using HedgeReport = std::map<ServiceShortId, HedgeCounters>;

/// A token bucket for each service that all instances of the region share:
/// each of them fills its copy with a share of the region's requests and
/// charges it with the region's hedges, its own immediately and those of others
/// as they report them. What others have not reported yet is estimated. Not
/// thread safe.
class HedgeBudget {
 public:
  /// Pre: `share` is in [0, 1]. With 0, nothing is counted or permitted.
  explicit HedgeBudget(double share) : share_(share) {}

  /// Counts a call of this instance that may be hedged.
  void OnRequest(const ServiceName& service, Instant now);
  /// Whether one more hedge is within the limit.
  bool HasRoom(const ServiceName& service, Instant now) const;
  /// Counts a hedge of this instance.
  void OnHedge(const ServiceName& service, Instant now);
  /// Applies the counters that another instance of the region reported. The
  /// first report of an instance only says from where to count; those of a
  /// later incarnation count from zero.
  void OnReport(const InstanceId& from, uint64_t incarnation,
                const HedgeReport& report, Instant now);
  /// This instance's counters of the services that it received calls for
  /// recently.
  HedgeReport MakeReport(Instant now) const;
  /// Forgets instances that have not reported for long.
  void Sweep(Instant now);

 private:
  /// Mean number per second over the last few seconds.
  struct Rate {
    double per_second = 0;
    Instant at;

    void Add(double count, Instant now);
    double At(Instant now) const;
  };
  struct Reporter {
    HedgeCounters counters;
    /// Hedges of this instance when the report arrived.
    uint64_t own_hedges = 0;
    uint64_t incarnation = 0;
    Instant reported_at;
    Rate requests;
    Rate hedges;
  };
  struct Bucket {
    /// Negative after hedges that were reported late.
    double tokens = 0;
    HedgeCounters own;
    Rate own_requests;
    Rate all_requests;
    std::map<InstanceId, Reporter> reporters;
  };

  /// Counts requests and hedges of any instance.
  void Count(Bucket* bucket, uint64_t requests, uint64_t hedges,
             Instant now) const;
  static double UnreportedHedges(const Bucket& bucket, Instant now);

  double share_;
  std::map<ServiceShortId, Bucket> buckets_;
};

}  // namespace basilvalve::flow
