// Measures what control costs at several sizes, with the state machines that
// serve.
#pragma once

namespace basilvalve::bench {

/// Prints the slopes as CSV: quantity, size, value. Returns an exit code.
int PrintControlSlopes();

}  // namespace basilvalve::bench
