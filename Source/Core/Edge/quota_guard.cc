#include "Core/Edge/quota_guard.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "Core/Common/hash.h"
#include "Core/Common/log.h"
#include "Core/Edge/call_planner.h"
#include "Core/Edge/heartbeat_codec.h"

namespace basilvalve::edge {
namespace {

// An instance of a large region that sends no heartbeats reports its use this
// often to the one that passes it on.
constexpr Millis kFollowerReportInterval{1000};
// After a longer gap the receiver begins anew.
constexpr Millis kFollowerGap{5000};
// Heartbeats between regions: see SendRemoteHeartbeats.
constexpr Millis kRemoteHeartbeatGap{25};
constexpr Millis kRemoteHeartbeatInterval{400};
constexpr Millis kRelayedHeartbeatInterval{1000};

uint64_t TokensOf(const flow::TokenQuota& quota, const flow::CallSize& size) {
  if (quota.counts_calls) {
    return 1;
  }
  uint64_t stated = uint64_t{size.tokens_in} + size.tokens_out;
  return stated > 0 ? stated : quota.plain_call_tokens;
}

bool IsLimited(const std::shared_ptr<const flow::Workspace>& workspace) {
  return workspace->quota && workspace->quota->tokens_per_second > 0;
}

}  // namespace

QuotaGuard::QuotaGuard(const flow::FleetView* fleet,
                       const flow::DispatcherSet* dispatchers,
                       EdgeMetrics* metrics, Random* random,
                       Millis silent_use_time, SendFn send)
    : fleet_(fleet),
      dispatchers_(dispatchers),
      metrics_(metrics),
      random_(random),
      silent_use_time_(silent_use_time),
      send_(std::move(send)) {}

void QuotaGuard::OnDesiredState(const flow::DesiredState& state, Instant now) {
  const auto& workspaces = state.workspaces();
  if (std::none_of(workspaces.begin(), workspaces.end(), IsLimited)) {
    limiter_.reset();
    return;
  }
  if (!limiter_) {
    limiter_.emplace(fleet_->self().id, fleet_->self().region, random_, now);
    limiter_->SetSilenceTime(silent_use_time_);
    limiter_->SetMembers(Members(), now);
  }
  limiter_->SetLimits(workspaces, now);
}

std::optional<Millis> QuotaGuard::Admit(const CallParams& params,
                                        CallContext* context, Instant now) {
  if (!limiter_ || !context->workspace || !IsLimited(context->workspace)) {
    return std::nullopt;
  }
  uint64_t tokens = TokensOf(*context->workspace->quota, params.size);
  flow::QuotaDecision decision =
      limiter_->Offer(context->workspace->name, tokens, now);
  const std::string& name = context->workspace->name.value();
  if (!decision.is_admitted) {
    metrics_->CountQuota(name, "refused", tokens);
    return decision.retry_after;
  }
  metrics_->CountQuota(name, "admitted", tokens);
  context->charged_tokens = tokens;
  return std::nullopt;
}

void QuotaGuard::OnNotRun(const CallContext& context, Instant now) {
  if (!limiter_ || context.charged_tokens == 0) {
    return;
  }
  limiter_->Refund(context.workspace->name, context.charged_tokens, now);
  metrics_->CountQuota(context.workspace->name.value(), "refunded",
                       context.charged_tokens);
}

std::vector<flow::UseRow> QuotaGuard::Report(Instant now) {
  return limiter_ && !IsFollower() ? limiter_->Report(now)
                                   : std::vector<flow::UseRow>();
}

void QuotaGuard::OnHeartbeat(const flow::Heartbeat& heartbeat, Instant now) {
  if (!limiter_) {
    return;
  }
  const flow::InstanceRecord* reporter =
      IsFollower() ? ReporterOf(fleet_->self().id) : nullptr;
  limiter_->OnReport(
      {heartbeat.from.id, heartbeat.from.region, heartbeat.from.incarnation,
       heartbeat.from.is_draining, heartbeat.sequence, heartbeat.use},
      reporter != nullptr && reporter->id == heartbeat.from.id, now);
}

void QuotaGuard::OnFollowerReport(const flow::QuotaReport& report,
                                  Instant now) {
  if (limiter_ && report.region == fleet_->self().region) {
    limiter_->OnFollowerReport(report, now);
  }
}

const flow::InstanceRecord* QuotaGuard::ReporterOf(
    const InstanceId& follower) const {
  const auto& dispatchers = dispatchers_->dispatchers();
  return dispatchers.empty()
             ? nullptr
             : &dispatchers[Hash64(follower.value()) % dispatchers.size()];
}

std::vector<flow::QuotaMember> QuotaGuard::Members() const {
  std::map<RegionId, std::vector<flow::InstanceRecord>> by_region;
  size_t remote = 0;
  for (flow::InstanceRecord& record : fleet_->OtherInstances()) {
    remote += record.region == fleet_->self().region ? 0 : 1;
    by_region[record.region].push_back(std::move(record));
  }
  size_t neighbours = by_region[fleet_->self().region].size();
  Millis near = dispatchers_->is_exclusive()
                    ? flow::kDispatcherHeartbeatInterval
                    : flow::DirectHeartbeatInterval(neighbours);
  Millis far =
      near + std::max(kRemoteHeartbeatInterval,
                      kRemoteHeartbeatGap * static_cast<int64_t>(remote));
  std::vector<flow::QuotaMember> members;
  for (const auto& [region, records] : by_region) {
    bool is_own = region == fleet_->self().region;
    std::vector<flow::InstanceRecord> senders =
        is_own && dispatchers_->is_exclusive()
            ? dispatchers_->dispatchers()
            : flow::DispatcherSet::Select(records);
    std::set<InstanceId> reporting;
    for (const flow::InstanceRecord& it : senders) {
      reporting.insert(it.id);
    }
    bool is_relayed = dispatchers_->is_exclusive() ||
                      (!is_own && senders.size() < records.size());
    Millis interval = is_own       ? near
                      : is_relayed ? near + kRelayedHeartbeatInterval
                                   : far;
    for (const flow::InstanceRecord& it : records) {
      members.push_back({it.id, region, reporting.contains(it.id), interval});
    }
  }
  return members;
}

void QuotaGuard::SendFollowerReport(Instant now) {
  const flow::InstanceRecord* reporter = ReporterOf(fleet_->self().id);
  if (reporter == nullptr ||
      now - last_follower_report_at_ < kFollowerReportInterval) {
    return;
  }
  bool is_first = std::exchange(last_reporter_, reporter->id) != reporter->id ||
                  now - last_follower_report_at_ > kFollowerGap;
  last_follower_report_at_ = now;
  const flow::InstanceRecord& self = fleet_->self();
  send_(*reporter, EncodeUseReport({self.id, self.region, self.incarnation,
                                    self.is_draining, ++follower_sequence_,
                                    limiter_->FollowerReport(is_first, now)}));
}

void QuotaGuard::Sweep(Instant now) {
  if (!limiter_) {
    return;
  }
  limiter_->SetMembers(Members(), now);
  for (const flow::QuotaChange& it : limiter_->Sweep(now)) {
    LogEvent(LogLevel::kInfo, "quota",
             it.is_limited ? "limiting_began" : "limiting_ended")
        .With("workspace", it.workspace.value())
        .With("group_share_percent",
              static_cast<int64_t>(100 * limiter_->group_share()));
  }
  if (IsFollower()) {
    SendFollowerReport(now);
  }
}

}  // namespace basilvalve::edge
