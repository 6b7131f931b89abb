// Synchronises the document catalog with the key-value store and with the other
// instances of the region.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Core/Document/document_record.h"
#include "Core/Gateway/node_parts.h"
#include "Core/Gateway/peer_caller.h"
#include "Core/Platform/key_value_store.h"

namespace basilvalve::gateway {

/// Runs two threads. The reader thread watches the store while this instance is
/// one of the region's store readers; the propagation thread sends new
/// documents to other members and reconciles with members whose documents
/// differ. Thread safe.
class DocumentSync {
 public:
  /// Pre: the pointers outlive the object.
  DocumentSync(const NodeParts* parts, platform::KeyValueStore* store,
               PeerCaller* peer_caller);
  ~DocumentSync();

  /// Starts the threads. Call once.
  void Start();
  /// Stops and joins the threads; blocks until a running store watch or peer
  /// request has ended.
  void Stop();
  /// Activates a record if its version is new, and then queues it for other
  /// members. `from_store` is true if the record comes from the store rather
  /// than from a member. Thread safe.
  document::ApplyResult ApplyIfNewer(const document::RecordPtr& record,
                                     bool from_store);
  /// Queues a reconciliation with a member whose document hash differs. Thread
  /// safe.
  void OnDocumentsDiffer(const InstanceId& member);
  /// Applies the records in another instance's JSON message and returns, as the
  /// same kind of message, the records that its digest lacks. Fails with
  /// kDocumentInvalid. Thread safe.
  Result<std::string> ExchangeRecords(const std::string& text);
  /// Whether the last watch of the store succeeded. Thread safe.
  bool StoreReachable() const { return store_reachable_.load(); }

 private:
  struct PendingPush {
    membership::MemberInfo to;
    document::RecordPtr record;
  };

  void RunReader();
  void RunPropagation();
  void WatchStoreOnce();
  void ApplyEntries(const std::vector<platform::StoreEntry>& entries);
  void RepairStore();
  bool IsReader() const;
  void SendPush(const PendingPush& push);
  void Reconcile(const InstanceId& member);
  void WaitForStop(Millis time);

  const NodeParts* parts_;
  platform::KeyValueStore* store_;
  PeerCaller* peer_caller_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> store_reachable_{true};
  std::atomic<int64_t> last_applied_us_{0};

  // Used by the reader thread only.
  StoreIndex watch_index_;
  bool initial_read_done_ = false;
  Instant next_repair_;
  uint64_t consecutive_failures_ = 0;

  std::mutex mutex_;
  std::condition_variable wakeup_;
  // Guarded by mutex_.
  std::deque<PendingPush> pushes_;
  std::deque<InstanceId> differing_members_;

  std::thread reader_thread_;
  std::thread propagation_thread_;
};

}  // namespace basilvalve::gateway
