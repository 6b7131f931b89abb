#include "BasilvalveBench/capacity.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>
#include <vector>

namespace basilvalve::bench {
namespace {

// Target size and load of the whole system, and the budgets of one instance.
constexpr double kInstances = 380;
constexpr double kWorkers = 12000;
constexpr double kRegions = 37;
constexpr double kDocuments = 370;
constexpr double kModels = 4;
constexpr double kChangesPerDay = 62000;
constexpr double kSecondsPerDay = 86400;
constexpr double kRequestsPerSecond = 13000;
constexpr double kTokensPerSecond = 4.7e6;
constexpr double kRestartsPerDay = 670 + 220;
constexpr double kCpuBudgetUsPerSecond =
    12000;  // 1.2% of a core, in microseconds per second
constexpr double kBandwidthBudgetBytesPerSecond = 7000;
constexpr double kMemoryBudgetBytes = 64e6;
constexpr double kStoreReadLimitPerSecond = 2000;
constexpr double kStoreWriteLimitPerSecond = 300;
// Periods and limits of the control-plane mechanisms, equal to their settings.
constexpr double kSummaryPeriodSeconds = 0.3 * kRegions;
constexpr double kStoreReadersPerRegion = 2;
constexpr double kSummarySendersPerRegion = 1;
constexpr double kWatchTimeoutSeconds = 10;
constexpr double kRelayFanOut = 2;
constexpr double kLoadReportBytesPerSecond = 2000;
constexpr double kLoadReportBytes = 800;
constexpr double kLoadReportCpuUs = 300;
// Mean number of upstreams that one instance tracks and chooses from.
constexpr double kMeanUpstreams = 64;
constexpr double kSuspicionTimeoutSeconds = 3;
constexpr double kProbePeriodSeconds = 1;

using Points = std::vector<std::pair<double, double>>;

/// Measured values of each quantity by size. Other sizes are interpolated and
/// extrapolated along a line fitted by least squares.
class LinearCostModel {
 public:
  /// Reads the measurements. Returns false if there are none.
  bool Load(const std::string& path) {
    std::ifstream file(path);
    std::string line;
    std::getline(file, line);
    while (std::getline(file, line)) {
      std::stringstream fields(line);
      std::string quantity;
      std::string size;
      std::string value;
      std::getline(fields, quantity, ',');
      std::getline(fields, size, ',');
      std::getline(fields, value, ',');
      points_[quantity].push_back({std::stod(size), std::stod(value)});
    }
    return !points_.empty();
  }

  /// The fitted value at `size`, at least 0; NaN for an unknown quantity.
  double Estimate(const std::string& quantity, double size) const {
    auto it = points_.find(quantity);
    if (it == points_.end()) {
      return std::nan("");
    }
    double n = 0;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const auto& [x, y] : it->second) {
      n += 1;
      sx += x;
      sy += y;
      sxx += x * x;
      sxy += x * y;
    }
    double denominator = n * sxx - sx * sx;
    double slope = denominator == 0 ? 0 : (n * sxy - sx * sy) / denominator;
    return std::max(0.0, (sy - slope * sx) / n + slope * size);
  }

