// Works out the two-year size from measured slopes.
#pragma once

#include <string>

namespace basilvalve::bench {

/// Reads a slopes file (CSV of quantity, size, value) and prints the tables of
/// docs/CAPACITY.md. Returns an exit code.
int PrintCapacity(const std::string& slopes_path);

}  // namespace basilvalve::bench
