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

// The stated target.
constexpr double kNodes = 380;
constexpr double kWorkers = 12000;
constexpr double kRegions = 37;
constexpr double kDocuments = 370;
constexpr double kModels = 4;
constexpr double kChangesPerDay = 62000;
constexpr double kSecondsPerDay = 86400;
constexpr double kRequests = 13000;
constexpr double kTokens = 4.7e6;
constexpr double kRestartsPerDay = 670 + 220;
constexpr double kCpuBudgetUs =
    12000;  // 1.2% of a core, in microseconds per second
constexpr double kByteBudget = 7000;
constexpr double kMemoryBudget = 64e6;
constexpr double kStoreReads = 2000;
constexpr double kStoreWrites = 300;
// Periods and bounds of the mechanisms, as their settings state them.
constexpr double kSummaryPeriod = 0.3 * kRegions;
constexpr double kReaders = 2;
constexpr double kSpeakers = 1;
constexpr double kWatchWait = 10;
constexpr double kFanOut = 2;
constexpr double kReportBytesPerSecond = 2000;
constexpr double kReportBytes = 800;
constexpr double kReportCpuUs = 300;
constexpr double kMeanUpstreams = 64;
constexpr double kSuspicionSeconds = 3;
constexpr double kProbePeriod = 1;

using Points = std::vector<std::pair<double, double>>;

/// Measured values by quantity; sizes between and beyond them follow a line
/// fitted by least squares.
class Slopes {
 public:
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

  double At(const std::string& quantity, double size) const {
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
    double spread = n * sxx - sx * sx;
    double slope = spread == 0 ? 0 : (n * sxy - sx * sy) / spread;
    return std::max(0.0, (sy - slope * sx) / n + slope * size);
  }

 private:
  std::map<std::string, Points> points_;
};

/// A region worked through on its own.
struct RegionSize {
  const char* name;
  double nodes;
  double workers;
};

/// Cost of one mechanism for one node.
struct Cost {
  std::string mechanism;
  double sent = 0;
  double received = 0;
  double cpu_us = 0;
  double memory = 0;
};

std::vector<Cost> CostsOf(const Slopes& slopes, const RegionSize& region) {
  double changes = kChangesPerDay / kSecondsPerDay;
  double record = slopes.At("document_record_bytes", kDocuments);
  double summary = slopes.At("summary_bytes", kModels);
  double summary_cpu = slopes.At("summary_cpu_us", kModels);
  // Each other region sends kSpeakers summaries a period; one instance here
  // receives each and relays it to all others of the region.
  double summaries_in = (kRegions - 1) * kSpeakers / kSummaryPeriod;
  double own_share = summaries_in / region.nodes;
  double spoken = (kRegions - 1) * kSpeakers / kSummaryPeriod / region.nodes;
  double upstreams = std::min(region.workers, kMeanUpstreams);
  double digest_cpu = slopes.At("document_digest_cpu_us", kDocuments);
  double messages = slopes.At("membership_messages_per_s", region.nodes);
  std::vector<Cost> costs;
  double gossip = slopes.At("membership_bytes_per_s", region.nodes);
  costs.push_back({"membership probes", gossip, gossip,
                   slopes.At("membership_cpu_us_per_s", region.nodes) +
                       2 * messages * digest_cpu,
                   slopes.At("membership_heap_bytes", region.nodes)});
  costs.push_back({"region summaries",
                   (spoken + own_share * (region.nodes - 1)) * summary,
                   summaries_in * summary,
                   (summaries_in + spoken + own_share * (region.nodes - 1)) *
                       summary_cpu / 2,
                   kRegions * 3 * summary});
  double fan_out = std::min(kFanOut, (region.nodes - 1) / region.nodes);
  costs.push_back(
      {"document relay", changes * record * fan_out, changes * record,
       changes * (slopes.At("document_apply_cpu_us", kDocuments) * 2),
       kDocuments * slopes.At("document_heap_bytes", kDocuments)});
  costs.push_back({"store reading, by readers", 0,
                   changes * record * kReaders / region.nodes, 0, 0});
  costs.push_back({"load reports", kReportBytesPerSecond * 0.3,
                   kReportBytesPerSecond * 0.7,
                   kReportBytesPerSecond / kReportBytes * kReportCpuUs,
                   upstreams * kReportBytes});
  return costs;
}

std::string Verdict(double value, double budget) {
  char buf[64];
  if (value <= budget) {
    std::snprintf(buf, sizeof(buf), "holds, margin %.1f", budget / value);
  } else {
    std::snprintf(buf, sizeof(buf), "falls short by %.1f", value / budget);
  }
  return buf;
}

