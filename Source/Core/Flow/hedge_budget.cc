#include "Core/Flow/hedge_budget.h"

#include <algorithm>
#include <cmath>

#include "Core/Common/hash.h"

namespace basilvalve::flow {
namespace {

constexpr double kRateWindowSeconds = 4;
// The bucket holds what accrues in this time, and one hedge more, so that a
// service with few requests is hedged at all.
constexpr double kCapacitySeconds = 1;
// An instance that has not reported for this long is no longer live; see
// FleetView.
constexpr Seconds kSilenceLimit{3};
// Counters of a service without calls are not reported any more.
constexpr Seconds kReportTime{10};
// An instance that reports again after a longer silence counts as new, which
// only leaves out what it did meanwhile.
constexpr Seconds kReporterRetention{600};
// Bounds the memory that reports can take.
constexpr size_t kMaxServices = 1024;

double InSeconds(Micros time) {
  return static_cast<double>(time.count()) / 1e6;
}

}  // namespace

ServiceShortId ShortIdOf(const ServiceName& service) {
  return ServiceShortId(Hash64(service.value()) & 0xffffffff);
}

double HedgeBudget::Rate::At(Instant now) const {
  return per_second * std::exp(-InSeconds(now - at) / kRateWindowSeconds);
}

void HedgeBudget::Rate::Add(double count, Instant now) {
  per_second = At(now) + count / kRateWindowSeconds;
  at = now;
}

void HedgeBudget::Count(Bucket* bucket, uint64_t requests, uint64_t hedges,
                        Instant now) const {
  auto count = static_cast<double>(requests);
  bucket->all_requests.Add(count, now);
  double capacity =
      1 + share_ * bucket->all_requests.At(now) * kCapacitySeconds;
  // The difference is limited, not each of the two: after a partition, hedges
  // and the requests that paid for them are reported together.
  bucket->tokens = std::min(
      capacity, bucket->tokens + share_ * count - static_cast<double>(hedges));
}

void HedgeBudget::OnRequest(const ServiceName& service, Instant now) {
  if (share_ <= 0) {
    return;
  }
  Bucket& bucket = buckets_[ShortIdOf(service)];
  ++bucket.own.requests;
  bucket.own_requests.Add(1, now);
  Count(&bucket, 1, 0, now);
}

void HedgeBudget::OnHedge(const ServiceName& service, Instant now) {
  Bucket& bucket = buckets_[ShortIdOf(service)];
  ++bucket.own.hedges;
  Count(&bucket, 0, 1, now);
}

// Others hedge at the rate that they reported or, if that is more, as often per
// request as this instance since their report: what slows the calls down here
// often does so for all.
double HedgeBudget::UnreportedHedges(const Bucket& bucket, Instant now) {
  double own_rate = bucket.own_requests.At(now);
  double sum = 0;
  for (const auto& [id, reporter] : bucket.reporters) {
    Micros age = now - reporter.reported_at;
    if (age > kSilenceLimit) {
      continue;
    }
    double expected = reporter.hedges.At(reporter.reported_at) * InSeconds(age);
    double alike =
        own_rate > 0
            ? static_cast<double>(bucket.own.hedges - reporter.own_hedges) *
                  reporter.requests.At(reporter.reported_at) / own_rate
            : 0;
    sum += std::max(expected, alike);
  }
  return sum;
}

bool HedgeBudget::HasRoom(const ServiceName& service, Instant now) const {
  auto it = buckets_.find(ShortIdOf(service));
  return share_ > 0 && it != buckets_.end() &&
         it->second.tokens - UnreportedHedges(it->second, now) >= 1;
}

void HedgeBudget::OnReport(const InstanceId& from, uint64_t incarnation,
                           const HedgeReport& report, Instant now) {
  if (share_ <= 0) {
    return;
  }
  for (const auto& [service, counters] : report) {
    if (buckets_.size() >= kMaxServices && !buckets_.contains(service)) {
      continue;
    }
    Bucket& bucket = buckets_[service];
    auto [it, is_first] = bucket.reporters.try_emplace(from);
    Reporter& reporter = it->second;
    HedgeCounters before = reporter.counters;
    if (reporter.incarnation != incarnation) {
      before = is_first ? counters : HedgeCounters();
      reporter.incarnation = incarnation;
    }
    reporter.counters = counters;
    reporter.reported_at = now;
    reporter.own_hedges = bucket.own.hedges;
    if (counters.requests < before.requests ||
        counters.hedges < before.hedges) {
      continue;
    }
    uint64_t requests = counters.requests - before.requests;
    uint64_t hedges = counters.hedges - before.hedges;
    reporter.requests.Add(static_cast<double>(requests), now);
    reporter.hedges.Add(static_cast<double>(hedges), now);
    Count(&bucket, requests, hedges, now);
  }
}

HedgeReport HedgeBudget::MakeReport(Instant now) const {
  HedgeReport report;
  for (const auto& [service, bucket] : buckets_) {
    if (bucket.own.requests > 0 && now - bucket.own_requests.at < kReportTime) {
      report[service] = bucket.own;
    }
  }
  return report;
}

void HedgeBudget::Sweep(Instant now) {
  for (auto& [service, bucket] : buckets_) {
    std::erase_if(bucket.reporters, [now](const auto& it) {
      return now - it.second.reported_at > kReporterRetention;
    });
  }
}

}  // namespace basilvalve::flow
