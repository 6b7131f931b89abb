#include "Core/Routing/forwarding_controller.h"

#include <algorithm>

namespace basilvalve::routing {
namespace {

Micros Part(Micros time, double part) {
  return Micros(static_cast<int64_t>(static_cast<double>(time.count()) * part));
}

}  // namespace

double ForwardingController::ShareOf(const Flow& flow, bool hopeless,
                                     Instant returned, Instant now) const {
  auto ramp = [&](Instant from, Millis length) {
    double part = static_cast<double>((now - from).count()) /
                  static_cast<double>(Micros(length).count());
    return std::clamp(settings_.initial_share + part, 0.0, 1.0);
  };
  double share = hopeless ? 1 : ramp(flow.since, settings_.ramp);
  if (returned != Instant()) {
    share = std::min(share, ramp(returned, settings_.cold_ramp));
  }
  return share;
}

void ForwardingController::OnLocal(Micros local, Micros target) {
  if (local > Part(target, settings_.stop_at)) {
    return;
  }
  for (auto& [region, flow] : flows_) {
    flow.on = false;
  }
}

bool ForwardingController::Allows(const RegionId& region, Micros local,
                                  Micros remote, Micros target, bool hopeless,
                                  Instant returned, Instant now,
                                  Random* random) {
  OnLocal(local, target);
  Flow& flow = flows_[region];
  bool better = remote < Part(local, settings_.advantage);
  if (!flow.on && local > Part(target, settings_.start_at) && better) {
    flow = {true, now};
  }
  if (!flow.on || !better) {
    return false;
  }
  return random->Unit() < ShareOf(flow, hopeless, returned, now);
}

}  // namespace basilvalve::routing
