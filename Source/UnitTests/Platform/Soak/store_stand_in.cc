#include "UnitTests/Platform/Soak/store_stand_in.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>

#include "platform/store_records.h"

namespace basilvalve::process_soak {
namespace {

using nlohmann::json;
using platform_adapter::DecodeBase64;
using platform_adapter::EncodeBase64;

const std::string kOperatorPrefix = "op/";

int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::string Unescape(const std::string& text) {
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

std::string Query(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    size_t next = target.find('&', at + 1);
    std::string pair =
        target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    if (pair.starts_with(name + "=")) {
      return Unescape(pair.substr(name.size() + 1));
    }
    at = next;
  }
  return "";
}

}  // namespace

void StoreStandIn::ReplacePeerAddress(const std::string& from,
                                      const std::string& to) {
  std::lock_guard lock(mutex_);
  peer_addresses_.emplace_back(from, to);
}

void StoreStandIn::Put(const std::string& key, const std::string& value) {
  std::lock_guard lock(mutex_);
  if (key.starts_with(kOperatorPrefix)) {
    operator_items_[key] = value;
  }
  if (is_away_) {
    return;
  }
  ++revision_;
  Write(key, value, 0);
  changed_.notify_all();
}

void StoreStandIn::Remove(const std::string& key) {
  std::lock_guard lock(mutex_);
  operator_items_.erase(key);
  if (!is_away_ && items_.contains(key)) {
    ++revision_;
    Erase(key);
    changed_.notify_all();
  }
}

void StoreStandIn::TakeCopy() {
  std::lock_guard lock(mutex_);
  copy_ = {items_, leases_, revision_, last_lease_};
}

void StoreStandIn::GoAway() {
  std::lock_guard lock(mutex_);
  is_away_ = true;
  changed_.notify_all();
}

void StoreStandIn::RestoreCopy() {
  std::lock_guard lock(mutex_);
  items_ = copy_.items;
  leases_ = copy_.leases;
  revision_ = copy_.revision;
  last_lease_ = copy_.last_lease;
  std::erase_if(events_,
                [&](const Event& e) { return e.revision > revision_; });
  for (auto& [id, lease] : leases_) {
    lease.ends_ms = SteadyMs() + lease.ttl_ms;
  }
  ++era_;
  is_away_ = false;
}

void StoreStandIn::RewriteOperatorItems() {
  std::lock_guard lock(mutex_);
  for (const auto& [key, value] : operator_items_) {
    auto it = items_.find(key);
    if (it == items_.end() || it->second.value != value) {
      ++revision_;
      Write(key, value, 0);
    }
  }
  std::vector<std::string> removed;
  for (const auto& [key, item] : items_) {
    if (key.starts_with(kOperatorPrefix) && !operator_items_.contains(key)) {
      removed.push_back(key);
    }
  }
  for (const std::string& key : removed) {
    ++revision_;
    Erase(key);
  }
  changed_.notify_all();
}

void StoreStandIn::RemoveSilentUpstreams() {
  std::lock_guard lock(mutex_);
  std::vector<std::string> silent;
  for (const auto& [key, item] : items_) {
    if (key.starts_with(platform_adapter::kUpstreamPrefix) &&
        item.revision <= copy_.revision) {
      silent.push_back(key);
    }
  }
  for (const std::string& key : silent) {
    ++revision_;
    Erase(key);
  }
  changed_.notify_all();
}

uint64_t StoreStandIn::era() {
  std::lock_guard lock(mutex_);
  return era_;
}

json StoreStandIn::Row(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", EncodeBase64(item.value)},
          {"revision", item.revision},
          {"created_rev", item.created},
          {"lease", item.lease}};
}

void StoreStandIn::Write(const std::string& key, const std::string& value,
                         uint64_t lease) {
  Item& item = items_[key];
  item.value = value;
  if (key.starts_with(platform_adapter::kInstancePrefix)) {
    for (const auto& [from, to] : peer_addresses_) {
      size_t at = item.value.find("\"" + from + "\"");
      if (at != std::string::npos) {
        item.value.replace(at + 1, from.size(), to);
      }
    }
  }
  item.created = item.created == 0 ? revision_ : item.created;
  item.revision = revision_;
  item.lease = lease;
  events_.push_back({revision_, key, Row(key, item)});
}

