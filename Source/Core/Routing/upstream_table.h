// State of the upstreams that this instance uses.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Core/Admission/breaker.h"
#include "Core/Admission/concurrency_limit.h"
#include "Core/Common/clock.h"
#include "Core/Platform/instance_list.h"
#include "Core/Routing/candidate.h"

namespace basilvalve::routing {

/// Load report of an upstream. The defaults are assumed until its first report.
struct LoadReport {
  /// These five fields have the same meaning as in Candidate.
  double running = 0;
  double queued = 0;
  double backlog_tokens = 0;
  double slots = 16;
  double prefill_rate = 4000;
  /// Age of the measurements when the report was sent.
  Millis lag{0};
  bool draining = false;
};

/// Address and identity of a chosen upstream.
struct UpstreamTarget {
  uint32_t handle = 0;
  UpstreamId id;
  http::Endpoint endpoint;
};

/// How long an upstream that announced its shutdown gets no new calls, even if
/// the delayed instance list still shows it as live.
inline constexpr Millis kMinLeavingTime{30000};

/// Effect of a call's result on the recorded health of the upstream.
enum class UpstreamCallResult {
  kSuccess,
  kFailed,
  /// Does not reflect the upstream's health, e.g. the caller cancelled.
  kNeutral,
  /// The upstream is draining and accepts no new calls.
  kDraining,
};

/// One upstream in a status listing.
struct UpstreamStatus {
  UpstreamId id;
  bool leaving = false;
  admission::BreakerState breaker = admission::BreakerState::kClosed;
  int64_t in_flight = 0;
  double limit = 0;
  double slowness = 1;
  Micros report_age{0};
};

/// Load reports, circuit breaker, concurrency limit and own calls of every
/// upstream. Sharded by handle, with one lock per shard. Thread safe.
class UpstreamTable {
 public:
  UpstreamTable(const admission::BreakerSettings& breaker,
                const admission::ConcurrencySettings& concurrency);

  /// Applies the platform's instance list: adds new upstreams, updates known
  /// ones and stops new calls to those no longer listed. Thread safe.
  void Refresh(const std::vector<platform::ListedInstance>& listed);
  /// Applies a load report; ignored for an unknown upstream. Thread safe.
  void OnReport(const UpstreamId& id, const LoadReport& report, Instant now);
  /// Marks an upstream as leaving for at least `hold`, even if the instance
  /// list shows it as live. Returns whether it is known and was not already
  /// marked. Thread safe.
  bool MarkLeaving(const UpstreamId& id, Instant now, Millis hold);
  /// Upstreams that accept calls to a model. Those in `excluded` are returned
  /// only if there are no others. Thread safe.
  std::vector<Candidate> ModelCandidates(const ModelName& model,
                                         const std::vector<uint32_t>& excluded,
                                         Instant now) const;
  /// The same for a service other than a model. Thread safe.
  std::vector<Candidate> ServiceCandidates(
      const ServiceName& service, const std::vector<uint32_t>& excluded,
      Instant now) const;
  /// Starts a call; nullopt if the upstream no longer accepts calls. Thread
  /// safe.
  std::optional<UpstreamTarget> Start(uint32_t handle, double uncached_tokens,
                                      Instant now);
  /// Records the predicted and observed time to first token of a call;
  /// `uncached_tokens` as passed to Start. Thread safe. Pre: Start succeeded
  /// for the call.
  void OnFirstToken(uint32_t handle, double uncached_tokens, Micros predicted,
                    Micros observed, bool met_target, Instant now);
  /// Ends a call. `pending_tokens` is the `uncached_tokens` passed to Start if
  /// OnFirstToken was not called, else 0. Thread safe. Pre: Start succeeded for
  /// the call.
  void End(uint32_t handle, double pending_tokens, UpstreamCallResult result,
           Micros duration, Instant now);
  /// The upstreams in the current instance list. Thread safe.
  std::vector<platform::ListedInstance> Listed() const;
  /// Handle of an upstream; nullopt if it was never listed. Thread safe.
  std::optional<uint32_t> HandleOf(const UpstreamId& id) const;
  /// State of all known upstreams, also those no longer listed. Thread safe.
  std::vector<UpstreamStatus> Status(Instant now) const;

 private:
  struct SentCall {
    Instant at;
    double tokens = 0;
  };

  struct Entry {
    Entry(const admission::BreakerSettings& breaker_settings,
          const admission::ConcurrencySettings& limit_settings)
        : breaker(breaker_settings), limit(limit_settings) {}

    platform::ListedInstance listed;
    LoadReport report;
    Instant report_taken_at;
    bool in_list = true;
    Instant leaving_until;
    admission::Breaker breaker;
    admission::ConcurrencyLimit limit;
    int64_t in_flight = 0;
    /// Calls sent since the last report was taken, oldest first.
    std::deque<SentCall> sent_since_report;
    double pending_tokens = 0;
    double slowness = 1;
    Micros mean_service_time{0};
  };
  struct Shard {
    mutable std::mutex mutex;
    // Guarded by mutex.
    std::map<uint32_t, Entry> entries;
  };

  static constexpr size_t kShards = 8;

  using Filter = bool (*)(const Entry&, const std::string&);

  Shard& ShardOf(uint32_t handle) { return shards_[handle % kShards]; }
  std::vector<Candidate> Candidates(Filter filter, const std::string& wanted,
                                    const std::vector<uint32_t>& excluded,
                                    Instant now) const;
  static bool ServesModel(const Entry& entry, const std::string& model);
  static bool ServesService(const Entry& entry, const std::string& service);
  static bool AcceptsCalls(const Entry& entry, Instant now);
  static Candidate MakeCandidate(uint32_t handle, const Entry& entry,
                                 Instant now);

  admission::BreakerSettings breaker_;
  admission::ConcurrencySettings concurrency_;
  std::array<Shard, kShards> shards_;
  mutable std::mutex handles_mutex_;
  // Guarded by handles_mutex_.
  std::map<UpstreamId, uint32_t> handles_;
  uint32_t next_handle_ = 0;
};

}  // namespace basilvalve::routing
