// Limits the tokens that the calls of each workspace use over all instances
// together.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "Core/Common/random.h"
#include "Core/Flow/quota_bucket.h"
#include "Core/Flow/use_counters.h"

namespace basilvalve::flow {

/// An instance whose use counts against the limits.
struct QuotaMember {
  InstanceId id;
  RegionId region;
  /// Whether it reports its use itself. The dispatchers of a large region
  /// report that of the others.
  bool is_reporting = true;
  /// Usual time between two of its reports that arrive here.
  Micros report_interval{Millis(500)};
};

/// What an instance reports of the use of limited workspaces.
struct QuotaReport {
  InstanceId from;
  RegionId region;
  uint64_t incarnation = 0;
  /// Whether it is about to end, so that its silence means nothing.
  bool is_draining = false;
  /// Order of the reports of one incarnation.
  uint64_t sequence = 0;
  std::vector<UseRow> rows;
};

/// Whether a call is admitted.
struct QuotaDecision {
  bool is_admitted = true;
  /// When to try again after a refusal.
  Millis retry_after{0};
};

/// Begin or end of limiting, for the log.
struct QuotaChange {
  WorkspaceId workspace;
  bool is_limited = false;
};

/// Decides at each instance for itself; the instances tell each other their
/// use. Workspaces without a limit have no state. Not thread safe.
class QuotaLimiter {
 public:
  /// `random` must outlive the limiter.
  QuotaLimiter(InstanceId self, RegionId region, Random* random, Instant now);

  /// Sets the limits of a new desired state.
  void SetLimits(
      const std::vector<std::shared_ptr<const Workspace>>& workspaces,
      Instant now);
  /// Sets how long a silent instance is assumed to go on as before. Beyond that
  /// time it is taken to accept no calls.
  void SetSilenceTime(Micros time) { silence_time_ = time; }
  /// Sets the other instances that are known, so that those which have not been
  /// heard yet count, too. An instance that is missing goes on to count until
  /// it was silent for the silence time.
  void SetMembers(const std::vector<QuotaMember>& members, Instant now);
  /// Applies the report of another instance. With `includes_own`, the sender
  /// passes on this instance's use, too.
  void OnReport(const QuotaReport& report, bool includes_own, Instant now);
  /// Applies the report of an instance that reports to this one alone, and
  /// passes its use on as part of this instance's.
  void OnFollowerReport(const QuotaReport& report, Instant now);

  /// Decides on an own call that costs `tokens`, and charges it if admitted.
  QuotaDecision Offer(const WorkspaceId& workspace, uint64_t tokens,
                      Instant now);
  /// Takes back the charge of an admitted call that was not run.
  void Refund(const WorkspaceId& workspace, uint64_t tokens, Instant now);
  /// Whether the workspace has a limit.
  bool HasLimit(const WorkspaceId& workspace) const {
    return limits_.contains(UseKeyOf(workspace));
  }
  /// Whether any workspace has a limit.
  bool HasLimits() const { return !limits_.empty(); }
  /// This instance's use, for the others.
  std::vector<UseRow> Report(Instant now) { return own_use_.Report(now); }
  /// This instance's use, for the one that passes it on. `is_first`: whether
  /// that one gets its first report, which it takes as a baseline.
  std::vector<UseRow> FollowerReport(bool is_first, Instant now);
  /// Applies silences, and returns which workspaces began or ceased to be
  /// limited since the last call. Call it several times a second.
  std::vector<QuotaChange> Sweep(Instant now);
  /// Share of the limits that this instance's group may use: below 1 while the
  /// group cannot hear the other instances.
  double group_share() const { return group_share_; }

 private:
  struct Limit {
    WorkspaceId workspace;
    TokenQuota quota;
    QuotaBucket bucket;
    std::map<InstanceId, QuotaBucket::Peer> peers;
    Instant last_refused_at;
    bool is_refusing = false;
    bool is_reported_limited = false;
  };
  struct Member {
    RegionId region;
    bool is_reporting = true;
    bool is_known = true;
    bool is_draining = false;
    /// Whether another instance passed on its use so far, so that its next
    /// report is a baseline.
    bool awaits_baseline = false;
    Micros report_interval{0};
    /// When it last reported to this instance alone.
    std::optional<Instant> followed_at;
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    /// When its reports began; nullopt before the first one.
    std::optional<Instant> first_reported_at;
    Instant heard_at;
    UseReader reader;
  };
  struct Region {
    /// When any of its instances was heard last.
    Instant heard_at;
    /// Usual number of reports a second that arrive from it.
    double reports_per_second = 0;
  };

  bool IsSilent(const Member& member, Instant now) const;
  /// Whether it has been silent for so long that it accepts no calls.
  bool IsWrittenOff(const Member& member, Instant now) const;
  /// Whether the member's use is assumed and charged here.
  bool IsCounted(const Member& member, Instant now) const;
  double GroupShare(Instant now) const;
  void UpdateGroup(Instant now);
  /// Charges what a member used; `known_since` and `previous_at` describe its
  /// earlier reports.
  void Charge(const InstanceId& id,
              const std::map<UseKey, UseIncrease>& increases,
              Instant known_since, Instant previous_at, Instant now);
  /// Takes this instance's own use out of what another one passed on.
  void RemoveOwn(std::map<UseKey, UseIncrease>* increases);
  double BurstOf(const TokenQuota& quota) const;
  void ApplyQuota(Limit* limit, Instant now) const;

  InstanceId self_;
  RegionId region_;
  Random* random_;
  Instant started_at_;
  Micros silence_time_{Seconds(60)};
  double group_share_ = 1;
  Instant group_updated_at_;
  Instant resumed_at_;
  std::map<InstanceId, Member> members_;
  std::map<RegionId, Region> regions_;
  std::map<UseKey, Limit> limits_;
  UseCounters own_use_;
  // Own use that was given to the one that passes it on, and has not come back.
  UseReader follower_reports_;
  std::map<UseKey, UseIncrease> unreturned_use_;
};

}  // namespace basilvalve::flow
