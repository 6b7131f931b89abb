// The instances of a region that send model calls to its upstreams.
#pragma once

#include <map>
#include <vector>

#include "Core/Flow/fleet_view.h"

namespace basilvalve::flow {

/// Selects the senders of a region. In a small region every instance sends to
/// every upstream. In a large one that would leave each of them with a small
/// part of the load information, so a few dispatchers send, and each upstream
/// has one of them as its owner, which knows its load, its warm-up rate and its
/// prompt cache exactly. The other instances forward calls to the owner. All
/// instances with the same members compute the same result. Not thread safe.
class DispatcherSet {
 public:
  /// `started_at`: when this instance started.
  DispatcherSet(const InstanceRecord& self, Instant started_at)
      : self_(self.id), started_at_(started_at) {}

  /// The dispatchers that a region with these available instances has; all of
  /// them if it is small. Thread safe.
  static std::vector<InstanceRecord> Select(
      std::vector<InstanceRecord> members);

  /// Sets the available instances of the region, including this one unless it
  /// is draining.
  void SetMembers(std::vector<InstanceRecord> members);
  /// Whether only the owner of an upstream sends model calls to it.
  bool is_exclusive() const { return is_exclusive_; }
  /// Whether this instance is a dispatcher.
  bool IsMember() const;
  /// Whether this instance reads the platform's catalog and passes changes on;
  /// in a small region, every instance reads it.
  bool IsCatalogReader() const;
  /// Whether the other instances of the region rely on its catalog readers.
  bool has_catalog_readers() const { return has_catalog_readers_; }
  const std::vector<InstanceRecord>& dispatchers() const {
    return dispatchers_;
  }
  /// The owner of an upstream: a dispatcher of its data centre if there is one.
  /// nullptr if there are no dispatchers. Valid until the next SetMembers.
  const InstanceRecord* OwnerOf(const UpstreamRecord& upstream) const;
  /// Whether this instance owns the upstream.
  bool Owns(const UpstreamRecord& upstream) const;
  /// Whether this instance may send to the upstream while that is cold or
  /// limited. An instance that started a moment ago may not: when many start
  /// together, each of them first knows only itself.
  bool MaySendLimited(const UpstreamRecord& upstream, Instant now) const;

 private:
  InstanceId self_;
  Instant started_at_;
  std::vector<InstanceRecord> dispatchers_;
  // Indexes into `dispatchers_`, filled on demand.
  mutable std::map<UpstreamId, size_t> owner_index_;
  // Dispatchers that read the platform's catalog.
  std::vector<InstanceId> catalog_readers_;
  bool is_exclusive_ = false;
  bool has_catalog_readers_ = false;
};

}  // namespace basilvalve::flow
