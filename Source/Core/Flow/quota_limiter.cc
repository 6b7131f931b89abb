#include "Core/Flow/quota_limiter.h"

#include <algorithm>
#include <utility>

namespace basilvalve::flow {
namespace {

// An instance is silent after this time without reports, or after several
// missed ones: a lost report changes nothing.
constexpr Millis kMinSilence{1500};
constexpr int kMissedReports = 3;
// All instances of a region are silent after this time without a report of any
// of them: of 28 instances, about 20 reports a second arrive.
constexpr Millis kMinRegionSilence{1000};
constexpr double kMissedRegionReports = 6;
constexpr Millis kGroupUpdateInterval{100};
// Share of its burst that a group is charged when it is cut off while calls are
// refused.
constexpr double kCutOffCharge = 0.5;
// After a pause of this instance, reports that arrived meanwhile have yet to be
// read, so nobody is silent.
constexpr Millis kOwnStall{800};
constexpr Millis kStallRecovery{300};
// Above this share of silent instances, the others take them to be cut off and
// to use their part of the limits. A single one of many that ends or freezes
// changes nothing.
constexpr double kMaxSilentShare = 0.125;
// An instance that has just started takes the counters of the others as they
// are. Later, an instance that was not known has just started itself.
constexpr Seconds kBaselineTime{5};
// A peer without use whose mean demand has sunk below this, in tokens a second,
// is not kept.
constexpr double kNoDemand = 1;
// Added to each burst, since single calls may cost more than the burst of a
// small workspace. Covered by the slack of the bound, which 80,000 exceeded in
// simulated surges of calls of up to 60,000 tokens at a rate of 60,000.
constexpr double kLargeCallTokens = 40'000;
// An instance that reported to this one alone goes on to count for this long;
// it does so each second.
constexpr Seconds kFollowTime{5};
// Limiting ends when no call was refused for this long.
constexpr Seconds kLimitedTime{5};
// A silent instance that is not written off is forgotten after this.
constexpr Seconds kMemberRetention{600};

}  // namespace

QuotaLimiter::QuotaLimiter(InstanceId self, RegionId region, Random* random,
                           Instant now)
    : self_(std::move(self)),
      region_(std::move(region)),
      random_(random),
      started_at_(now),
      group_updated_at_(now) {}

bool QuotaLimiter::IsSilent(const Member& member, Instant now) const {
  if (!member.is_reporting) {
    return false;
  }
  Micros silence = now - member.heard_at;
  if (silence >
      std::max<Micros>(kMinSilence, kMissedReports * member.report_interval)) {
    return true;
  }
  auto it = regions_.find(member.region);
  if (it == regions_.end() || it->second.reports_per_second <= 0) {
    return false;
  }
  auto missed = Micros(static_cast<int64_t>(
      kMissedRegionReports / it->second.reports_per_second * 1e6));
  return now - it->second.heard_at >
         std::max<Micros>(kMinRegionSilence, missed);
}

bool QuotaLimiter::IsWrittenOff(const Member& member, Instant now) const {
  if (!member.is_reporting) {
    return !member.is_known;
  }
  return IsSilent(member, now) &&
         (member.is_draining || now - member.heard_at > silence_time_);
}

bool QuotaLimiter::IsCounted(const Member& member, Instant now) const {
  if (group_share_ < 1 && (member.region != region_ || IsSilent(member, now))) {
    return false;
  }
  if (!member.is_reporting) {
    return member.followed_at && now - *member.followed_at < kFollowTime;
  }
  return !IsWrittenOff(member, now);
}

double QuotaLimiter::GroupShare(Instant now) const {
  double known = 1;
  double silent = 0;
  double group = 1;
  for (const auto& [id, member] : members_) {
    if (IsWrittenOff(member, now)) {
      continue;
    }
    known += 1;
    silent += IsSilent(member, now) ? 1 : 0;
    group += member.region == region_ && !IsSilent(member, now) ? 1 : 0;
  }
  return silent > kMaxSilentShare * known ? group / known : 1;
}

double QuotaLimiter::BurstOf(const TokenQuota& quota) const {
  double allowance = quota.counts_calls ? 0 : kLargeCallTokens;
  return (quota.burst_tokens + allowance) * group_share_;
}

void QuotaLimiter::ApplyQuota(Limit* limit, Instant now) const {
  limit->bucket.SetLimit(limit->quota.tokens_per_second * group_share_,
                         BurstOf(limit->quota), now);
}

void QuotaLimiter::UpdateGroup(Instant now) {
  if (now - group_updated_at_ > kOwnStall) {
    resumed_at_ = now;
  }
  group_updated_at_ = now;
  if (now - resumed_at_ < kStallRecovery) {
    return;
  }
  double share = GroupShare(now);
  bool is_changed = share != group_share_;
  bool is_cut_off = group_share_ == 1 && share < 1;
  group_share_ = share;
  for (auto& [key, changed] : limits_) {
    Limit& limit = changed;
    std::erase_if(limit.peers, [&](auto& entry) {
      auto member = members_.find(entry.first);
      if (member != members_.end() && IsCounted(member->second, now)) {
        return false;
      }
      limit.bucket.RemovePeer(entry.second, now);
      return true;
    });
    if (is_changed) {
      ApplyQuota(&limit, now);
    }
    if (is_cut_off && limit.bucket.AdmittedShare(now) < 1) {
      // Instances that became silent in a surge admitted more than assumed: a
      // surge by 10 at the moment of a partition was 4% over the bound.
      limit.bucket.Charge(kCutOffCharge * BurstOf(limit.quota), now);
    }
  }
}

void QuotaLimiter::SetLimits(
    const std::vector<std::shared_ptr<const Workspace>>& workspaces,
    Instant now) {
  std::map<UseKey, Limit> limits;
  for (const auto& workspace : workspaces) {
    if (!workspace->quota || workspace->quota->tokens_per_second <= 0) {
      continue;
    }
    UseKey key = UseKeyOf(workspace->name);
    auto it = limits_.find(key);
    if (it != limits_.end()) {
      it->second.quota = *workspace->quota;
      ApplyQuota(&it->second, now);
      limits.insert(limits_.extract(it));
      continue;
    }
    const TokenQuota& quota = *workspace->quota;
    limits.try_emplace(key,
                       Limit{workspace->name,
                             quota,
                             QuotaBucket(quota.tokens_per_second * group_share_,
                                         BurstOf(quota), now),
                             {},
                             {}});
  }
  limits_ = std::move(limits);
}

void QuotaLimiter::SetMembers(const std::vector<QuotaMember>& members,
                              Instant now) {
  for (auto& [id, member] : members_) {
    member.is_known = false;
  }
  for (auto& [id, region] : regions_) {
    region.reports_per_second = 0;
  }
  for (const QuotaMember& it : members) {
    if (it.id == self_) {
      continue;
    }
    auto [at, is_new] = members_.try_emplace(it.id);
    Member& member = at->second;
    if (is_new || !it.is_reporting || !member.is_reporting) {
      member.heard_at = now;
    }
    if (it.is_reporting && !is_new && !member.is_reporting) {
      member.awaits_baseline = true;
      member.followed_at.reset();
    }
    member.region = it.region;
    member.is_reporting = it.is_reporting;
    member.report_interval = it.report_interval;
    member.is_known = true;
    auto [region, is_first] = regions_.try_emplace(it.region);
    if (is_first) {
      region->second.heard_at = now;
    }
    if (it.is_reporting && it.report_interval > Micros::zero()) {
      region->second.reports_per_second +=
          1e6 / static_cast<double>(it.report_interval.count());
    }
  }
}

void QuotaLimiter::OnReport(const QuotaReport& report, bool includes_own,
                            Instant now) {
  if (report.from == self_) {
    return;
  }
  auto [at, is_new] = members_.try_emplace(report.from);
  Member& member = at->second;
  if (!member.is_reporting) {
    // Its use is passed on by another instance.
    return;
  }
  bool was_silent = !is_new && IsSilent(member, now);
  bool was_counted = is_new || IsCounted(member, now);
  bool is_baseline =
      std::exchange(member.awaits_baseline, false) ||
      (!is_new && IsWrittenOff(member, now)) ||
      (!member.first_reported_at && now - started_at_ < kBaselineTime);
  // An instance whose rows are a baseline has had a demand that is not known.
  Instant known_since = is_baseline ? now : started_at_;
  Instant previous_at = is_baseline ? now : member.heard_at;
  if (is_new) {
    previous_at = now;
  }
  member.region = report.region;
  member.is_draining = report.is_draining;
  member.heard_at = regions_[report.region].heard_at = now;
  if (!member.first_reported_at) {
    member.first_reported_at = now;
  }
  std::map<UseKey, UseIncrease> increases =
      member.reader.Read(report.incarnation, report.rows, is_baseline);
  if (was_silent) {
    UpdateGroup(now);
  }
  // The use of a group that was cut off counted against its own share.
  if (!was_counted || !IsCounted(member, now)) {
    return;
  }
  if (includes_own) {
    RemoveOwn(&increases);
  }
  Charge(report.from, increases, known_since, previous_at, now);
}

void QuotaLimiter::OnFollowerReport(const QuotaReport& report, Instant now) {
  Member& member = members_[report.from];
  if (report.incarnation == member.incarnation &&
      report.sequence <= member.sequence) {
    return;
  }
  member.incarnation = report.incarnation;
  member.sequence = report.sequence;
  // The use before it reported here was passed on by another instance.
  bool is_baseline =
      !member.followed_at || now - *member.followed_at > kFollowTime;
  Instant previous_at = is_baseline ? now : *member.followed_at;
  member.region = report.region;
  member.is_reporting = false;
  member.is_known = true;
  member.heard_at = now;
  member.followed_at = now;
  std::map<UseKey, UseIncrease> increases =
      member.reader.Read(report.incarnation, report.rows, is_baseline);
  for (const auto& [key, use] : increases) {
    if (limits_.contains(key)) {
      own_use_.Add(key, static_cast<uint64_t>(use.admitted),
                   static_cast<uint64_t>(use.offered), now);
    }
  }
  Charge(report.from, increases, is_baseline ? now : started_at_, previous_at,
         now);
}

std::vector<UseRow> QuotaLimiter::FollowerReport(bool is_first, Instant now) {
  std::vector<UseRow> rows = own_use_.Report(now);
  if (is_first) {
    unreturned_use_.clear();
  }
  for (const auto& [key, use] : follower_reports_.Read(0, rows, is_first)) {
    unreturned_use_[key].admitted += use.admitted;
    unreturned_use_[key].offered += use.offered;
  }
  return rows;
}

void QuotaLimiter::RemoveOwn(std::map<UseKey, UseIncrease>* increases) {
  for (auto& [key, use] : *increases) {
    auto own = unreturned_use_.find(key);
    if (own == unreturned_use_.end()) {
      continue;
    }
    double admitted = std::min(use.admitted, own->second.admitted);
    double offered = std::min(use.offered, own->second.offered);
    use.admitted -= admitted;
    use.offered -= offered;
    own->second.admitted -= admitted;
    own->second.offered -= offered;
  }
}

void QuotaLimiter::Charge(const InstanceId& id,
                          const std::map<UseKey, UseIncrease>& increases,
                          Instant known_since, Instant previous_at,
                          Instant now) {
  for (auto& [key, limit] : limits_) {
    auto increase = increases.find(key);
    auto peer = limit.peers.find(id);
    if (peer == limit.peers.end()) {
      if (increase == increases.end()) {
        continue;
      }
      peer = limit.peers.try_emplace(id).first;
      limit.bucket.AddPeer(&peer->second, known_since, previous_at, now);
    }
    UseIncrease use =
        increase == increases.end() ? UseIncrease() : increase->second;
    limit.bucket.OnReport(&peer->second, use.admitted, use.offered, now);
    if (increase == increases.end() && peer->second.demand < kNoDemand) {
      limit.bucket.RemovePeer(peer->second, now);
      limit.peers.erase(peer);
    }
  }
}

QuotaDecision QuotaLimiter::Offer(const WorkspaceId& workspace, uint64_t tokens,
                                  Instant now) {
  UseKey key = UseKeyOf(workspace);
  auto it = limits_.find(key);
  if (it == limits_.end()) {
    return {};
  }
  if (now - group_updated_at_ >= kGroupUpdateInterval) {
    UpdateGroup(now);
  }
  Limit& limit = it->second;
  double share = limit.bucket.AdmittedShare(now);
  bool is_admitted = share >= 1 || random_->UniformDouble() < share;
  limit.bucket.OnOwnCall(static_cast<double>(tokens), is_admitted, now);
  own_use_.Add(key, is_admitted ? tokens : 0, tokens, now);
  if (is_admitted) {
    return {};
  }
  limit.last_refused_at = now;
  limit.is_refusing = true;
  Micros wait = limit.bucket.RetryAfter(now);
  auto jitter = Micros(static_cast<int64_t>(static_cast<double>(wait.count()) *
                                            random_->UniformDouble()));
  return {false, std::chrono::ceil<Millis>(wait + jitter)};
}

void QuotaLimiter::Refund(const WorkspaceId& workspace, uint64_t tokens,
                          Instant now) {
  UseKey key = UseKeyOf(workspace);
  auto it = limits_.find(key);
  if (it != limits_.end()) {
    it->second.bucket.Refund(static_cast<double>(tokens), now);
    own_use_.Refund(key, tokens);
  }
}

std::vector<QuotaChange> QuotaLimiter::Sweep(Instant now) {
  UpdateGroup(now);
  std::erase_if(members_, [&](const auto& entry) {
    return now - entry.second.heard_at > kMemberRetention &&
           !entry.second.is_known;
  });
  std::vector<QuotaChange> changes;
  for (auto& [key, limit] : limits_) {
    if (limit.is_refusing && now - limit.last_refused_at > kLimitedTime) {
      limit.is_refusing = false;
    }
    if (limit.is_refusing != limit.is_reported_limited) {
      limit.is_reported_limited = limit.is_refusing;
      changes.push_back({limit.workspace, limit.is_refusing});
    }
  }
  return changes;
}

}  // namespace basilvalve::flow
