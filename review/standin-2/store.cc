#include "store.h"

#include <cstdlib>
#include <cstring>
#include <vector>

namespace review {
namespace {

using nlohmann::json;

constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr size_t kPage = 500;
constexpr size_t kHistory = 5000;
constexpr int64_t kIdleMs = 60'000;

std::string Query(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    size_t next = target.find('&', at + 1);
    std::string pair =
        target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    if (pair.rfind(name + "=", 0) == 0) {
      std::string out;
      for (size_t i = name.size() + 1; i < pair.size(); ++i) {
        if (pair[i] == '%' && i + 2 < pair.size()) {
          out.push_back(static_cast<char>(
              strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16)));
          i += 2;
        } else {
          out.push_back(pair[i]);
        }
      }
      return out;
    }
    at = next;
  }
  return "";
}

}  // namespace

std::string ToBase64(const std::string& bytes) {
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t n = 0;
    for (size_t k = 0; k < 3; ++k) {
      n = n << 8 |
          (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      out.push_back(i + k > bytes.size() ? '='
                                         : kDigits[n >> (18 - 6 * k) & 63]);
    }
  }
  return out;
}

std::string FromBase64(const std::string& text) {
  std::string out;
  uint32_t n = 0;
  int bits = 0;
  for (char c : text) {
    const char* at = strchr(kDigits, c);
    if (c == '=' || at == nullptr) {
      break;
    }
    n = n << 6 | static_cast<uint32_t>(at - kDigits);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out.push_back(static_cast<char>(n >> bits & 255));
    }
  }
  return out;
}

bool Store::Start(const std::string& ip) {
  return server_.Start(ip, 0, [this](Channel& channel) { Serve(channel); });
}

void Store::Put(const std::string& key, const std::string& value) {
  std::lock_guard lock(mutex_);
  ++revision_;
  Write(key, value, 0);
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  std::lock_guard lock(mutex_);
  if (items_.count(key) > 0) {
    ++revision_;
    Erase(key);
    changed_.notify_all();
  }
}

void Store::Serve(Channel& channel) {
  Message request;
  while (channel.Read(&request, NowMs() + kIdleMs) && request.is_complete) {
    Reply reply = Answer(request);
    std::string body = reply.body.dump();
    if (!channel.Write("HTTP/1.1 " + std::to_string(reply.status) +
                       " X\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

Store::Reply Store::Answer(const Message& request) {
  std::string target = request.Target();
  std::string path = target.substr(0, target.find('?'));
  std::unique_lock lock(mutex_);
  ExpireLeases();
  if (path == "/basilvalve/kv-range") {
    return Range(target);
  }
  if (path == "/basilvalve/kv-watch") {
    return Watch(&lock, target);
  }
  if (path == "/basilvalve/kv-lease") {
    auto ttl = json::parse(request.body).at("ttl_ms").get<int64_t>();
    leases_[++last_lease_] = {ttl, NowMs() + ttl};
    return {200, {{"lease", last_lease_}, {"ttl_ms", ttl}}};
  }
  if (path == "/basilvalve/kv-txn") {
    return Transact(json::parse(request.body));
  }
  uint64_t id = strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
  auto it = leases_.find(id);
  if (it == leases_.end()) {
    return {404};
  }
  if (request.Method() == "DELETE") {
    EndLease(id);
    return {};
  }
  it->second.ends_ms = NowMs() + it->second.ttl_ms;
  return {200, {{"ttl_ms", it->second.ttl_ms}}};
}

Store::Reply Store::Range(const std::string& target) {
  std::string prefix = Query(target, "prefix");
  std::string after = Query(target, "after");
  json rows = json::array();
  bool is_truncated = false;
  for (const auto& [key, item] : items_) {
    if (key.rfind(prefix, 0) != 0 || key <= after) {
      continue;
    }
    if (rows.size() == kPage) {
      is_truncated = true;
      break;
    }
    rows.push_back(Row(key, item));
  }
  return {200,
          {{"items", rows},
           {"truncated", is_truncated},
           {"current_rev", revision_}}};
}

Store::Reply Store::Watch(std::unique_lock<std::mutex>* lock,
                          const std::string& target) {
  std::string prefix = Query(target, "prefix");
  uint64_t after = strtoull(Query(target, "after").c_str(), nullptr, 10);
  auto until = std::chrono::steady_clock::now() +
               std::chrono::milliseconds(
                   strtoll(Query(target, "wait_ms").c_str(), nullptr, 10));
  for (;;) {
    if (!events_.empty() && after + 1 < events_.front().first) {
      return {410};
    }
    json rows = json::array();
    for (const auto& [revision, row] : events_) {
      if (revision > after &&
          row.at("key").get<std::string>().rfind(prefix, 0) == 0) {
        rows.push_back(row);
      }
    }
    bool is_over = std::chrono::steady_clock::now() >= until;
    if (!rows.empty() || is_over) {
      return {200, {{"events", rows}, {"current_rev", revision_}}};
    }
    changed_.wait_until(*lock, until);
    ExpireLeases();
  }
}

Store::Reply Store::Transact(const json& call) {
  for (const json& row : call.at("expected_rev")) {
    auto it = items_.find(row.at("key").get<std::string>());
    if ((it == items_.end() ? 0 : it->second.revision) !=
        row.at("revision").get<uint64_t>()) {
      return {412, {{"items", json::array()}}};
    }
  }
  for (const json& row : call.at("writes")) {
    uint64_t lease = row.value("lease", uint64_t{0});
    if (lease != 0 && leases_.count(lease) == 0) {
      return {404};
    }
  }
  ++revision_;
  for (const json& row : call.at("writes")) {
    Write(row.at("key").get<std::string>(),
          FromBase64(row.at("value").get<std::string>()),
          row.value("lease", uint64_t{0}));
  }
  for (const json& key : call.at("remove")) {
    Erase(key.get<std::string>());
  }
  changed_.notify_all();
  return {200, {{"revision", revision_}}};
}

json Store::Row(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", ToBase64(item.value)},
          {"revision", item.revision},
          {"created_rev", item.created},
          {"lease", item.lease}};
}

void Store::Write(const std::string& key, const std::string& value,
                  uint64_t lease) {
  Item& item = items_[key];
  item.created = item.created == 0 ? revision_ : item.created;
  item.value = value;
  item.revision = revision_;
  item.lease = lease;
  events_.emplace_back(revision_, Row(key, item));
  while (events_.size() > kHistory) {
    events_.pop_front();
  }
}

void Store::Erase(const std::string& key) {
  items_.erase(key);
  events_.emplace_back(
      revision_,
      json{{"key", key}, {"revision", revision_}, {"tombstone", true}});
}

void Store::EndLease(uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == id) {
      keys.push_back(key);
    }
  }
  if (keys.empty()) {
    return;
  }
  ++revision_;
  for (const std::string& key : keys) {
    Erase(key);
  }
  changed_.notify_all();
}

void Store::ExpireLeases() {
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

}  // namespace review
