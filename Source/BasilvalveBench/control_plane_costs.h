// Measures the cost of the control plane at several sizes by running the state
// machines that instances run.
#pragma once

namespace basilvalve::bench {

/// Measures membership, documents, region summaries and upstream choice, and
/// prints CSV: quantity, size, value. Returns an exit code.
int PrintControlPlaneCosts();

}  // namespace basilvalve::bench
