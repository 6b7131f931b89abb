// Sends random calls to a fleet and injects random faults for a fixed time.
#pragma once

#include <unordered_map>

#include "BasilvalveSoak/fleet.h"
#include "BasilvalveSoak/soak_caller.h"

namespace basilvalve::soak {

/// Load, faults and fleet size of a soak test.
struct SoakSettings {
  /// Seed of all random draws.
  uint64_t seed = 1;
  Millis duration{30000};
  int calls_per_second = 150;
  /// Mean time between two faults.
  Millis mean_fault_interval{250};
  FleetSize size;
};

/// Runs the fleet, the callers and the fault injection on one event loop. Not
/// thread safe.
class Soak {
 public:
  explicit Soak(const SoakSettings& settings);

  /// Runs the whole test: load and faults for `duration`, then a wait for the
  /// calls in flight. Errors: kIo if the fleet does not start. Call once.
  Result<void> Run();
  const InvariantChecker& checker() const { return checker_; }
  /// Number of faults injected so far.
  uint64_t faults() const { return faults_; }

 private:
  void SendNextCall();
  void InjectNextFault();
  void DisruptInstance();
  void DisruptUpstream();
  void KillInstance(size_t instance);

  SoakSettings settings_;
  net::EventLoop loop_;
  Random random_;
  InvariantChecker checker_;
  Fleet fleet_;
  std::unordered_map<SoakCaller*, std::unique_ptr<SoakCaller>> callers_;
  net::Timer call_timer_;
  net::Timer fault_timer_;
  uint64_t calls_sent_ = 0;
  uint64_t faults_ = 0;
  bool is_finished_ = false;
};

}  // namespace basilvalve::soak
