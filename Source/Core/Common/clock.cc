#include "Core/Common/clock.h"

namespace basilvalve {

Instant SteadyClock::Now() const {
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

Instant VirtualClock::Now() const { return Instant(Micros(micros_.load())); }

void VirtualClock::Advance(Micros step) { micros_.fetch_add(step.count()); }

uint64_t WallMillis() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(std::chrono::duration_cast<Millis>(now).count());
}

}  // namespace basilvalve
