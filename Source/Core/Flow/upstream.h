// One upstream as this instance knows it: what it registered, what it was
// given, and how it did.
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

namespace basilvalve::flow {

/// Short form of an upstream's id between instances; 32 bits keep a region's
/// upstreams apart, and a clash only blurs an estimate.
using UpstreamShortId = StrongNumber<struct UpstreamTag32Tag>;
/// Thread safe.
UpstreamShortId ShortIdOf(const UpstreamId& id);

/// What an upstream registered about itself.
struct UpstreamRecord {
  UpstreamId id;
  ServiceName service;
  std::string host;
  uint16_t port = 0;
  DataCentreId data_centre;
  RegionId region;
  uint32_t slots = 1;
  bool is_draining = false;
  /// How much longer it stays cold, as of when the record was written.
  Millis cold_remaining{0};
  /// Start of its process, Unix milliseconds; 0 if it did not say.
  int64_t started_at_ms = 0;
};

/// One shared or own piece of a prompt.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

/// The size of a model call; all zero for a plain call.
struct CallSize {
  uint32_t tokens_in = 0;
  /// The most that it may generate.
  uint32_t tokens_out = 0;
  /// The caller's estimate of what it will generate; 0 if it gave none.
  uint32_t hinted_out = 0;
  /// In order; the last belongs to this call or its session alone.
  std::vector<PromptPart> parts;

  bool IsModelCall() const { return tokens_in > 0; }
  /// Hash of the pieces that calls share: who runs it should have read them.
  uint64_t AffinityKey() const;
};

/// Work that is at an upstream, by this instance or by a neighbour.
struct LoadShare {
  uint32_t running = 0;
  /// Prompt tokens sent and not yet answered by a first event.
  uint64_t prefill_tokens = 0;
  /// Tokens that the running calls hold, or will at their end.
  uint64_t reserved_tokens = 0;

  void Add(const LoadShare& other);
};

/// What an upstream last said of itself with an answer.
struct ReportedLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  Instant at;
};

/// Share of an upstream's calls that failed of late; what was seen long ago
/// counts less. Not thread safe.
class FailureShare {
 public:
  /// A call ended there.
  void Record(bool has_failed, Instant now);
  /// In [0, 1].
  double At(Instant now) const;

 private:
  double share_ = 0;
  Instant at_;
};

/// Which prompt pieces an upstream keeps, least recently used first out. An
/// estimate from what this instance sent. Not thread safe.
class PromptCacheView {
 public:
  /// Tokens of the leading pieces that are thought to be kept.
  uint32_t KeptTokens(const std::vector<PromptPart>& parts) const;
  /// The pieces were read there.
  void Touch(const std::vector<PromptPart>& parts, uint64_t memory_tokens);
  /// A restart forgets all.
  void Clear();

 private:
  struct Kept {
    uint32_t tokens = 0;
    std::list<uint64_t>::iterator at;
  };
  // Front: used last.
  std::list<uint64_t> order_;
  std::unordered_map<uint64_t, Kept> kept_;
  uint64_t total_ = 0;
};

/// Everything known of one upstream. Not thread safe.
struct Upstream {
  explicit Upstream(UpstreamRecord registered);

  UpstreamRecord record;
  Instant cold_until;
  /// Set when its registration is gone: nothing more is sent.
  bool is_gone = false;
  /// Set when it told that it is another one, or left its place.
  bool is_misdirected = false;
  LoadShare own_load;
  /// Shares of other instances, with the time they were told.
  struct Told {
    LoadShare share;
    Instant at;
  };
  std::map<InstanceId, Told> neighbour_loads;
  std::optional<ReportedLoad> reported;
  admission::Breaker breaker;
  /// Failures between successes, which do not open the breaker.
  FailureShare failures;
  PromptCacheView cache;
  /// Time for one generated token, from the pauses between events; 0 until
  /// seen. Microseconds.
  double time_per_token_us = 0;
  Instant pace_at;
  /// Time of the last bytes from it on any connection.
  Instant last_received_at;
  /// When it was last given something.
  Instant last_assigned_at;

  /// Own and neighbours' work; what a neighbour told long ago does not count.
  /// A fresh report of more calls, waiting ones with `mean_unread` tokens each,
  /// goes before.
  LoadShare TotalLoad(Instant now, double mean_unread) const;
  bool IsCold(Instant now) const { return now < cold_until; }
};

}  // namespace basilvalve::flow
