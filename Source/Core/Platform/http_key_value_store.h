// HTTP client of the platform's key-value service.
#pragma once

#include <memory>

#include "Core/Http/http_message.h"
#include "Core/Platform/key_value_store.h"

namespace basilvalve::platform {

/// KeyValueStore over HTTP. Thread safe.
class HttpKeyValueStore : public KeyValueStore {
 public:
  /// Pre: the endpoint's address is numeric. Thread safe.
  static std::unique_ptr<HttpKeyValueStore> Create(http::Endpoint endpoint,
                                                   Millis timeout);

  Result<std::optional<StoreEntry>> Get(std::string_view key) override;
  Result<std::vector<StoreEntry>> List(std::string_view prefix) override;
  Result<SwapReply> CompareAndSwap(std::string_view key, std::string_view value,
                                   StoreIndex expected,
                                   Seconds time_to_live) override;
  Result<void> Remove(std::string_view key) override;
  Result<WatchReply> Watch(std::string_view prefix, StoreIndex since,
                           Millis wait) override;

 private:
  HttpKeyValueStore(http::Endpoint endpoint, Millis timeout)
      : endpoint_(std::move(endpoint)), timeout_(timeout) {}

  http::Endpoint endpoint_;
  Millis timeout_;
};

}  // namespace basilvalve::platform
