#include "UnitTests/Platform/fake_store.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/store_records.h"

namespace basilvalve::platform_adapter {
namespace {

using nlohmann::json;

std::string Field(const std::string& target, const std::string& name) {
  size_t at = target.find(name + "=");
  if (at == std::string::npos) {
    return "";
  }
  at += name.size() + 1;
  return target.substr(at, target.find('&', at) - at);
}

}  // namespace

StoreStandIn::StoreStandIn(net::EventLoop* loop)
    : loop_(loop),
      server_(loop, [this](const net::ServerConnection::Ptr& caller,
                           const net::ServerRequest& request) {
        OnCall(caller, request);
      }) {}

void StoreStandIn::Put(const std::string& key, const std::string& value) {
  items_[key] = value;
  revisions_[key] = ++revision_;
  history_.push_back({revision_, key, false});
  Wake();
}

void StoreStandIn::Remove(const std::string& key) {
  items_.erase(key);
  leased_.erase(key);
  history_.push_back({++revision_, key, true});
  Wake();
}

void StoreStandIn::Compact() {
  history_.clear();
  oldest_ = ++revision_;
  Wake();
}

void StoreStandIn::RevokeLeases() {
  leases_.clear();
  auto leased = std::exchange(leased_, {});
  for (const auto& [key, lease] : leased) {
    Remove(key);
  }
}

void StoreStandIn::SetMood(Mood mood) {
  mood_ = mood;
  if (mood != Mood::kWell) {
    for (Waiting& it : waiting_) {
      it.timer->Cancel();
    }
    waiting_.clear();
  }
}

void StoreStandIn::Answer(const net::ServerConnection::Ptr& caller, int status,
                          const std::string& body) {
  caller->Write("HTTP/1.1 " + std::to_string(status) +
                " X\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body);
  caller->EndResponse(true);
}

void StoreStandIn::OnCall(const net::ServerConnection::Ptr& caller,
                          const net::ServerRequest& request) {
  ++calls_;
  const std::string& target = request.head.target;
  if (mood_ == Mood::kBusy) {
    return Answer(caller, 503, "");
  }
  if (mood_ == Mood::kSilent) {
    return;
  }
  if (mood_ == Mood::kReset) {
    return caller->Abort();
  }
  if (target.starts_with("/basilvalve/kv-range")) {
    return Answer(caller, 200, Range(target));
  }
  if (target.starts_with("/basilvalve/kv-watch")) {
    return Watch(caller, target);
  }
  if (target.starts_with("/basilvalve/kv-txn")) {
    return Txn(caller, request.body);
  }
  if (target == "/basilvalve/kv-lease") {
    leases_.insert(++next_lease_);
    return Answer(caller, 200,
                  json{{"lease", next_lease_},
                       {"ttl_ms", json::parse(request.body).at("ttl_ms")}}
                      .dump());
  }
  if (target.starts_with("/basilvalve/kv-keep/")) {
    bool is_there =
        leases_.contains(std::stoull(target.substr(target.rfind('/') + 1)));
    return Answer(caller, is_there ? 200 : 404, R"({"ttl_ms":4000})");
  }
  Answer(caller, 404, "");
}

std::string StoreStandIn::Range(const std::string& target) const {
  json list = json::array();
  std::string after = Field(target, "after");
  bool is_truncated = false;
  for (const auto& [key, value] : items_) {
    if (key <= after && !after.empty()) {
      continue;
    }
    if (list.size() == page) {
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

void StoreStandIn::Txn(const net::ServerConnection::Ptr& caller,
                       const std::string& body) {
  json root = json::parse(body);
  for (const json& it : root.at("writes")) {
    uint64_t lease = it.at("lease").get<uint64_t>();
    if (lease != 0 && !leases_.contains(lease)) {
      return Answer(caller, 404, "");
    }
    auto key = it.at("key").get<std::string>();
    leased_[key] = lease;
    Put(key, *DecodeBase64(it.at("value").get<std::string>()));
  }
  if (mood_ == Mood::kLosesAnswers) {
    return caller->Abort();
  }
  Answer(caller, 200, json{{"revision", revision_}}.dump());
}

std::string StoreStandIn::Events(uint64_t after) const {
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

void StoreStandIn::Watch(const net::ServerConnection::Ptr& caller,
                         const std::string& target) {
  uint64_t after = std::stoull(Field(target, "after"));
  if (after < oldest_) {
    return Answer(caller, 410, "");
  }
  if (after < revision_) {
    return Answer(caller, 200, Events(after));
  }
  auto timer = std::make_unique<net::Timer>(loop_);
  timer->Set(Millis(std::stoll(Field(target, "wait_ms"))), [this, caller] {
    std::erase_if(waiting_, [&](Waiting& it) { return it.caller == caller; });
    Answer(caller, 200, Events(revision_));
  });
  waiting_.push_back({caller, after, std::move(timer)});
}

void StoreStandIn::Wake() {
  auto waiting = std::exchange(waiting_, {});
  for (Waiting& it : waiting) {
    it.timer->Cancel();
    it.after < oldest_ ? Answer(it.caller, 410, "")
                       : Answer(it.caller, 200, Events(it.after));
  }
}

}  // namespace basilvalve::platform_adapter
