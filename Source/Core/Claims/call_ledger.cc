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
  bool full = shard.records.size() >= limits_.max_calls / kShards ||
              shard.answer_bytes + limits_.answer_bytes_each >
                  limits_.max_answer_bytes / kShards;
  if (full) {
    return {BeginKind::kFull, std::nullopt};
  }
  // Room for the answer is taken now: a call that has run must be remembered,
  // so the refusal has to come before it runs.
  shard.answer_bytes += limits_.answer_bytes_each;
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
  shard.answer_bytes -= limits_.answer_bytes_each;
  if (finished.outcome == Outcome::kNotRun) {
    shard.records.erase(it);
    return;
  }
  finished.body_kept = finished.body.size() <= limits_.answer_bytes_each;
  if (!finished.body_kept) {
    finished.body.clear();
  }
  shard.answer_bytes += finished.body.size();
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
      bool old =
          !it->second.running && now - it->second.ended > limits_.retention;
      if (old) {
        shard.answer_bytes -= it->second.finished.body.size();
      }
      it = old ? shard.records.erase(it) : std::next(it);
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
