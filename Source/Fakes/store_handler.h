// HTTP interface of the in-memory key-value store.
#pragma once

#include "Core/Http/http_server.h"
#include "Fakes/memory_store.h"

namespace basilvalve::fakes {

/// Serves a MemoryStore over HTTP; requests below /fault/ switch its faults.
/// Thread safe.
class StoreHandler : public http::Handler {
 public:
  /// Pre: `store` outlives the handler.
  explicit StoreHandler(MemoryStore* store) : store_(store) {}
  void Handle(http::Exchange* exchange) override;

 private:
  void HandleKey(http::Exchange* exchange, const std::string& key);
  void HandleWatch(http::Exchange* exchange);
  void HandleFault(http::Exchange* exchange);

  MemoryStore* store_;
};

}  // namespace basilvalve::fakes
