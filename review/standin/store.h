// Stand-in for the platform's metadata store, as PROTOCOL.md describes it.
#pragma once

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>

#include "http.h"

namespace review {

using nlohmann::json;

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<uint8_t>(bytes[i + j]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      out.push_back(i + j > bytes.size() ? '='
                                         : kDigits[group >> (18 - 6 * j) & 63]);
    }
  }
  return out;
}

inline std::string Unbase64(const std::string& text) {
  std::string out;
  uint32_t bits = 0;
  int n = 0;
  for (char c : text) {
    int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                : c >= 'a' && c <= 'z' ? c - 'a' + 26
                : c >= '0' && c <= '9' ? c - '0' + 52
                : c == '+'             ? 62
                : c == '/'             ? 63
                                       : -1;
    if (digit < 0) {
      break;
    }
    bits = bits << 6 | static_cast<uint32_t>(digit);
    n += 6;
    if (n >= 8) {
      n -= 8;
      out.push_back(static_cast<char>(bits >> n & 255));
    }
  }
  return out;
}

class Store {
 public:
  bool Start(const std::string& ip) {
    std::thread([this] { ExpireLeases(); }).detach();
    return listener_.Start(ip, 0, [this](Channel& channel) { Serve(channel); });
  }
  int port() const { return listener_.port(); }

