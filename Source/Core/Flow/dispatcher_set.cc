#include "Core/Flow/dispatcher_set.h"

#include <algorithm>

#include "Core/Common/hash.h"

namespace basilvalve::flow {
namespace {

// Up to this many instances, each of them hears the heartbeats of all others
// several times a second at little cost.
constexpr size_t kMaxDirectInstances = 32;
// Instances of a large region for each dispatcher. Fewer dispatchers know more
// of the load; more of them share the work of passing calls on.
constexpr size_t kInstancesPerDispatcher = 6;

// Instances of a region that each read the platform's catalog. In a larger
// region, readers pass the changes on.
constexpr size_t kMaxReadingInstances = 8;
// The second one covers the time until the failure of the first is noticed.
constexpr size_t kCatalogReaders = 2;

// By this time after its start, an instance has read the registrations of those
// that started with it and heard their heartbeats.
constexpr Millis kOwnershipDelay{2000};

uint64_t Score(const InstanceId& instance, uint64_t seed) {
  return Hash64(instance.value(), seed);
}

// Moves the `n` instances with the highest scores to the front.
void SortByScore(size_t n, std::vector<InstanceRecord>* instances) {
  std::partial_sort(instances->begin(),
                    instances->begin() + static_cast<std::ptrdiff_t>(n),
                    instances->end(), [](const auto& left, const auto& right) {
                      return Score(left.id, 0) > Score(right.id, 0);
                    });
}

}  // namespace

std::vector<InstanceRecord> DispatcherSet::Select(
    std::vector<InstanceRecord> members) {
  if (members.size() <= kMaxDirectInstances) {
    return members;
  }
  size_t n = members.size() / kInstancesPerDispatcher;
  SortByScore(n, &members);
  members.resize(n);
  return members;
}

void DispatcherSet::SetMembers(std::vector<InstanceRecord> members) {
  is_exclusive_ = members.size() > kMaxDirectInstances;
  std::vector<InstanceRecord> selected = Select(std::move(members));
  if (selected != dispatchers_) {
    dispatchers_ = std::move(selected);
    owner_index_.clear();
  }
  has_catalog_readers_ = dispatchers_.size() > kMaxReadingInstances;
  catalog_readers_.clear();
  if (has_catalog_readers_) {
    std::vector<InstanceRecord> order = dispatchers_;
    SortByScore(kCatalogReaders, &order);
    for (size_t i = 0; i < kCatalogReaders; ++i) {
      catalog_readers_.push_back(order[i].id);
    }
  }
}

bool DispatcherSet::IsCatalogReader() const {
  return !has_catalog_readers_ ||
         std::find(catalog_readers_.begin(), catalog_readers_.end(), self_) !=
             catalog_readers_.end();
}

bool DispatcherSet::IsMember() const {
  return std::any_of(
      dispatchers_.begin(), dispatchers_.end(),
      [&](const InstanceRecord& record) { return record.id == self_; });
}

const InstanceRecord* DispatcherSet::OwnerOf(
    const UpstreamRecord& upstream) const {
  if (dispatchers_.empty()) {
    return nullptr;
  }
  auto [it, is_new] = owner_index_.try_emplace(upstream.id, 0);
  if (is_new) {
    uint64_t seed = Hash64(upstream.id.value());
    // In a large region, a dispatcher in the upstream's own data centre saves
    // traffic between data centres.
    auto rank = [&](const InstanceRecord& record) {
      bool is_near =
          is_exclusive_ && record.data_centre == upstream.data_centre;
      return std::pair(is_near, Score(record.id, seed));
    };
    auto best = std::max_element(dispatchers_.begin(), dispatchers_.end(),
                                 [&](const auto& left, const auto& right) {
                                   return rank(left) < rank(right);
                                 });
    it->second = static_cast<size_t>(best - dispatchers_.begin());
  }
  return &dispatchers_[it->second];
}

bool DispatcherSet::Owns(const UpstreamRecord& upstream) const {
  const InstanceRecord* owner = OwnerOf(upstream);
  return owner != nullptr && owner->id == self_;
}

bool DispatcherSet::MaySendLimited(const UpstreamRecord& upstream,
                                   Instant now) const {
  return now - started_at_ >= kOwnershipDelay && Owns(upstream);
}

}  // namespace basilvalve::flow
