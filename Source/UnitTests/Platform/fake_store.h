// A store that does what a test says: pages, watches, leases, and failures.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "UnitTests/Core/Net/test_server.h"

namespace basilvalve::platform_adapter {

/// Speaks the platform's published store calls on loopback.
class StoreStandIn {
 public:
  explicit StoreStandIn(net::EventLoop* loop);

  net::Endpoint endpoint() const { return server_.endpoint(); }
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Watches from before now are told that the history is gone.
  void Compact();
  /// All leases end now and their keys go.
  void RevokeLeases();
  const std::map<std::string, std::string>& items() const { return items_; }
  uint64_t calls() const { return calls_; }

  enum class Mood { kWell, kSilent, kBusy, kReset, kLosesAnswers };
  void SetMood(Mood mood);
  size_t page = 2;

 private:
  struct Change {
    uint64_t revision;
    std::string key;
    bool is_removed;
  };
  struct Waiting {
    net::ServerConnection::Ptr caller;
    uint64_t after;
    std::unique_ptr<net::Timer> timer;
  };

  void OnCall(const net::ServerConnection::Ptr& caller,
              const net::ServerRequest& request);
  void Answer(const net::ServerConnection::Ptr& caller, int status,
              const std::string& body);
  std::string Range(const std::string& target) const;
  void Txn(const net::ServerConnection::Ptr& caller, const std::string& body);
  void Watch(const net::ServerConnection::Ptr& caller,
             const std::string& target);
  std::string Events(uint64_t after) const;
  void Wake();

  net::EventLoop* loop_;
  std::map<std::string, std::string> items_;
  std::map<std::string, uint64_t> revisions_;
  std::map<std::string, uint64_t> leased_;
  std::set<uint64_t> leases_;
  std::vector<Change> history_;
  std::vector<Waiting> waiting_;
  uint64_t revision_ = 10;
  uint64_t oldest_ = 0;
  uint64_t next_lease_ = 100;
  uint64_t calls_ = 0;
  Mood mood_ = Mood::kWell;
  // Last, so that no call comes before the rest is there.
  net::TestServer server_;
};

}  // namespace basilvalve::platform_adapter
