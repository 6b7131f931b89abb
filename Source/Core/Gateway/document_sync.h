// Brings documents into force: from the key-value service and from other
// instances.
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

/// Two threads: one watches the service while this instance is one of the
/// region's readers, the other passes documents on and settles differences with
/// members. Thread safe.
class DocumentSync {
 public:
  /// Pre: the pointers outlive the sync.
  DocumentSync(const NodeParts* parts, platform::KeyValueStore* store,
               PeerCaller* peer_caller);
  ~DocumentSync();

  /// Starts the threads.
  void Start();
  /// Stops the threads. Call once.
  void Stop();
  /// Puts a record in force; a new one is passed on. Thread safe.
  document::OfferResult Offer(const document::RecordPtr& record,
                              bool is_reader);
  /// Notes that a member holds other documents. Thread safe.
  void OnDocumentsDiffer(const InstanceId& member);
  /// Takes the text another instance sent and returns the records it lacks, in
  /// the same form. Fails with kDocumentInvalid. Thread safe.
  Result<std::string> ExchangeRecords(const std::string& text);
  /// Whether the last call to the service succeeded. Thread safe.
  bool StoreReachable() const { return store_reachable_.load(); }

 private:
  struct PendingPush {
    membership::MemberInfo to;
    document::RecordPtr record;
  };

  void RunReader();
  void RunPropagation();
  void WatchStoreOnce();
  void OfferEntries(const std::vector<platform::StoreEntry>& entries);
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
