// Stand-in for the platform's metadata store, as PROTOCOL.md describes it.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "http.h"

namespace review {

/// Thread safe.
class Store {
 public:
  /// Serves at a free port of the address.
  bool Start(const std::string& ip);
  int port() const { return server_.port(); }

  /// Writes or removes a key, as the operator does.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    int64_t ends_ms = 0;
  };
  struct Reply {
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
  };

  void Serve(Channel& channel);
  Reply Answer(const Message& request);
  Reply Range(const std::string& target);
  Reply Watch(std::unique_lock<std::mutex>* lock, const std::string& target);
  Reply Transact(const nlohmann::json& call);
  void Write(const std::string& key, const std::string& value, uint64_t lease);
  void Erase(const std::string& key);
  void EndLease(uint64_t id);
  void ExpireLeases();
  static nlohmann::json Row(const std::string& key, const Item& item);

  std::mutex mutex_;
  std::condition_variable changed_;
  Server server_;
  std::map<std::string, Item> items_;
  std::map<uint64_t, Lease> leases_;
  std::deque<std::pair<uint64_t, nlohmann::json>> events_;
  uint64_t revision_ = 100;
  uint64_t last_lease_ = 0;
};

std::string ToBase64(const std::string& bytes);
std::string FromBase64(const std::string& text);

}  // namespace review
