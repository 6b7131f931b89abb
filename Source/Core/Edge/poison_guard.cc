#include "Core/Edge/poison_guard.h"

#include <set>

#include "Core/Common/hash.h"
#include "Core/Edge/call_log.h"

namespace basilvalve::edge {

PoisonGuard::PoisonGuard(net::EventLoop* loop, ConnectionPool* upstream_pool,
                         const flow::UpstreamRegistry* registry,
                         const flow::FleetView* fleet, EdgeMetrics* metrics,
                         BlockedFn on_blocked)
    : loop_(loop),
      fleet_(fleet),
      metrics_(metrics),
      on_blocked_(std::move(on_blocked)),
      detector_(loop, upstream_pool, registry,
                [this](const flow::Upstream& upstream,
                       const std::vector<LostCall>& calls,
                       Instant at) { OnCrash(upstream, calls, at); }) {}

std::optional<flow::BlockedPart> PoisonGuard::FindBlocked(
    const CallParams& params) {
  auto blocked =
      tracker_.FindBlocked(flow::SharedPartsOf(params.size), loop_->Now());
  if (blocked) {
    blocked->is_probe_due = blocked->is_probe_due && IsElected(blocked->part);
  }
  return blocked;
}

void PoisonGuard::OnProbe(const CallParams& params, flow::PromptPartId part) {
  LogProbe(params.id, part);
  tracker_.OnProbe(part, loop_->Now());
}

bool PoisonGuard::IsSuspected(const CallParams& params) const {
  std::vector<flow::PromptPartId> parts = flow::SharedPartsOf(params.size);
  return !tracker_.AreProven(parts) ||
         tracker_.IsSuspected(parts, loop_->Now());
}

bool PoisonGuard::IsElected(flow::PromptPartId part) const {
  const flow::InstanceRecord& self = fleet_->self();
  if (self.is_draining) {
    return false;
  }
  std::set<RegionId> regions{self.region};
  for (const flow::InstanceRecord& record : fleet_->OtherInstances()) {
    regions.insert(record.region);
  }
  uint64_t own = Hash64(self.id.value(), part.value());
  for (const RegionId& region : regions) {
    for (const flow::InstanceRecord& record :
         fleet_->LiveInstances(region, loop_->Now())) {
      if (!record.is_draining &&
          Hash64(record.id.value(), part.value()) > own) {
        return false;
      }
    }
  }
  return true;
}

void PoisonGuard::OnSurvival(const CallParams& params) {
  if (params.size.IsModelCall()) {
    tracker_.OnSurvival(flow::SharedPartsOf(params.size), loop_->Now());
    PublishChanges();
  }
}

void PoisonGuard::OnConnectionLost(const flow::UpstreamRegistry::Ptr& upstream,
                                   const CallParams& params,
                                   CrashDetector::DoneFn done) {
  detector_.OnConnectionLost(
      upstream, {params.id, flow::SharedPartsOf(params.size)}, std::move(done));
}

flow::PoisonReport PoisonGuard::MakeReport() {
  flow::PoisonReport report = tracker_.MakeReport(loop_->Now());
  PublishChanges();
  return report;
}

void PoisonGuard::OnReport(const flow::PoisonReport& report) {
  if (!report.empty()) {
    tracker_.OnReport(report, loop_->Now());
    PublishChanges();
  }
}

void PoisonGuard::OnCrash(const flow::Upstream& upstream,
                          const std::vector<LostCall>& calls, Instant at) {
  metrics_->CountUpstreamCrash();
  std::vector<std::vector<flow::PromptPartId>> parts;
  for (const LostCall& call : calls) {
    LogLostCall(call.request, upstream.record.id, call.parts);
    parts.push_back(call.parts);
  }
  ++crashes_;
  const flow::InstanceRecord& self = fleet_->self();
  flow::CrashId crash(Hash64(self.id.value(), self.incarnation + crashes_));
  tracker_.OnCrash(crash, flow::CrashSiteOf(upstream.record), parts, at);
  PublishChanges();
}

void PoisonGuard::PublishChanges() {
  for (const flow::PartVerdict& verdict : tracker_.TakeChanges(loop_->Now())) {
    LogPartVerdict(verdict);
    if (verdict.is_blocked) {
      on_blocked_(verdict.part);
    }
  }
}

}  // namespace basilvalve::edge
