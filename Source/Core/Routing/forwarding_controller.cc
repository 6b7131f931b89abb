#include "Core/Routing/forwarding_controller.h"

#include <algorithm>

namespace basilvalve::routing {
namespace {

Micros Scale(Micros time, double fraction) {
  return Micros(
      static_cast<int64_t>(static_cast<double>(time.count()) * fraction));
}

}  // namespace

double ForwardingController::AllowedShare(const RegionState& state,
                                          bool local_misses_deadline,
                                          Instant reconnected_at,
                                          Instant now) const {
  auto ramped_share = [&](Instant start, Millis duration) {
    double fraction = static_cast<double>((now - start).count()) /
                      static_cast<double>(Micros(duration).count());
    return std::clamp(settings_.initial_share + fraction, 0.0, 1.0);
  };
  double share = local_misses_deadline ? 1
                                       : ramped_share(state.active_since,
                                                      settings_.ramp_duration);
  if (reconnected_at != Instant()) {
    share = std::min(
        share, ramped_share(reconnected_at, settings_.cold_ramp_duration));
  }
  return share;
}

void ForwardingController::OnLocalPrediction(Micros local, Micros target) {
  if (local > Scale(target, settings_.stop_threshold)) {
    return;
  }
  for (auto& [region, state] : regions_) {
    state.active = false;
  }
}

bool ForwardingController::Allows(const RegionId& region, Micros local,
                                  Micros remote, Micros target,
                                  bool local_misses_deadline,
                                  Instant reconnected_at, Instant now,
                                  Random* random) {
  OnLocalPrediction(local, target);
  RegionState& state = regions_[region];
  bool remote_is_faster = remote < Scale(local, settings_.max_latency_ratio);
  if (!state.active && local > Scale(target, settings_.start_threshold) &&
      remote_is_faster) {
    state = {true, now};
  }
  if (!state.active || !remote_is_faster) {
    return false;
  }
  return random->UniformDouble() <
         AllowedShare(state, local_misses_deadline, reconnected_at, now);
}

}  // namespace basilvalve::routing
