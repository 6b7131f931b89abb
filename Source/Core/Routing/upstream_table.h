// Live state of the upstreams that this instance uses.
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

/// A load report as an upstream gave it. The defaults stand for an upstream
/// that has not reported yet.
struct LoadReport {
  double running = 0;
  double queued = 0;
  double backlog_tokens = 0;
  double slots = 16;
  double prefill_rate = 4000;
  /// How old the figures were when they were sent.
  Millis lag{0};
  bool draining = false;
};

/// What is needed to call a chosen upstream.
struct UpstreamTarget {
  uint32_t handle = 0;
  UpstreamId id;
  http::Endpoint endpoint;
};

/// A leaving upstream is left alone this long, whatever the lagging list says
/// of it.
inline constexpr Millis kMinLeavingTime{30000};

/// How a call to an upstream went, from the upstream's point of view.
enum class UpstreamCallResult {
  kSuccess,
  kFailed,
  /// It says nothing about the upstream: cancelled, or refused by the contract.
  kNeutral,
  /// The upstream said that it takes no new work.
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

/// Sharded by handle, each shard under its own lock. Thread safe.
class UpstreamTable {
 public:
  UpstreamTable(const admission::BreakerSettings& breaker,
                const admission::ConcurrencySettings& concurrency);

  /// Takes the platform's list: new upstreams are added, listed states taken
  /// over, and those no longer listed take no new work. Thread safe.
  void Refresh(const std::vector<platform::ListedInstance>& listed);
  /// Takes a load report. Thread safe.
  void OnReport(const UpstreamId& id, const LoadReport& report, Instant now);
  /// Marks an upstream as leaving, whatever the list says; the list takes it
  /// back only after `hold`. Returns whether it was news. Thread safe.
  bool MarkLeaving(const UpstreamId& id, Instant now, Millis hold);
  /// Candidates for a model call. Upstreams in `except` are left out unless no
  /// other is there. Thread safe.
  std::vector<Candidate> ModelCandidates(const ModelName& model,
                                         const std::vector<uint32_t>& except,
                                         Instant now) const;
  /// Candidates for a plain service. Thread safe.
  std::vector<Candidate> ServiceCandidates(const ServiceName& service,
                                           const std::vector<uint32_t>& except,
                                           Instant now) const;
  /// Starts a call; nullopt if the upstream stopped taking work meanwhile.
  /// Thread safe.
  std::optional<UpstreamTarget> Start(uint32_t handle, double uncached_tokens,
                                      Instant now);
  /// Tells when the first token came and what had been predicted;
  /// `uncached_tokens` as given to Start. Thread safe.
  void OnFirstToken(uint32_t handle, double uncached_tokens, Micros predicted,
                    Micros observed, bool met_target, Instant now);
  /// Ends a call that Start began; `pending_tokens` as given to Start if no
  /// first token was told, else 0. Thread safe. Pre: Start succeeded for the
  /// call.
  void End(uint32_t handle, double pending_tokens, UpstreamCallResult verdict,
           Micros duration, Instant now);
  /// All upstreams. Thread safe.
  std::vector<platform::ListedInstance> Listed() const;
  /// Handle of an upstream. Thread safe.
  std::optional<uint32_t> HandleOf(const UpstreamId& id) const;
  /// State of all upstreams. Thread safe.
  std::vector<UpstreamStatus> Status(Instant now) const;

 private:
  struct Sent {
    Instant at;
    double tokens = 0;
  };

  struct Entry {
    Entry(const admission::BreakerSettings& breaker_settings,
          const admission::ConcurrencySettings& limit_settings)
        : breaker(breaker_settings), limit(limit_settings) {}

    platform::ListedInstance listed;
    LoadReport report;
    Instant report_taken;
    bool listed_now = true;
    Instant leaving_until;
    admission::Breaker breaker;
    admission::ConcurrencyLimit limit;
    int64_t in_flight = 0;
    /// Calls sent after the last report was taken, oldest first.
    std::deque<Sent> sent;
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
                                    const std::vector<uint32_t>& except,
                                    Instant now) const;
  static bool ServesModel(const Entry& entry, const std::string& model);
  static bool ServesService(const Entry& entry, const std::string& service);
  static bool TakesWork(const Entry& entry, Instant now);
  static Candidate CandidateOf(uint32_t handle, const Entry& entry,
                               Instant now);

  admission::BreakerSettings breaker_;
  admission::ConcurrencySettings concurrency_;
  std::array<Shard, kShards> shards_;
  mutable std::mutex names_mutex_;
  // Guarded by names_mutex_.
  std::map<UpstreamId, uint32_t> handles_;
  uint32_t next_handle_ = 0;
};

}  // namespace basilvalve::routing
