// What each filter decided about recent requests, for `basilvalvectl explain`.
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

/// One decision.
struct JournalStep {
  /// Time since the request arrived here.
  Micros elapsed{0};
  std::string filter;
  std::string decision;
  std::string reason;
};

/// All that this instance recorded of one request.
struct JournalEntry {
  RequestId request;
  std::string service;
  std::vector<JournalStep> steps;
  std::optional<Outcome> outcome;
  ResultCode code = ResultCode::kOk;
};

/// Keeps the newest requests, sharded by id, each shard under its own lock.
/// Thread safe.
class RequestJournal {
 public:
  /// Pre: capacity > 0. The clock outlives the journal.
  RequestJournal(const Clock* clock, size_t capacity);

  /// Starts a record; the oldest of the shard is dropped when it is full.
  /// Thread safe.
  void Begin(const RequestId& request, std::string_view service);
  /// Adds a decision; ignored if the record was dropped. Thread safe.
  void AddStep(const RequestId& request, std::string_view filter,
               std::string_view decision, std::string_view reason);
  /// Sets what became of the request. Thread safe.
  void End(const RequestId& request, Outcome outcome, ResultCode code);
  /// The record, nullopt if unknown or dropped. Thread safe.
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