  void Put(const std::string& key, const std::string& value) {
    std::lock_guard lock(mutex_);
    ++revision_;
    Write(key, value, 0);
    changed_.notify_all();
  }
  void Remove(const std::string& key) {
    std::lock_guard lock(mutex_);
    if (items_.contains(key)) {
      ++revision_;
      Erase(key);
      changed_.notify_all();
    }
  }
  size_t Count(const std::string& prefix) {
    std::lock_guard lock(mutex_);
    size_t n = 0;
    for (const auto& [key, item] : items_) {
      n += key.starts_with(prefix) ? 1 : 0;
    }
    return n;
  }

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
    json row;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    int64_t ends_ms = 0;
  };

  static json Row(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", Base64(item.value)},
            {"revision", item.revision},
            {"created_rev", item.created},
            {"lease", item.lease}};
  }
  void Write(const std::string& key, const std::string& value, uint64_t lease) {
    Item& item = items_[key];
    item.value = value;
    item.created = item.created == 0 ? revision_ : item.created;
    item.revision = revision_;
    item.lease = lease;
    events_.push_back({revision_, key, Row(key, item)});
  }
  void Erase(const std::string& key) {
    items_.erase(key);
    events_.push_back(
        {revision_, key,
         {{"key", key}, {"revision", revision_}, {"tombstone", true}}});
  }
  void EndLease(uint64_t lease) {
    leases_.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease) {
        keys.push_back(key);
      }
    }
    if (!keys.empty()) {
      ++revision_;
      for (const std::string& key : keys) {
        Erase(key);
      }
      changed_.notify_all();
    }
  }
  void ExpireLeases() {
    for (;;) {
      SleepMs(50);
      std::lock_guard lock(mutex_);
      std::vector<uint64_t> ended;
      for (const auto& [id, lease] : leases_) {
        if (NowMs() > lease.ends_ms) {
          ended.push_back(id);
        }
      }
      for (uint64_t id : ended) {
        EndLease(id);
      }
    }
  }

  static std::string Query(const std::string& target, const std::string& name) {
    size_t at = target.find('?');
    while (at != std::string::npos) {
      size_t next = target.find('&', at + 1);
      std::string pair = target.substr(
          at + 1, next == std::string::npos ? next : next - at - 1);
      if (pair.starts_with(name + "=")) {
        return Unescape(pair.substr(name.size() + 1));
      }
      at = next;
    }
    return "";
  }
  static std::string Unescape(const std::string& text) {
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out.push_back(static_cast<char>(
            strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
        i += 2;
      } else {
        out.push_back(text[i]);
      }
    }
    return out;
  }

  void Serve(Channel& channel) {
    Message request;
    while (channel.Read(&request, NowMs() + 60'000, false) ==
           ReadResult::kDone) {
      int status = 404;
      json body = Answer(request, &status);
      SleepMs(4);
      std::string text = body.dump();
      if (!channel.Write("HTTP/1.1 " + std::to_string(status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(text.size()) + "\r\n\r\n" + text)) {
        return;
      }
    }
  }

  json Answer(const Message& request, int* status) {
    std::string target = request.Target();
    std::string path = target.substr(0, target.find('?'));
    *status = 200;
    if (path == "/basilvalve/kv-range") {
      return Range(Query(target, "prefix"), Query(target, "after"));
    }
    if (path == "/basilvalve/kv-watch") {
      return Watch(Query(target, "prefix"),
                   strtoull(Query(target, "after").c_str(), nullptr, 10),
                   atoll(Query(target, "wait_ms").c_str()));
    }
    if (path == "/basilvalve/kv-lease") {
      std::lock_guard lock(mutex_);
      int64_t ttl = json::parse(request.body).at("ttl_ms").get<int64_t>();
      uint64_t id = ++last_lease_;
      leases_[id] = {ttl, NowMs() + ttl};
      return {{"lease", id}, {"ttl_ms", ttl}};
    }
    std::lock_guard lock(mutex_);
    std::string_view keep = "/basilvalve/kv-keep/";
    std::string_view end = "/basilvalve/kv-lease-end/";
    if (path.starts_with(keep) || path.starts_with(end)) {
      uint64_t id = strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr,
                             10);
      auto it = leases_.find(id);
      if (it == leases_.end()) {
        *status = 404;
        return json::object();
      }
      if (path.starts_with(end)) {
        EndLease(id);
        return json::object();
      }
      it->second.ends_ms = NowMs() + it->second.ttl_ms;
      return {{"ttl_ms", it->second.ttl_ms}};
    }
    if (path == "/basilvalve/kv-txn") {
      return Transact(json::parse(request.body), status);
    }
    *status = 404;
    return json::object();
  }

  json Range(const std::string& prefix, const std::string& after) {
    std::lock_guard lock(mutex_);
    json rows = json::array();
    for (const auto& [key, item] : items_) {
      if (key.starts_with(prefix) && (after.empty() || key > after)) {
        rows.push_back(Row(key, item));
      }
    }
    return {{"items", rows}, {"truncated", false}, {"current_rev", revision_}};
  }

  json Watch(const std::string& prefix, uint64_t after, int64_t wait_ms) {
    std::unique_lock lock(mutex_);
    auto until = SteadyClock::now() + std::chrono::milliseconds(wait_ms);
    for (;;) {
      json rows = json::array();
      for (auto it = events_.rbegin();
           it != events_.rend() && it->revision > after; ++it) {
        if (it->key.starts_with(prefix)) {
          rows.insert(rows.begin(), it->row);
        }
      }
      if (!rows.empty() ||
          changed_.wait_until(lock, until) == std::cv_status::timeout) {
        return {{"events", rows}, {"current_rev", revision_}};
      }
    }
  }

  json Transact(const json& call, int* status) {
    for (const json& row : call.at("expected_rev")) {
      auto it = items_.find(row.at("key").get<std::string>());
      uint64_t current = it == items_.end() ? 0 : it->second.revision;
      if (current != row.at("revision").get<uint64_t>()) {
        *status = 412;
        return {{"items", json::array()}};
      }
    }
    for (const json& row : call.at("writes")) {
      auto lease = row.value("lease", uint64_t{0});
      if (lease != 0 && !leases_.contains(lease)) {
        *status = 404;
        return json::object();
      }
    }
    ++revision_;
    for (const json& row : call.at("writes")) {
      Write(row.at("key").get<std::string>(),
            Unbase64(row.at("value").get<std::string>()),
            row.value("lease", uint64_t{0}));
    }
    for (const json& key : call.at("remove")) {
      Erase(key.get<std::string>());
    }
    changed_.notify_all();
    return {{"revision", revision_}};
  }

  Listener listener_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::map<uint64_t, Lease> leases_;
  uint64_t revision_ = 100;
  uint64_t last_lease_ = 7000;
};

}  // namespace review
