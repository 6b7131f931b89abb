#pragma once

#include <string>
#include <vector>

#include "BasilvalveProcessSoak/process_watch.h"
#include "UnitTests/Platform/Soak/platform_words.h"

namespace basilvalve::process_soak {

/// What a process used of its machine, compared with its limits.
struct UsageReport {
  std::vector<std::string> violations;
  /// One line.
  std::string figures;
};

/// Pre: `memory_before` is an earlier PeakMemory of the same process. Thread
/// safe.
UsageReport ReportUsage(const ProcessWatch& watch, const MachineLimits& limits,
                        int64_t memory_before);

}  // namespace basilvalve::process_soak
