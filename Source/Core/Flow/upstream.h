// State of one upstream as seen by this instance: its registration, load,
// failures and prompt cache.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Core/Admission/breaker.h"
#include "Core/Flow/desired_state.h"
#include "Core/Flow/evidence.h"
#include "Core/Flow/full_pause.h"
#include "Core/Flow/queue_estimate.h"
#include "Core/Flow/service_time.h"
#include "Core/Flow/slowness.h"
#include "Core/Flow/upstream_notice.h"

namespace basilvalve::flow {

/// Hash of an upstream's id, used between instances. 32 bits make collisions
/// within a region unlikely; a collision only makes an estimate less accurate.
using UpstreamShortId = StrongNumber<struct UpstreamShortIdTag>;
/// The short id of an upstream. Thread safe.
UpstreamShortId ShortIdOf(const UpstreamId& id);

/// Registration of an upstream.
struct UpstreamRecord {
  UpstreamId id;
  ServiceName service;
  std::string host;
  uint16_t port = 0;
  DataCentreId data_centre;
  RegionId region;
  uint32_t slots = 1;
  bool is_draining = false;
  /// Remaining warm-up time when the record was written.
  Millis cold_remaining{0};
  /// Start of its process, Unix milliseconds; 0 if unknown.
  int64_t started_at_ms = 0;
  /// Rises with each record that its process writes; 0 if unknown.
  uint64_t sequence = 0;

  /// Whether the record was written before the other one, of the same id. An
  /// unknown start counts as that of the same process. Thread safe.
  bool IsEarlierThan(const UpstreamRecord& other) const;
};

/// One part of a prompt, shared between calls or specific to one.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

/// Token counts of a model call; all zero for a plain call.
struct CallSize {
  uint32_t tokens_in = 0;
  /// Maximum number of tokens to generate.
  uint32_t tokens_out = 0;
  /// The caller's estimate of the tokens to be generated; 0 if it gave none.
  uint32_t estimated_tokens_out = 0;
  /// In order. The last part belongs to this call or its session; the others
  /// may be shared between calls.
  std::vector<PromptPart> parts;

  bool IsModelCall() const { return tokens_in > 0; }
  /// Cache affinity key: hash of the parts that calls share.
  uint64_t AffinityKey() const;
};

/// Load on an upstream that originates from one or more instances.
struct LoadShare {
  uint32_t running = 0;
  /// Prompt tokens to prefill in calls that have not received their first
  /// event.
  uint64_t prefill_tokens = 0;
  /// Upper bound on the KV cache tokens that the running calls occupy at their
  /// end.
  uint64_t reserved_tokens = 0;

  void Add(const LoadShare& other);
};

/// Load that an upstream reported with its latest response.
struct ReportedLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  /// How long work takes there now, 1 is usual; nullopt if it did not say.
  std::optional<double> slowness;
  Instant at;
};

/// Recent failure rate of an upstream, decaying exponentially with time. Not
/// thread safe.
class FailureRate {
 public:
  /// Records the result of a call.
  void Record(bool has_failed, Instant now);
  /// The rate at the given time, in [0, 1].
  double At(Instant now) const;

 private:
  double rate_ = 0;
  Instant at_;
};

/// Estimate of the prompt parts in an upstream's cache, with LRU eviction.
/// Based on the prompts that the instances of the region sent. Not thread safe.
class PromptCacheView {
 public:
  /// Number of tokens in the leading parts that are presumably cached.
  uint32_t CachedPrefixTokens(const std::vector<PromptPart>& parts) const;
  /// Records that the upstream processed the parts, and evicts the least
  /// recently used beyond `memory_tokens`.
  void MarkUsed(const std::vector<PromptPart>& parts, uint64_t memory_tokens);
  /// Empties the cache, as a restart of the upstream does.
  void Clear();

 private:
  struct Entry {
    uint32_t tokens = 0;
    std::list<uint64_t>::iterator at;
  };
  // Most recently used first.
  std::list<uint64_t> recency_order_;
  std::unordered_map<uint64_t, Entry> entries_;
  uint64_t total_tokens_ = 0;
};

/// State of one upstream. Not thread safe.
struct Upstream {
  /// Weight of one plain call in the service time; it settles after two dozen.
  static constexpr double kServiceTimeWeight = 0.1;

  explicit Upstream(UpstreamRecord registered);

  UpstreamRecord record;
  /// Replaced when the upstream restarts, so that a call that was sent earlier
  /// says nothing about the new process. Never nullptr.
  UpstreamNotice::Ptr notice;
  Instant cold_until;
  /// Set when its registration was removed; no more requests are sent to it.
  bool is_removed = false;
  /// Set when the process at its address reported that it is not this upstream,
  /// for example because another one now uses the address. Cleared by a
  /// restart.
  bool is_misdirected = false;
  LoadShare own_load;
  /// Load from another instance of the region, with the time of its report.
  struct NeighbourLoad {
    LoadShare share;
    Instant at;
    bool is_accepting = true;
  };
  std::map<InstanceId, NeighbourLoad> neighbour_loads;
  /// Calls forwarded to the upstream's owner since the owner's last report.
  LoadShare forwarded_load;
  std::optional<ReportedLoad> reported;
  Slowness slowness;
  QueueEstimate queue;
  /// Time of a plain call, at the usual speed of the machine.
  ServiceTime service_time{kServiceTimeWeight};
  FullPause full_pause;
  admission::Breaker breaker;
  /// Also reflects failures between successes, which do not open the breaker.
  FailureRate failures;
  PromptCacheView cache;
  /// Time per generated token in microseconds, measured between stream events;
  /// 0 until observed.
  double time_per_token_us = 0;
  Instant time_per_token_at;
  Evidence time_per_token_evidence;
  /// When bytes were last received from it on any connection; reset when it
  /// gets a call while idle.
  Instant last_received_at;
  /// When a call was last sent to it.
  Instant last_assigned_at;

  /// Load from this instance and the others of the region, without their stale
  /// reports. A recent report from the upstream itself takes precedence where
  /// it is higher; each of its waiting calls counts as `mean_prefill_tokens`
  /// tokens to prefill.
  LoadShare TotalLoad(Instant now, double mean_prefill_tokens) const;
  /// Number of plain calls that run or wait there. If the upstream reports its
  /// slowness or refuses calls, it is estimated from its reports; else it is
  /// the total load.
  double PlainCalls(Instant now) const;
  /// Number of plain calls that may run or wait there. Calls go elsewhere
  /// before its queue is full, as the number is estimated.
  double MaxPlainCalls() const;
  /// Forgets what holds for the process only, as a restart does.
  void OnRestarted();
  bool IsCold(Instant now) const { return now < cold_until; }
  bool IsLimited() const { return notice->Limit().has_value(); }
  /// Whether the instance's latest report says that the upstream takes no
  /// calls.
  bool IsRejectedBy(const InstanceId& instance, Instant now) const;
  /// Records the report of an instance that sends to the upstream.
  void OnReport(const InstanceId& instance, const LoadShare& share,
                bool is_accepting, Instant now);
};

}  // namespace basilvalve::flow
