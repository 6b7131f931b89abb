#include "Core/Platform/http_key_value_store.h"

#include "Core/Common/json_reader.h"
#include "Core/Http/http_client.h"

namespace basilvalve::platform {
namespace {

using nlohmann::json;

// Large enough for a listing of all documents; the service limits one value to
// 1 MB.
constexpr size_t kMaxResponseBytes = 64 << 20;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

tl::unexpected<Error> Unavailable(const http::BufferedResponse& response) {
  Outcome outcome = response.report.end == http::CallEnd::kNotSent
                        ? Outcome::kNotRun
                        : Outcome::kUnknown;
  std::string reason = response.report.end == http::CallEnd::kComplete
                           ? "status " + std::to_string(response.status)
                           : response.report.detail;
  return FailAs(ResultCode::kStoreUnavailable, outcome,
                "key-value service: " + reason);
}

http::CallTimeouts TimeoutsOf(Millis timeout) {
  return {timeout, timeout, timeout};
}

Result<json> ParseReply(const http::BufferedResponse& response) {
  return ParseJson(response.body, ResultCode::kStoreUnavailable);
}

StoreEntry ParseEntry(const json& item) {
  return {item.value("key", ""), item.value("value", ""),
          StoreIndex(item.value("index", uint64_t{0}))};
}

std::vector<StoreEntry> ParseEntries(const json& reply) {
  std::vector<StoreEntry> entries;
  for (const json& it : reply.value("entries", json::array())) {
    entries.push_back(ParseEntry(it));
  }
  return entries;
}

}  // namespace

std::unique_ptr<HttpKeyValueStore> HttpKeyValueStore::Create(
    http::Endpoint endpoint, Millis timeout) {
  return std::unique_ptr<HttpKeyValueStore>(
      new HttpKeyValueStore(std::move(endpoint), timeout));
}

Result<std::optional<StoreEntry>> HttpKeyValueStore::Get(std::string_view key) {
  http::Request request{"GET", "/kv/" + std::string(key), "", {}, ""};
  http::BufferedResponse response = ExecuteBuffered(
      endpoint_, request, TimeoutsOf(timeout_), kMaxResponseBytes);
  if (response.Is(kNotFound)) {
    return std::nullopt;
  }
  if (!response.Is(kOk)) {
    return Unavailable(response);
  }
  Result<json> reply = ParseReply(response);
  if (!reply) {
    return tl::make_unexpected(reply.error());
  }
  return ParseEntry(*reply);
}

Result<std::vector<StoreEntry>> HttpKeyValueStore::List(
    std::string_view prefix) {
  http::Request request{
      "GET", "/list", "prefix=" + std::string(prefix), {}, ""};
  http::BufferedResponse response = ExecuteBuffered(
      endpoint_, request, TimeoutsOf(timeout_), kMaxResponseBytes);
  if (!response.Is(kOk)) {
    return Unavailable(response);
  }
  Result<json> reply = ParseReply(response);
  if (!reply) {
    return tl::make_unexpected(reply.error());
  }
  return ParseEntries(*reply);
}

Result<SwapReply> HttpKeyValueStore::CompareAndSwap(std::string_view key,
                                                    std::string_view value,
                                                    StoreIndex expected,
                                                    Seconds time_to_live) {
  std::string query = "cas=" + std::to_string(expected.value()) +
                      "&ttl_s=" + std::to_string(time_to_live.count());
  http::Request request{
      "PUT", "/kv/" + std::string(key), query, {}, std::string(value)};
  http::BufferedResponse response = ExecuteBuffered(
      endpoint_, request, TimeoutsOf(timeout_), kMaxResponseBytes);
  if (!response.Is(kOk) && !response.Is(kConflict)) {
    return Unavailable(response);
  }
  Result<json> reply = ParseReply(response);
  if (!reply) {
    return tl::make_unexpected(reply.error());
  }
  return SwapReply{response.Is(kOk),
                   StoreIndex(reply->value("index", uint64_t{0}))};
}

Result<void> HttpKeyValueStore::Remove(std::string_view key) {
  http::Request request{"DELETE", "/kv/" + std::string(key), "", {}, ""};
  http::BufferedResponse response = ExecuteBuffered(
      endpoint_, request, TimeoutsOf(timeout_), kMaxResponseBytes);
  if (!response.Is(kOk) && !response.Is(kNotFound)) {
    return Unavailable(response);
  }
  return {};
}

Result<WatchReply> HttpKeyValueStore::Watch(std::string_view prefix,
                                            StoreIndex since, Millis wait) {
  std::string query = "prefix=" + std::string(prefix) +
                      "&since=" + std::to_string(since.value()) +
                      "&wait_ms=" + std::to_string(wait.count());
  http::Request request{"GET", "/watch", query, {}, ""};
  http::BufferedResponse response = ExecuteBuffered(
      endpoint_, request, TimeoutsOf(timeout_ + wait), kMaxResponseBytes);
  if (!response.Is(kOk)) {
    return Unavailable(response);
  }
  Result<json> reply = ParseReply(response);
  if (!reply) {
    return tl::make_unexpected(reply.error());
  }
  return WatchReply{StoreIndex(reply->value("index", uint64_t{0})),
                    ParseEntries(*reply)};
}

}  // namespace basilvalve::platform
