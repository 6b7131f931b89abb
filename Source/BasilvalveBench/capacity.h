// Extrapolates control-plane costs to the two-year target size of the system.
#pragma once

#include <string>

namespace basilvalve::bench {

/// Reads the slopes file, which is the CSV (quantity, size, value) that
/// `basilvalve-bench slopes` prints, and prints the tables of docs/CAPACITY.md:
/// the cost for each instance in regions of three sizes and the calls to the
/// key-value store, compared with their budgets, and the propagation times.
/// Returns an exit code: 1 if the file cannot be read or has no measurements.
int PrintCapacity(const std::string& slopes_path);

}  // namespace basilvalve::bench
