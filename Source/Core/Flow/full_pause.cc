#include "Core/Flow/full_pause.h"

#include <algorithm>

namespace basilvalve::flow {
namespace {

// A wrong service time must not exclude an upstream for long.
constexpr Micros kMinPause{Millis(1)};
constexpr Micros kMaxPause{Millis(500)};

}  // namespace

void FullPause::OnRefused(Micros slot_time, std::optional<uint32_t> waiting,
                          Instant now) {
  has_refused_ = true;
  if (waiting && *waiting > 0) {
    full_queue_ = waiting;
  }
  until_ = std::max(until_, now + std::clamp(slot_time, kMinPause, kMaxPause));
}

}  // namespace basilvalve::flow
