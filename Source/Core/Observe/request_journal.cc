#include "Core/Observe/request_journal.h"

#include <algorithm>

namespace basilvalve::observe {

RequestJournal::RequestJournal(const Clock* clock, size_t capacity)
    : clock_(clock), shard_capacity_(std::max<size_t>(1, capacity / kShards)) {}

RequestJournal::Shard& RequestJournal::ShardOf(const RequestId& request) {
  return shards_[std::hash<RequestId>()(request) % kShards];
}

void RequestJournal::Begin(const RequestId& request, std::string_view service) {
  Shard& shard = ShardOf(request);
  std::lock_guard lock(shard.mutex);
  if (shard.slots.contains(request)) {
    return;
  }
  if (shard.order.size() >= shard_capacity_) {
    shard.slots.erase(shard.order.front());
    shard.order.pop_front();
  }
  shard.order.push_back(request);
  Slot& slot = shard.slots[request];
  slot.entry.request = request;
  slot.entry.service = std::string(service);
  slot.started = clock_->Now();
}

void RequestJournal::AddStep(const RequestId& request, std::string_view filter,
                             std::string_view decision,
                             std::string_view reason) {
  Shard& shard = ShardOf(request);
  std::lock_guard lock(shard.mutex);
  auto it = shard.slots.find(request);
  if (it == shard.slots.end()) {
    return;
  }
  Micros elapsed = clock_->Now() - it->second.started;
  it->second.entry.steps.push_back({elapsed, std::string(filter),
                                    std::string(decision),
                                    std::string(reason)});
}

void RequestJournal::End(const RequestId& request, Outcome outcome,
                         ResultCode code) {
  Shard& shard = ShardOf(request);
  std::lock_guard lock(shard.mutex);
  auto it = shard.slots.find(request);
  if (it == shard.slots.end()) {
    return;
  }
  it->second.entry.outcome = outcome;
  it->second.entry.code = code;
}

std::optional<JournalEntry> RequestJournal::Find(
    const RequestId& request) const {
  auto& shard = const_cast<RequestJournal*>(this)->ShardOf(request);
  std::lock_guard lock(shard.mutex);
  auto it = shard.slots.find(request);
  if (it == shard.slots.end()) {
    return std::nullopt;
  }
  return it->second.entry;
}

}  // namespace basilvalve::observe
