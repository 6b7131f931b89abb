// In-memory record of the decisions taken on recent requests, shown by
// `basilvalvectl explain`.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/result_code.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::observe {

/// One decision on a request.
struct JournalStep {
  /// Time since the record of the request was started.
  Micros elapsed{0};
  std::string filter;
  std::string decision;
  std::string reason;
};

/// The decisions and result of one request on this instance.
struct JournalEntry {
  RequestId request;
  std::string service;
  std::vector<JournalStep> steps;
  std::optional<Outcome> outcome;
  ResultCode code = ResultCode::kOk;
};

/// Bounded store of the most recent requests, sharded by request id with one
/// lock per shard. Thread safe.
class RequestJournal {
 public:
  /// `capacity` is the number of requests kept; it is divided evenly among the
  /// shards, each of which keeps at least one. Pre: capacity > 0; the clock
  /// outlives the journal.
  RequestJournal(const Clock* clock, size_t capacity);

  /// Starts the record of a request; no effect if there is one already. A full
  /// shard evicts its oldest record. Thread safe.
  void Begin(const RequestId& request, std::string_view service);
  /// Appends a decision; ignored if the request is unknown or its record was
  /// evicted. Thread safe.
  void AddStep(const RequestId& request, std::string_view filter,
               std::string_view decision, std::string_view reason);
  /// Sets the outcome and result code; ignored if the request is unknown or its
  /// record was evicted. Thread safe.
  void End(const RequestId& request, Outcome outcome, ResultCode code);
  /// A copy of the record; nullopt if the request is unknown or its record was
  /// evicted. Thread safe.
  std::optional<JournalEntry> Find(const RequestId& request) const;

 private:
  struct Slot {
    JournalEntry entry;
    Instant started;
  };
  struct Shard {
    mutable std::mutex mutex;
    // Guarded by mutex.
    std::unordered_map<RequestId, Slot> slots;
    std::deque<RequestId> order;
  };

  static constexpr size_t kShards = 8;

  Shard& ShardOf(const RequestId& request);

  const Clock* clock_;
  size_t shard_capacity_;
  std::array<Shard, kShards> shards_;
};

}  // namespace basilvalve::observe
