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

uint64_t QueryNumber(const http::Request& request, const char* name) {
  return std::strtoull(http::QueryValue(request.query, name).c_str(), nullptr,
                       10);
}

void ReplyJson(http::Exchange* exchange, int status, const json& body) {
  exchange->Reply(status, {{"Content-Type", "application/json"}}, body.dump());
}

void ReplyUnavailable(http::Exchange* exchange) {
  ReplyJson(exchange, 503, {{"error", "down"}});
}

}  // namespace

void StoreHandler::HandleKey(http::Exchange* exchange, const std::string& key) {
  const http::Request& request = exchange->request();
  if (request.method == "GET") {
    auto entry = store_->Get(key);
    if (!entry) {
      ReplyUnavailable(exchange);
    } else if (!entry->has_value()) {
      ReplyJson(exchange, 404, {{"error", "absent"}});
    } else {
      ReplyJson(exchange, 200, EntryJson(**entry));
    }
  } else if (request.method == "PUT") {
    auto reply = store_->CompareAndSwap(key, request.body,
                                        StoreIndex(QueryNumber(request, "cas")),
                                        Seconds(QueryNumber(request, "ttl_s")));
    if (!reply) {
      ReplyUnavailable(exchange);
    } else {
      ReplyJson(exchange, reply->swapped ? 200 : 409,
                {{"index", reply->index.value()}});
    }
  } else {
    auto removed = store_->Remove(key);
    removed ? ReplyJson(exchange, 200, json::object())
            : ReplyUnavailable(exchange);
  }
}

void StoreHandler::HandleWatch(http::Exchange* exchange) {
  const http::Request& request = exchange->request();
  auto reply = store_->Watch(http::QueryValue(request.query, "prefix"),
                             StoreIndex(QueryNumber(request, "since")),
                             Millis(QueryNumber(request, "wait_ms")));
  if (!reply) {
    ReplyUnavailable(exchange);
    return;
  }
  ReplyJson(exchange, 200,
            {{"index", reply->next.value()},
             {"entries", EntriesJson(reply->changed)}});
}

void StoreHandler::HandleFault(http::Exchange* exchange) {
  const http::Request& request = exchange->request();
  std::string fault = request.path.substr(std::string_view("/fault/").size());
  if (fault == "down" || fault == "up") {
    store_->SetDown(fault == "down");
  } else if (fault == "lose") {
    store_->LoseWriteReplies(static_cast<int>(QueryNumber(request, "count")));
  } else if (fault == "save") {
    store_->SaveSnapshot();
  } else if (fault == "restore") {
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
            : ReplyUnavailable(exchange);
  } else if (request.path == "/watch") {
    HandleWatch(exchange);
  } else if (request.path.starts_with("/fault/")) {
    HandleFault(exchange);
  } else {
    ReplyJson(exchange, 404, {{"error", "path"}});
  }
}

}  // namespace basilvalve::fakes
