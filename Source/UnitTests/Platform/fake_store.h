// In-memory store for tests, with pages, watches, leases and failure modes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "UnitTests/Core/Net/test_server.h"

namespace basilvalve::platform_adapter {

/// Serves the platform's store API over HTTP on loopback. Not thread safe.
class FakeStore {
 public:
  explicit FakeStore(net::EventLoop* loop);

  net::Endpoint endpoint() const { return server_.endpoint(); }
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Drops the history of changes; watches from an earlier revision get status
  /// 410.
  void Compact();
  /// Keeps a copy of everything.
  void TakeCopy();
  /// Comes back from the copy: what was written since is gone, revisions and
  /// leases are given out again, and watches end. Pre: TakeCopy was called.
  void RestoreCopy();
  /// Ends all leases and removes their keys.
  void RevokeLeases();
  const std::map<std::string, std::string>& items() const { return items_; }
  uint64_t call_count() const { return call_count_; }

  enum class FailureMode {
    kHealthy,
    kNoResponse,
    kUnavailable,
    kConnectionReset,
    kWriteResponseLost
  };
  /// Modes other than kHealthy also drop the pending watches.
  void SetFailureMode(FailureMode mode);
  size_t page_size = 2;
  /// Named in all responses unless it is empty.
  std::string era = "1";
  /// Watches return no events, but the current revision.
  bool hides_events = false;
  /// Responses are kept back, as they were at the time of the call.
  bool holds_responses = false;
  size_t held_response_count() const { return held_responses_.size(); }
  /// Sends the responses that were kept back and keeps back no more.
  void ReleaseResponses();

 private:
  struct Change {
    uint64_t revision;
    std::string key;
    bool is_removed;
  };
  struct PendingWatch {
    net::ServerConnection::Ptr caller;
    uint64_t after;
    std::unique_ptr<net::Timer> timer;
  };

  void OnRequest(const net::ServerConnection::Ptr& caller,
                 const net::ServerRequest& request);
  void SendResponse(const net::ServerConnection::Ptr& caller, int status,
                    const std::string& body);
  void EndLease(uint64_t lease);
  std::string Range(const std::string& target) const;
  void Txn(const net::ServerConnection::Ptr& caller, const std::string& body);
  void Watch(const net::ServerConnection::Ptr& caller,
             const std::string& target);
  std::string EventsAfter(uint64_t after) const;
  void NotifyWatches();

  struct Copy {
    std::map<std::string, std::string> items;
    std::map<std::string, uint64_t> revisions;
    std::map<std::string, uint64_t> key_leases;
    std::set<uint64_t> active_leases;
    uint64_t revision = 0;
    uint64_t next_lease = 0;
  };

  net::EventLoop* loop_;
  std::map<std::string, std::string> items_;
  std::map<std::string, uint64_t> revisions_;
  std::map<std::string, uint64_t> key_leases_;
  std::set<uint64_t> active_leases_;
  std::vector<Change> history_;
  Copy copy_;
  std::vector<PendingWatch> pending_watches_;
  std::vector<std::function<void()>> held_responses_;
  uint64_t revision_ = 10;
  uint64_t oldest_watch_revision_ = 0;
  uint64_t next_lease_ = 100;
  uint64_t call_count_ = 0;
  FailureMode failure_mode_ = FailureMode::kHealthy;
  // Last, so that no request arrives before the other members are initialized.
  net::TestServer server_;
};

}  // namespace basilvalve::platform_adapter
