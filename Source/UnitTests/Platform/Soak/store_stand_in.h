#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace basilvalve::process_soak {

/// The platform's store, without its sockets. Thread safe.
class StoreStandIn {
 public:
  struct Reply {
    /// 0: the store does not answer.
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
  };

  /// Whoever reads the store sees `to` wherever an instance wrote the peer
  /// address `from`.
  void ReplacePeerAddress(const std::string& from, const std::string& to);
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Keeps a copy of everything.
  void TakeCopy();
  /// Gives no answers from now on.
  void GoAway();
  /// Comes back from the copy, in a new era: revisions and leases are given out
  /// again, and what was written since is gone. Pre: TakeCopy was called.
  void RestoreCopy();
  /// Writes again what the operator wrote last, where the copy has it
  /// otherwise.
  void RewriteOperatorItems();
  /// Removes the upstreams that have not written since the copy came back.
  void RemoveSilentUpstreams();
  uint64_t era();
  /// Waits for a watch's events as long as the call asks for.
  Reply Answer(const std::string& target, const std::string& body);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Event {
    uint64_t revision = 0;
    std::string key;
    nlohmann::json row;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    int64_t ends_ms = 0;
  };

  static nlohmann::json Row(const std::string& key, const Item& item);
  void Write(const std::string& key, const std::string& value, uint64_t lease);
  void Erase(const std::string& key);
  void EndLease(uint64_t lease);
  void ExpireLeases();
  Reply Range(const std::string& prefix, const std::string& after);
  Reply Watch(std::unique_lock<std::mutex>* lock, const std::string& prefix,
              uint64_t after, int64_t wait_ms);
  Reply Transact(const nlohmann::json& call);

  struct Copy {
    std::map<std::string, Item> items;
    std::map<uint64_t, Lease> leases;
    uint64_t revision = 0;
    uint64_t last_lease = 0;
  };

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  // What the operator wrote last.
  std::map<std::string, std::string> operator_items_;
  Copy copy_;
  uint64_t era_ = 1;
  bool is_away_ = false;
  std::vector<Event> events_;
  std::map<uint64_t, Lease> leases_;
  std::vector<std::pair<std::string, std::string>> peer_addresses_;
  uint64_t revision_ = 100;
  uint64_t last_lease_ = 7000;
};

}  // namespace basilvalve::process_soak
