#include "Core/Claims/call_ledger.h"

#include "Core/Common/hash.h"

namespace basilvalve::claims {

CallLedger::CallLedger(const LedgerLimits& limits) : limits_(limits) {}

CallLedger::Shard& CallLedger::ShardOf(const std::string& id) {
  return shards_[Hash64(id) % kShards];
}

BeginResult CallLedger::Begin(const std::string& id, uint64_t body_hash,
                              Instant /*now*/) {
  Shard& shard = ShardOf(id);
  std::lock_guard lock(shard.mutex);
  auto it = shard.records.find(id);
  if (it != shard.records.end()) {
    const Record& record = it->second;
    if (record.body_hash != body_hash) {
      return {BeginKind::kBodyDiffers, std::nullopt};
    }
    if (record.running) {
      return {BeginKind::kRunning, std::nullopt};
    }
    return {BeginKind::kFinished, record.finished};
  }
  bool at_capacity = shard.records.size() >= limits_.max_calls / kShards ||
                     shard.response_bytes + limits_.max_bytes_per_response >
                         limits_.max_response_bytes / kShards;
  if (at_capacity) {
    return {BeginKind::kFull, std::nullopt};
  }
  // Reserves space for the response before the call runs: the result of a call
  // that has run must be recorded, so a full ledger has to reject it up front.
  shard.response_bytes += limits_.max_bytes_per_response;
  shard.records[id].body_hash = body_hash;
  return {BeginKind::kRun, std::nullopt};
}

void CallLedger::Finish(const std::string& id, FinishedCall finished,
                        Instant now) {
  Shard& shard = ShardOf(id);
  std::lock_guard lock(shard.mutex);
  auto it = shard.records.find(id);
  if (it == shard.records.end() || !it->second.running) {
    return;
  }
  shard.response_bytes -= limits_.max_bytes_per_response;
  if (finished.outcome == Outcome::kNotRun) {
    shard.records.erase(it);
    return;
  }
  finished.body_stored = finished.body.size() <= limits_.max_bytes_per_response;
  if (!finished.body_stored) {
    finished.body.clear();
  }
  shard.response_bytes += finished.body.size();
  it->second.running = false;
  it->second.finished = std::move(finished);
  it->second.ended = now;
}

std::optional<FinishedCall> CallLedger::Find(const std::string& id) const {
  Shard& shard = const_cast<CallLedger*>(this)->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  auto it = shard.records.find(id);
  if (it == shard.records.end()) {
    return std::nullopt;
  }
  if (it->second.running) {
    FinishedCall running;
    running.outcome = Outcome::kRunning;
    running.code = ResultCode::kStillRunning;
    return running;
  }
  return it->second.finished;
}

void CallLedger::Expire(Instant now) {
  for (Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex);
    for (auto it = shard.records.begin(); it != shard.records.end();) {
      bool expired =
          !it->second.running && now - it->second.ended > limits_.retention;
      if (expired) {
        shard.response_bytes -= it->second.finished.body.size();
      }
      it = expired ? shard.records.erase(it) : std::next(it);
    }
  }
}

size_t CallLedger::Size() const {
  size_t n = 0;
  for (const Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex);
    n += shard.records.size();
  }
  return n;
}

}  // namespace basilvalve::claims