 private:
  std::map<std::string, Points> points_;
};

/// A region whose costs are computed.
struct RegionSize {
  const char* name;
  double instances;
  double workers;
};

/// Cost of one control-plane mechanism for one instance.
struct MechanismCost {
  std::string mechanism;
  double sent_bytes_per_second = 0;
  double received_bytes_per_second = 0;
  double cpu_us_per_second = 0;
  double memory_bytes = 0;
};

std::vector<MechanismCost> MechanismCosts(const LinearCostModel& cost_model,
                                          const RegionSize& region) {
  double changes_per_second = kChangesPerDay / kSecondsPerDay;
  double record_bytes =
      cost_model.Estimate("document_record_bytes", kDocuments);
  double summary_bytes = cost_model.Estimate("summary_bytes", kModels);
  double summary_cpu_us = cost_model.Estimate("summary_cpu_us", kModels);
  // Each other region sends kSummarySendersPerRegion summaries per period. One
  // instance of this region receives each and relays it to all others.
  double received_summaries =
      (kRegions - 1) * kSummarySendersPerRegion / kSummaryPeriodSeconds;
  double relayed_summaries = received_summaries / region.instances;
  double sent_summaries = (kRegions - 1) * kSummarySendersPerRegion /
                          kSummaryPeriodSeconds / region.instances;
  double tracked_upstreams = std::min(region.workers, kMeanUpstreams);
  double digest_cpu_us =
      cost_model.Estimate("document_digest_cpu_us", kDocuments);
  double messages =
      cost_model.Estimate("membership_messages_per_s", region.instances);
  std::vector<MechanismCost> costs;
  double membership_bytes =
      cost_model.Estimate("membership_bytes_per_s", region.instances);
  costs.push_back(
      {"membership probes", membership_bytes, membership_bytes,
       cost_model.Estimate("membership_cpu_us_per_s", region.instances) +
           2 * messages * digest_cpu_us,
       cost_model.Estimate("membership_heap_bytes", region.instances)});
  costs.push_back(
      {"region summaries",
       (sent_summaries + relayed_summaries * (region.instances - 1)) *
           summary_bytes,
       received_summaries * summary_bytes,
       (received_summaries + sent_summaries +
        relayed_summaries * (region.instances - 1)) *
           summary_cpu_us / 2,
       kRegions * 3 * summary_bytes});
  double fan_out =
      std::min(kRelayFanOut, (region.instances - 1) / region.instances);
  costs.push_back(
      {"document relay", changes_per_second * record_bytes * fan_out,
       changes_per_second * record_bytes,
       changes_per_second *
           (cost_model.Estimate("document_apply_cpu_us", kDocuments) * 2),
       kDocuments * cost_model.Estimate("document_heap_bytes", kDocuments)});
  costs.push_back({"store reading, by readers", 0,
                   changes_per_second * record_bytes * kStoreReadersPerRegion /
                       region.instances,
                   0, 0});
  costs.push_back(
      {"load reports", kLoadReportBytesPerSecond * 0.3,
       kLoadReportBytesPerSecond * 0.7,
       kLoadReportBytesPerSecond / kLoadReportBytes * kLoadReportCpuUs,
       tracked_upstreams * kLoadReportBytes});
  return costs;
}

std::string CompareToBudget(double value, double budget) {
  char buf[64];
  if (value <= budget) {
    std::snprintf(buf, sizeof(buf), "holds, margin %.1f", budget / value);
  } else {
    std::snprintf(buf, sizeof(buf), "falls short by %.1f", value / budget);
  }
  return buf;
}

void PrintRegionCosts(const LinearCostModel& cost_model,
                      const RegionSize& region) {
  std::printf("\n### %s: %.0f nodes, %.0f workers\n\n", region.name,
              region.instances, region.workers);
  std::printf(
      "| mechanism | sent B/s | received B/s | CPU us/s | memory KB |\n");
  std::printf("|---|---|---|---|---|\n");
  MechanismCost total;
  for (const MechanismCost& it : MechanismCosts(cost_model, region)) {
    std::printf("| %s | %.0f | %.0f | %.0f | %.0f |\n", it.mechanism.c_str(),
                it.sent_bytes_per_second, it.received_bytes_per_second,
                it.cpu_us_per_second, it.memory_bytes / 1000);
    total.sent_bytes_per_second += it.sent_bytes_per_second;
    total.received_bytes_per_second += it.received_bytes_per_second;
    total.cpu_us_per_second += it.cpu_us_per_second;
    total.memory_bytes += it.memory_bytes;
  }
  std::printf("| **all** | %.0f | %.0f | %.0f | %.0f |\n",
              total.sent_bytes_per_second, total.received_bytes_per_second,
              total.cpu_us_per_second, total.memory_bytes / 1000);
  std::printf("\n- bytes, sent and received together: %.0f of %.0f: %s\n",
              total.sent_bytes_per_second + total.received_bytes_per_second,
              kBandwidthBudgetBytesPerSecond,
              CompareToBudget(
                  total.sent_bytes_per_second + total.received_bytes_per_second,
                  kBandwidthBudgetBytesPerSecond)
                  .c_str());
  std::printf("- bytes, sent only: %.0f of %.0f: %s\n",
              total.sent_bytes_per_second, kBandwidthBudgetBytesPerSecond,
              CompareToBudget(total.sent_bytes_per_second,
                              kBandwidthBudgetBytesPerSecond)
                  .c_str());
  std::printf(
      "- processor: %.0f of %.0f us/s: %s\n", total.cpu_us_per_second,
      kCpuBudgetUsPerSecond,
      CompareToBudget(total.cpu_us_per_second, kCpuBudgetUsPerSecond).c_str());
  std::printf("- memory of control state: %.1f of 64 MB: %s\n",
              total.memory_bytes / 1e6,
              CompareToBudget(total.memory_bytes, kMemoryBudgetBytes).c_str());
}

void PrintStoreCalls() {
  double changes_per_second = kChangesPerDay / kSecondsPerDay;
  double watch_reads = kRegions * kStoreReadersPerRegion *
                       (changes_per_second + 1 / kWatchTimeoutSeconds);
  double repair_reads = kRegions * kStoreReadersPerRegion / 60;
  double startup_reads = kRestartsPerDay / kSecondsPerDay;
  std::printf("\n### Calls of the key-value service\n\n");
  std::printf("| when | reads/s | writes/s | verdict |\n|---|---|---|---|\n");
  double reads =
      watch_reads + repair_reads + startup_reads + changes_per_second;
  double writes = changes_per_second * 2;
  std::printf("| ordinary hours | %.0f | %.1f | %s |\n", reads, writes,
              CompareToBudget(reads, kStoreReadLimitPerSecond).c_str());
  std::printf(
      "| first second after an outage, readers only | %.0f | %.1f | %s |\n",
      kRegions * kStoreReadersPerRegion * 2, writes,
      CompareToBudget(kRegions * kStoreReadersPerRegion * 2,
                      kStoreReadLimitPerSecond)
          .c_str());
  double restarting_instances = kInstances / kRegions * 10;
  std::printf(
      "| a region ten times the mean starts at once | %.0f | %.1f | %s |\n",
      restarting_instances + reads, writes,
      CompareToBudget(restarting_instances + reads, kStoreReadLimitPerSecond)
          .c_str());
  std::printf(
      "| all 380 start at once, no peer has documents | %.0f | %.1f | %s |\n",
      kInstances, writes,
      CompareToBudget(kInstances, kStoreReadLimitPerSecond).c_str());
  double idempotent_calls = kStoreWriteLimitPerSecond / 2;
  std::printf(
      "\nCalls with only an idempotency key cost two writes each: at most %.0f "
      "a second for the "
      "whole system. Calls with a ticket cost none.\n",
      idempotent_calls);
}

void PrintPropagationTimes(const LinearCostModel& cost_model) {
  std::printf(
      "\n### Times to learn\n\n| event | mean region | ten times the mean "
      "|\n|---|---|---|\n");
  double mean_instances = kInstances / kRegions;
  auto relay_hops = [](double instances) {
    return std::ceil(std::log2(instances + 1));
  };
  std::printf(
      "| a change of a document, hops of the relay tree | %.0f | %.0f |\n",
      relay_hops(mean_instances), relay_hops(mean_instances * 10));
  auto detection_seconds = [](double instances) {
    // A probe fails within two periods, the member is suspected until the
    // timeout, and the death then spreads in log2(n + 1) gossip rounds.
    return kProbePeriodSeconds * 2 + kSuspicionTimeoutSeconds +
           kProbePeriodSeconds * std::ceil(std::log2(instances + 1));
  };
  std::printf("| a dead node, seconds | %.0f | %.0f |\n",
              detection_seconds(mean_instances),
              detection_seconds(mean_instances * 10));
  std::printf("| a dead region, seconds | %.0f | %.0f |\n",
              3 * kSummaryPeriodSeconds, 3 * kSummaryPeriodSeconds);
  double requests_per_instance = kRequestsPerSecond / kInstances;
  double choice_cpu_us = cost_model.Estimate("choice_cpu_us", kMeanUpstreams);
  std::printf(
      "\nData path for a node at the mean: %.0f requests/s and %.0f tokens/s; "
      "choosing takes "
      "%.1f us a request, %.0f us/s.\n",
      requests_per_instance, kTokensPerSecond / kInstances, choice_cpu_us,
      choice_cpu_us * requests_per_instance);
}

}  // namespace

int PrintCapacity(const std::string& slopes_path) {
  LinearCostModel cost_model;
  if (!cost_model.Load(slopes_path)) {
    std::fprintf(stderr, "basilvalve-bench: cannot read %s\n",
                 slopes_path.c_str());
    return 1;
  }
  double instances = kInstances / kRegions;
  double workers = kWorkers / kRegions;
  PrintRegionCosts(cost_model, {"Smallest region", 3, workers / 3});
  PrintRegionCosts(cost_model, {"Mean region", instances, workers});
  PrintRegionCosts(cost_model,
                   {"Ten times the mean", instances * 10, workers * 10});
  PrintStoreCalls();
  PrintPropagationTimes(cost_model);
  return 0;
}

}  // namespace basilvalve::bench
