// Calls and faults over a fleet, drawn from one seed, until the time is over.
#pragma once

#include <unordered_map>

#include "BasilvalveSoak/fleet.h"
#include "BasilvalveSoak/soak_caller.h"

namespace basilvalve::soak {

/// What is played.
struct SoakSettings {
  uint64_t seed = 1;
  Millis duration{30000};
  int calls_per_second = 150;
  /// Mean pause between two faults.
  Millis mean_fault_interval{250};
  FleetSize size;
};

/// Not thread safe.
class Soak {
 public:
  explicit Soak(const SoakSettings& settings);

  /// Plays everything; errors: kIo if the fleet does not start.
  Result<void> Run();
  const InvariantChecker& checker() const { return checker_; }
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
