#include "BasilvalveProcessSoak/usage_report.h"

namespace basilvalve::process_soak {

UsageReport ReportUsage(const ProcessWatch& watch, const MachineLimits& limits,
                        int64_t memory_before) {
  constexpr int64_t kMegabyte = int64_t{1024} * 1024;
  int64_t memory = watch.PeakMemory();
  int64_t unread = watch.peak_unread_bytes();
  UsageReport report;
  report.figures = "memory=" + std::to_string(memory / kMegabyte) + "MB of " +
                   std::to_string(limits.memory_mb) + ", " +
                   std::to_string(memory_before / kMegabyte) + " before, " +
                   std::to_string(unread / kMegabyte) +
                   " unread in the kernel; descriptors=" +
                   std::to_string(watch.peak_descriptors()) + " of " +
                   std::to_string(limits.max_fds);
  if (memory < 0) {
    report.violations.emplace_back("the process has ended");
  }
  if (memory + unread >= limits.memory_mb * kMegabyte) {
    report.violations.emplace_back("the process takes too much memory");
  }
  if (watch.peak_descriptors() >= limits.max_fds) {
    report.violations.emplace_back("the process opens too many descriptors");
  }
  return report;
}

}  // namespace basilvalve::process_soak
