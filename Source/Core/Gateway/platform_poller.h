// Polls the platform's instance list and the load of the upstreams, and
// publishes the region's entries.
#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "Core/Gateway/cluster.h"
#include "Core/Gateway/entry_advisor.h"
#include "Core/Gateway/node_parts.h"
#include "Core/Platform/client_directory.h"
#include "Core/Platform/instance_list.h"
#include "Core/Routing/upstream_subset.h"

namespace basilvalve::gateway {

/// Runs two threads: one reads the instance list and updates the client
/// directory, the other reads load reports and cache events. Thread safe.
class PlatformPoller {
 public:
  /// `directory` may be null. Pre: the pointers outlive the poller.
  PlatformPoller(const NodeParts* parts, Cluster* cluster,
                 platform::InstanceList* instance_list,
                 platform::ClientDirectory* directory,
                 const EntryAdvisor* advisor);
  ~PlatformPoller();

  /// Reads the instance list once and starts the threads. Call once; blocks.
  void Start();
  /// Stops and joins the threads.
  void Stop();
  /// Writes the region's entries to the client directory, even if this instance
  /// is not one of its writers. Does nothing without a directory. Thread safe;
  /// blocks.
  void PublishEntries();

 private:
  void RunLists();
  void RunLoads();
  void ReadLists();
  void ReadLoad(const platform::ListedInstance& upstream);
  void ReadCacheEvents(const platform::ListedInstance& upstream,
                       uint32_t handle);
  void PublishIfChanged();
  bool Wait(Millis time);

  const NodeParts* parts_;
  Cluster* cluster_;
  platform::InstanceList* instance_list_;
  platform::ClientDirectory* directory_;
  const EntryAdvisor* advisor_;
  routing::SubsetSettings subset_settings_;

  // Used by the list thread only.
  std::string last_seen_entries_;
  uint64_t list_rounds_ = 0;

  // Used by the load thread only: sequence number of the next cache event, by
  // upstream.
  std::map<std::string, uint64_t> next_cache_event_;

  std::mutex mutex_;
  std::condition_variable wakeup_;
  // Guarded by mutex_.
  bool stopping_ = false;
  std::vector<platform::ListedInstance> upstreams_;

  std::thread list_thread_;
  std::thread load_thread_;
};

}  // namespace basilvalve::gateway
