// Memory of non-idempotent calls: which run, which ended, and with what answer.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "Core/Common/clock.h"
#include "Core/Common/result.h"

namespace basilvalve::claims {

/// How a call ended, with the answer if it was small enough to keep.
struct FinishedCall {
  Outcome outcome = Outcome::kUnknown;
  ResultCode code = ResultCode::kInternal;
  int http_status = 0;
  std::string content_type;
  std::string body;
  bool body_kept = false;
};

/// What a call with this id must do.
enum class BeginKind {
  /// First use: the caller of Begin must run it and then call Finish.
  kRun,
  /// Another request with the id runs now.
  kRunning,
  /// It ended before; the result is given.
  kFinished,
  /// The id was used with another body.
  kBodyDiffers,
  /// No memory left to remember another call; nothing was recorded.
  kFull,
};

struct BeginResult {
  BeginKind kind = BeginKind::kFull;
  std::optional<FinishedCall> finished;
};

/// Bounds on what a ledger keeps.
struct LedgerLimits {
  size_t max_calls = 100000;
  size_t max_answer_bytes = 16 << 20;
  /// Longest answer that is kept; reserved while a call runs.
  size_t answer_bytes_each = 64 << 10;
  /// How long an ended call is remembered.
  Seconds retention{600};
};

/// Sharded by call id, each shard under its own lock. At a bound it refuses new
/// calls; it never forgets a call that runs or that ended less than `keep` ago.
/// Thread safe.
class CallLedger {
 public:
  explicit CallLedger(const LedgerLimits& limits);

  /// Starts or recalls a call. Thread safe.
  BeginResult Begin(const std::string& id, uint64_t body_hash, Instant now);
  /// Ends a call that Begin told to run. With outcome kNotRun the id becomes
  /// unused again. Thread safe. Pre: Begin returned kRun for the id and Finish
  /// was not called.
  void Finish(const std::string& id, FinishedCall finished, Instant now);
  /// What is remembered of a call; kRunning for a running one. Thread safe.
  std::optional<FinishedCall> Find(const std::string& id) const;
  /// Drops calls that ended more than `keep` ago. Thread safe.
  void Expire(Instant now);
  /// Number of calls remembered. Thread safe.
  size_t Size() const;

 private:
  struct Record {
    uint64_t body_hash = 0;
    bool running = true;
    FinishedCall finished;
    Instant ended;
  };
  struct Shard {
    mutable std::mutex mutex;
    // Guarded by mutex.
    std::map<std::string, Record> records;
    size_t answer_bytes = 0;
  };

  static constexpr size_t kShards = 16;

  Shard& ShardOf(const std::string& id);

  LedgerLimits limits_;
  std::array<Shard, kShards> shards_;
};

}  // namespace basilvalve::claims
