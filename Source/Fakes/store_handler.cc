#include "Fakes/store_handler.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace basilvalve::fakes {
namespace {

using nlohmann::json;

constexpr std::string_view kKeyPrefix = "/kv/";

json EntryJson(const platform::StoreEntry& entry) {
  return {{"key", entry.key},
          {"value", entry.value},
          {"index", entry.index.value()}};
}

json EntriesJson(const std::vector<platform::StoreEntry>& entries) {
  json list = json::array();
  for (const platform::StoreEntry& it : entries) {
    list.push_back(EntryJson(it));
  }
  return list;
}

uint64_t NumberOf(const http::Request& request, const char* name) {
  return std::strtoull(http::QueryValue(request.query, name).c_str(), nullptr,
                       10);
}

void ReplyJson(http::Exchange* exchange, int status, const json& body) {
  exchange->Reply(status, {{"Content-Type", "application/json"}}, body.dump());
}

void Unavailable(http::Exchange* exchange) {
  ReplyJson(exchange, 503, {{"error", "down"}});
}

}  // namespace

void StoreHandler::HandleKey(http::Exchange* exchange, const std::string& key) {
  const http::Request& request = exchange->request();
  if (request.method == "GET") {
    auto entry = store_->Get(key);
    if (!entry) {
      Unavailable(exchange);
    } else if (!entry->has_value()) {
      ReplyJson(exchange, 404, {{"error", "absent"}});
    } else {
      ReplyJson(exchange, 200, EntryJson(**entry));
    }
  } else if (request.method == "PUT") {
    auto reply = store_->CompareAndSwap(key, request.body,
                                        StoreIndex(NumberOf(request, "cas")),
                                        Seconds(NumberOf(request, "ttl_s")));
    if (!reply) {
      Unavailable(exchange);
    } else {
      ReplyJson(exchange, reply->swapped ? 200 : 409,
                {{"index", reply->index.value()}});
    }
  } else {
    auto removed = store_->Remove(key);
    removed ? ReplyJson(exchange, 200, json::object()) : Unavailable(exchange);
  }
}

void StoreHandler::HandleWatch(http::Exchange* exchange) {
  const http::Request& request = exchange->request();
  auto reply = store_->Watch(http::QueryValue(request.query, "prefix"),
                             StoreIndex(NumberOf(request, "since")),
                             Millis(NumberOf(request, "wait_ms")));
  if (!reply) {
    Unavailable(exchange);
    return;
  }
  ReplyJson(exchange, 200,
            {{"index", reply->next.value()},
             {"entries", EntriesJson(reply->changed)}});
}

void StoreHandler::HandleFault(http::Exchange* exchange) {
  const http::Request& request = exchange->request();
  std::string what = request.path.substr(std::string_view("/fault/").size());
  if (what == "down" || what == "up") {
    store_->SetDown(what == "down");
  } else if (what == "lose") {
    store_->LoseWriteReplies(static_cast<int>(NumberOf(request, "count")));
  } else if (what == "save") {
    store_->SaveSnapshot();
  } else if (what == "restore") {
    store_->RestoreSnapshot();
  }
  ReplyJson(exchange, 200, {{"calls", store_->calls()}});
}

void StoreHandler::Handle(http::Exchange* exchange) {
  const http::Request& request = exchange->request();
  if (request.path.starts_with(kKeyPrefix)) {
    HandleKey(exchange, request.path.substr(kKeyPrefix.size()));
  } else if (request.path == "/list") {
    auto entries = store_->List(http::QueryValue(request.query, "prefix"));
    entries ? ReplyJson(exchange, 200, {{"entries", EntriesJson(*entries)}})
            : Unavailable(exchange);
  } else if (request.path == "/watch") {
    HandleWatch(exchange);
  } else if (request.path.starts_with("/fault/")) {
    HandleFault(exchange);
  } else {
    ReplyJson(exchange, 404, {{"error", "path"}});
  }
}

}  // namespace basilvalve::fakes
