// Deduplicates non-idempotent calls: records which calls are running, which
// have finished, and their responses.
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

/// Outcome of a finished call. The response body is stored only if it is at
/// most LedgerLimits::max_bytes_per_response long.
struct FinishedCall {
  Outcome outcome = Outcome::kUnknown;
  ResultCode code = ResultCode::kInternal;
  int http_status = 0;
  std::string content_type;
  std::string body;
  bool body_stored = false;
};

/// How the caller of Begin has to handle the call.
enum class BeginKind {
  /// First use of the id: the caller must run the call and then call Finish.
  kRun,
  /// Another request with the same id is running.
  kRunning,
  /// The call has already finished; BeginResult::finished holds its result.
  kFinished,
  /// The id was used before with a different body.
  kBodyDiffers,
  /// The ledger is at a limit; the call was not recorded and must not run.
  kFull,
};

struct BeginResult {
  BeginKind kind = BeginKind::kFull;
  std::optional<FinishedCall> finished;
};

/// Capacity limits of a CallLedger.
struct LedgerLimits {
  size_t max_calls = 100000;
  size_t max_response_bytes = 16 << 20;
  /// Longest response body that is stored. This many bytes are reserved for
  /// each running call.
  size_t max_bytes_per_response = 64 << 10;
  /// How long a finished call is remembered.
  Seconds retention{600};
};

/// Records of calls, sharded by call id, with one lock per shard. At a limit it
/// rejects new calls instead of evicting: a running call, or one that finished
/// less than `retention` ago, is always remembered. The limits are divided
/// evenly among the shards. Thread safe.
class CallLedger {
 public:
  explicit CallLedger(const LedgerLimits& limits);

  /// Registers a call, or returns the state of the earlier call with this id.
  /// Thread safe.
  BeginResult Begin(const std::string& id, uint64_t body_hash, Instant now);
  /// Records the result of a call for which Begin returned kRun. Outcome
  /// kNotRun removes the record, so that the id can be used again. Thread safe.
  /// Pre: Begin returned kRun for the id and Finish has not been called since.
  void Finish(const std::string& id, FinishedCall finished, Instant now);
  /// The recorded result; outcome kRunning while the call runs, nullopt for an
  /// unknown id. Thread safe.
  std::optional<FinishedCall> Find(const std::string& id) const;
  /// Removes calls that finished more than `retention` ago. Thread safe.
  void Expire(Instant now);
  /// Number of running and finished calls on record. Thread safe.
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
    size_t response_bytes = 0;
  };

  static constexpr size_t kShards = 16;

  Shard& ShardOf(const std::string& id);

  LedgerLimits limits_;
  std::array<Shard, kShards> shards_;
};

}  // namespace basilvalve::claims
