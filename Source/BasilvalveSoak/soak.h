// Calls and faults over a fleet, drawn from one seed, until the time is over.
#pragma once

#include <unordered_map>

#include "BasilvalveSoak/fleet.h"
#include "BasilvalveSoak/soak_caller.h"

namespace basilvalve::soak {

/// What is played.
struct SoakSettings {
  uint64_t seed = 1;
  Millis length{30000};
  int calls_per_second = 150;
  /// Mean pause between two faults.
  Millis fault_pause{250};
  FleetSize size;
};

/// Not thread safe.
class Soak {
 public:
  explicit Soak(const SoakSettings& settings);

  /// Plays everything; errors: kIo if the fleet does not start.
  Result<void> Run();
  const Ledger& ledger() const { return ledger_; }
  uint64_t faults() const { return faults_; }

 private:
  void CallOn();
  void FaultOn();
  void StrikeInstance();
  void StrikeUpstream();
  void KillInstance(size_t instance);

  SoakSettings settings_;
  net::EventLoop loop_;
  Random random_;
  Ledger ledger_;
  Fleet fleet_;
  std::unordered_map<SoakCaller*, std::unique_ptr<SoakCaller>> callers_;
  net::Timer call_timer_;
  net::Timer fault_timer_;
  uint64_t calls_ = 0;
  uint64_t faults_ = 0;
  bool is_over_ = false;
};

}  // namespace basilvalve::soak
