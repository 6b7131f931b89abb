#include "UnitTests/Platform/fake_store.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/store_records.h"

namespace basilvalve::platform_adapter {
namespace {

using nlohmann::json;

std::string QueryField(const std::string& target, const std::string& name) {
  size_t at = target.find(name + "=");
  if (at == std::string::npos) {
    return "";
  }
  at += name.size() + 1;
  return target.substr(at, target.find('&', at) - at);
}

}  // namespace

FakeStore::FakeStore(net::EventLoop* loop)
    : loop_(loop),
      server_(loop, [this](const net::ServerConnection::Ptr& caller,
                           const net::ServerRequest& request) {
        OnRequest(caller, request);
      }) {}

void FakeStore::Put(const std::string& key, const std::string& value) {
  items_[key] = value;
  revisions_[key] = ++revision_;
  history_.push_back({revision_, key, false});
  NotifyWatches();
}

void FakeStore::Remove(const std::string& key) {
  items_.erase(key);
  key_leases_.erase(key);
  history_.push_back({++revision_, key, true});
  NotifyWatches();
}

void FakeStore::Compact() {
  history_.clear();
  oldest_watch_revision_ = ++revision_;
  NotifyWatches();
}

void FakeStore::TakeCopy() {
  copy_ = {items_,         revisions_, key_leases_,
           active_leases_, revision_,  next_lease_};
}

void FakeStore::RestoreCopy() {
  items_ = copy_.items;
  revisions_ = copy_.revisions;
  key_leases_ = copy_.key_leases;
  active_leases_ = copy_.active_leases;
  revision_ = copy_.revision;
  next_lease_ = copy_.next_lease;
  history_.clear();
  oldest_watch_revision_ = revision_;
  if (!era.empty()) {
    era = std::to_string(std::stoull(era) + 1);
  }
  for (PendingWatch& it : std::exchange(pending_watches_, {})) {
    it.timer->Cancel();
    it.caller->Abort();
  }
}

void FakeStore::RevokeLeases() {
  active_leases_.clear();
  auto revoked = std::exchange(key_leases_, {});
  for (const auto& [key, lease] : revoked) {
    Remove(key);
  }
}

void FakeStore::SetFailureMode(FailureMode mode) {
  failure_mode_ = mode;
  if (mode != FailureMode::kHealthy) {
    for (PendingWatch& it : pending_watches_) {
      it.timer->Cancel();
    }
    pending_watches_.clear();
  }
}

void FakeStore::ReleaseResponses() {
  holds_responses = false;
  for (const auto& send : std::exchange(held_responses_, {})) {
    send();
  }
}

void FakeStore::SendResponse(const net::ServerConnection::Ptr& caller,
                             int status, const std::string& body) {
  std::string text =
      "HTTP/1.1 " + std::to_string(status) +
      " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
      (era.empty() ? "" : "Store-Era: " + era + "\r\n") + "\r\n" + body;
  if (holds_responses) {
    held_responses_.emplace_back([caller, text] {
      caller->Write(text);
      caller->EndResponse(true);
    });
    return;
  }
  caller->Write(text);
  caller->EndResponse(true);
}

void FakeStore::OnRequest(const net::ServerConnection::Ptr& caller,
                          const net::ServerRequest& request) {
  ++call_count_;
  const std::string& target = request.head.target;
  if (failure_mode_ == FailureMode::kUnavailable) {
    return SendResponse(caller, 503, "");
  }
  if (failure_mode_ == FailureMode::kNoResponse) {
    return;
  }
  if (failure_mode_ == FailureMode::kConnectionReset) {
    return caller->Abort();
  }
  if (target.starts_with("/basilvalve/kv-range")) {
    return SendResponse(caller, 200, Range(target));
  }
  if (target.starts_with("/basilvalve/kv-watch")) {
    return Watch(caller, target);
  }
  if (target.starts_with("/basilvalve/kv-txn")) {
    return Txn(caller, request.body);
  }
  if (target == "/basilvalve/kv-lease") {
    active_leases_.insert(++next_lease_);
    return SendResponse(caller, 200,
                        json{{"lease", next_lease_},
                             {"ttl_ms", json::parse(request.body).at("ttl_ms")}}
                            .dump());
  }
  if (target.starts_with("/basilvalve/kv-keep/")) {
    bool is_active = active_leases_.contains(
        std::stoull(target.substr(target.rfind('/') + 1)));
    return SendResponse(caller, is_active ? 200 : 404, R"({"ttl_ms":4000})");
  }
  if (target.starts_with("/basilvalve/kv-lease-end/")) {
    EndLease(std::stoull(target.substr(target.rfind('/') + 1)));
    return SendResponse(caller, 200, "{}");
  }
  SendResponse(caller, 404, "");
}

void FakeStore::EndLease(uint64_t lease) {
  active_leases_.erase(lease);
  for (const auto& [key, key_lease] : std::map(key_leases_)) {
    if (key_lease == lease) {
      Remove(key);
    }
  }
}

std::string FakeStore::Range(const std::string& target) const {
  json list = json::array();
  std::string after = QueryField(target, "after");
  bool is_truncated = false;
  for (const auto& [key, value] : items_) {
    if (key <= after && !after.empty()) {
      continue;
    }
    if (list.size() == page_size) {
      is_truncated = true;
      break;
    }
    list.push_back({{"key", key},
                    {"value", EncodeBase64(value)},
                    {"revision", revisions_.at(key)},
                    {"created_rev", revisions_.at(key)},
                    {"lease", 0}});
  }
  return json{
      {"items", list}, {"truncated", is_truncated}, {"current_rev", revision_}}
      .dump();
}

void FakeStore::Txn(const net::ServerConnection::Ptr& caller,
                    const std::string& body) {
  json root = json::parse(body);
  for (const json& it : root.at("writes")) {
    uint64_t lease = it.at("lease").get<uint64_t>();
    if (lease != 0 && !active_leases_.contains(lease)) {
      return SendResponse(caller, 404, "");
    }
    auto key = it.at("key").get<std::string>();
    key_leases_[key] = lease;
    Put(key, *DecodeBase64(it.at("value").get<std::string>()));
  }
  if (failure_mode_ == FailureMode::kWriteResponseLost) {
    return caller->Abort();
  }
  SendResponse(caller, 200, json{{"revision", revision_}}.dump());
}

std::string FakeStore::EventsAfter(uint64_t after) const {
  json list = json::array();
  for (const Change& change : history_) {
    if (change.revision <= after) {
      continue;
    }
    json row = {{"key", change.key}, {"revision", change.revision}};
    if (change.is_removed || !items_.contains(change.key)) {
      row["tombstone"] = true;
    } else {
      row["value"] = EncodeBase64(items_.at(change.key));
    }
    list.push_back(std::move(row));
  }
  return json{{"events", list}, {"current_rev", revision_}}.dump();
}

void FakeStore::Watch(const net::ServerConnection::Ptr& caller,
                      const std::string& target) {
  uint64_t after = std::stoull(QueryField(target, "after"));
  if (after < oldest_watch_revision_ || after > revision_) {
    return SendResponse(caller, 410, "");
  }
  if (hides_events) {
    return SendResponse(caller, 200, EventsAfter(revision_));
  }
  if (after < revision_) {
    return SendResponse(caller, 200, EventsAfter(after));
  }
  auto timer = std::make_unique<net::Timer>(loop_);
  timer->Set(Millis(std::stoll(QueryField(target, "wait_ms"))), [this, caller] {
    std::erase_if(pending_watches_,
                  [&](PendingWatch& it) { return it.caller == caller; });
    SendResponse(caller, 200, EventsAfter(revision_));
  });
  pending_watches_.push_back({caller, after, std::move(timer)});
}

void FakeStore::NotifyWatches() {
  auto watches = std::exchange(pending_watches_, {});
  for (PendingWatch& it : watches) {
    it.timer->Cancel();
    it.after < oldest_watch_revision_
        ? SendResponse(it.caller, 410, "")
        : SendResponse(it.caller, 200, EventsAfter(it.after));
  }
}

}  // namespace basilvalve::platform_adapter