void PrintRegion(const Slopes& slopes, const RegionSize& region) {
  std::printf("\n### %s: %.0f nodes, %.0f workers\n\n", region.name,
              region.nodes, region.workers);
  std::printf(
      "| mechanism | sent B/s | received B/s | CPU us/s | memory KB |\n");
  std::printf("|---|---|---|---|---|\n");
  Cost total;
  for (const Cost& it : CostsOf(slopes, region)) {
    std::printf("| %s | %.0f | %.0f | %.0f | %.0f |\n", it.mechanism.c_str(),
                it.sent, it.received, it.cpu_us, it.memory / 1000);
    total.sent += it.sent;
    total.received += it.received;
    total.cpu_us += it.cpu_us;
    total.memory += it.memory;
  }
  std::printf("| **all** | %.0f | %.0f | %.0f | %.0f |\n", total.sent,
              total.received, total.cpu_us, total.memory / 1000);
  std::printf("\n- bytes, sent and received together: %.0f of %.0f: %s\n",
              total.sent + total.received, kByteBudget,
              Verdict(total.sent + total.received, kByteBudget).c_str());
  std::printf("- bytes, sent only: %.0f of %.0f: %s\n", total.sent, kByteBudget,
              Verdict(total.sent, kByteBudget).c_str());
  std::printf("- processor: %.0f of %.0f us/s: %s\n", total.cpu_us,
              kCpuBudgetUs, Verdict(total.cpu_us, kCpuBudgetUs).c_str());
  std::printf("- memory of control state: %.1f of 64 MB: %s\n",
              total.memory / 1e6, Verdict(total.memory, kMemoryBudget).c_str());
}

void PrintStore() {
  double changes = kChangesPerDay / kSecondsPerDay;
  double watches = kRegions * kReaders * (changes + 1 / kWatchWait);
  double repairs = kRegions * kReaders / 60;
  double starts = kRestartsPerDay / kSecondsPerDay;
  std::printf("\n### Calls of the key-value service\n\n");
  std::printf("| when | reads/s | writes/s | verdict |\n|---|---|---|---|\n");
  double reads = watches + repairs + starts + changes;
  double writes = changes * 2;
  std::printf("| ordinary hours | %.0f | %.1f | %s |\n", reads, writes,
              Verdict(reads, kStoreReads).c_str());
  std::printf(
      "| first second after an outage, readers only | %.0f | %.1f | %s |\n",
      kRegions * kReaders * 2, writes,
      Verdict(kRegions * kReaders * 2, kStoreReads).c_str());
  double region = kNodes / kRegions * 10;
  std::printf(
      "| a region ten times the mean starts at once | %.0f | %.1f | %s |\n",
      region + reads, writes, Verdict(region + reads, kStoreReads).c_str());
  std::printf(
      "| all 380 start at once, no peer has documents | %.0f | %.1f | %s |\n",
      kNodes, writes, Verdict(kNodes, kStoreReads).c_str());
  double keyed = kStoreWrites / 2;
  std::printf(
      "\nCalls with only an idempotency key cost two writes each: at most %.0f "
      "a second for the "
      "whole system. Calls with a ticket cost none.\n",
      keyed);
}

void PrintTimes(const Slopes& slopes) {
  std::printf(
      "\n### Times to learn\n\n| event | mean region | ten times the mean "
      "|\n|---|---|---|\n");
  double mean = kNodes / kRegions;
  auto hops = [](double nodes) { return std::ceil(std::log2(nodes + 1)); };
  std::printf(
      "| a change of a document, hops of the relay tree | %.0f | %.0f |\n",
      hops(mean), hops(mean * 10));
  auto dead = [](double nodes) {
    // Found by someone's probe, suspected for a while, then spread in rounds.
    return kProbePeriod * 2 + kSuspicionSeconds +
           kProbePeriod * std::ceil(std::log2(nodes + 1));
  };
  std::printf("| a dead node, seconds | %.0f | %.0f |\n", dead(mean),
              dead(mean * 10));
  std::printf("| a dead region, seconds | %.0f | %.0f |\n", 3 * kSummaryPeriod,
              3 * kSummaryPeriod);
  double per_node = kRequests / kNodes;
  double choice = slopes.At("choice_cpu_us", kMeanUpstreams);
  std::printf(
      "\nData path for a node at the mean: %.0f requests/s and %.0f tokens/s; "
      "choosing takes "
      "%.1f us a request, %.0f us/s.\n",
      per_node, kTokens / kNodes, choice, choice * per_node);
}

}  // namespace

int PrintCapacity(const std::string& slopes_path) {
  Slopes slopes;
  if (!slopes.Load(slopes_path)) {
    std::fprintf(stderr, "basilvalve-bench: cannot read %s\n",
                 slopes_path.c_str());
    return 1;
  }
  double nodes = kNodes / kRegions;
  double workers = kWorkers / kRegions;
  PrintRegion(slopes, {"Smallest region", 3, workers / 3});
  PrintRegion(slopes, {"Mean region", nodes, workers});
  PrintRegion(slopes, {"Ten times the mean", nodes * 10, workers * 10});
  PrintStore();
  PrintTimes(slopes);
  return 0;
}

}  // namespace basilvalve::bench