void StoreStandIn::Erase(const std::string& key) {
  items_.erase(key);
  events_.push_back(
      {revision_,
       key,
       {{"key", key}, {"revision", revision_}, {"tombstone", true}}});
}

void StoreStandIn::EndLease(uint64_t lease) {
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

void StoreStandIn::ExpireLeases() {
  std::vector<uint64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (SteadyMs() > lease.ends_ms) {
      ended.push_back(id);
    }
  }
  for (uint64_t id : ended) {
    EndLease(id);
  }
}

StoreStandIn::Reply StoreStandIn::Answer(const std::string& target,
                                         const std::string& body) {
  std::string path = target.substr(0, target.find('?'));
  std::unique_lock lock(mutex_);
  if (is_away_) {
    return {0, json::object()};
  }
  ExpireLeases();
  if (path == "/basilvalve/kv-range") {
    return Range(Query(target, "prefix"), Query(target, "after"));
  }
  if (path == "/basilvalve/kv-watch") {
    return Watch(&lock, Query(target, "prefix"),
                 strtoull(Query(target, "after").c_str(), nullptr, 10),
                 strtoll(Query(target, "wait_ms").c_str(), nullptr, 10));
  }
  if (path == "/basilvalve/kv-lease") {
    auto ttl = json::parse(body).at("ttl_ms").get<int64_t>();
    uint64_t id = ++last_lease_;
    leases_[id] = {ttl, SteadyMs() + ttl};
    return {200, {{"lease", id}, {"ttl_ms", ttl}}};
  }
  if (path == "/basilvalve/kv-txn") {
    return Transact(json::parse(body));
  }
  auto it = leases_.find(
      strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10));
  if (it == leases_.end()) {
    return {404, json::object()};
  }
  if (path.starts_with("/basilvalve/kv-lease-end/")) {
    EndLease(it->first);
    return {};
  }
  it->second.ends_ms = SteadyMs() + it->second.ttl_ms;
  return {200, {{"ttl_ms", it->second.ttl_ms}}};
}

StoreStandIn::Reply StoreStandIn::Range(const std::string& prefix,
                                        const std::string& after) {
  json rows = json::array();
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix) && key > after) {
      rows.push_back(Row(key, item));
    }
  }
  return {200,
          {{"items", rows}, {"truncated", false}, {"current_rev", revision_}}};
}

StoreStandIn::Reply StoreStandIn::Watch(std::unique_lock<std::mutex>* lock,
                                        const std::string& prefix,
                                        uint64_t after, int64_t wait_ms) {
  auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
  uint64_t era = era_;
  for (;;) {
    if (is_away_ || era != era_) {
      return {0, json::object()};
    }
    if (after > revision_) {
      return {410, json::object()};
    }
    json rows = json::array();
    auto first = std::upper_bound(events_.begin(), events_.end(), after,
                                  [](uint64_t revision, const Event& e) {
                                    return revision < e.revision;
                                  });
    for (; first != events_.end(); ++first) {
      if (first->key.starts_with(prefix)) {
        rows.push_back(first->row);
      }
    }
    if (!rows.empty() ||
        changed_.wait_until(*lock, until) == std::cv_status::timeout) {
      return {200, {{"events", rows}, {"current_rev", revision_}}};
    }
    ExpireLeases();
  }
}

StoreStandIn::Reply StoreStandIn::Transact(const json& call) {
  for (const json& row : call.at("expected_rev")) {
    auto it = items_.find(row.at("key").get<std::string>());
    uint64_t current = it == items_.end() ? 0 : it->second.revision;
    if (current != row.at("revision").get<uint64_t>()) {
      return {412, {{"items", json::array()}}};
    }
  }
  for (const json& row : call.at("writes")) {
    auto lease = row.value("lease", uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) {
      return {404, json::object()};
    }
  }
  ++revision_;
  for (const json& row : call.at("writes")) {
    Write(row.at("key").get<std::string>(),
          DecodeBase64(row.at("value").get<std::string>()).value_or(""),
          row.value("lease", uint64_t{0}));
  }
  for (const json& key : call.at("remove")) {
    Erase(key.get<std::string>());
  }
  changed_.notify_all();
  return {200, {{"revision", revision_}}};
}

}  // namespace basilvalve::process_soak
