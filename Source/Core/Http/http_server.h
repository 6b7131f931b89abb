// An HTTP server whose handlers run on a bounded pool of threads.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Http/http_message.h"
#include "Core/Net/machine_limits.h"

namespace basilvalve::http {

/// One request and its response. Used only on the thread of its handler.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// The request with its complete body.
  virtual const Request& request() const = 0;
  /// Moves the body out of the request.
  virtual std::string TakeBody() = 0;
  /// Whether the body exceeded the server's limit and was discarded.
  virtual bool body_too_large() const = 0;
  /// Sends a complete response. Pre: neither Reply nor BeginStream was called
  /// before.
  virtual void Reply(int status, const Headers& headers,
                     std::string_view body) = 0;
  /// Starts a response with a chunked body; false if the caller has
  /// disconnected.
  virtual bool BeginStream(int status, const Headers& headers) = 0;
  /// Sends part of the body, blocking while the caller reads slowly; false if
  /// the caller has disconnected or the write timed out. Pre: BeginStream was
  /// called.
  virtual bool WriteStream(std::string_view chunk) = 0;
  /// Ends the body; without it, the caller receives an incomplete response.
  /// Pre: BeginStream was called.
  virtual bool EndStream() = 0;
  /// Closes the connection without completing the response.
  virtual void Abort() = 0;
  /// Whether the caller has disconnected or the response was aborted.
  virtual bool CallerDisconnected() const = 0;
};

/// Responds to requests. Implementations are thread safe.
class Handler {
 public:
  virtual ~Handler() = default;
  /// Responds to one request. Called on a pool thread. Throws nothing.
  virtual void Handle(Exchange* exchange) = 0;
};

/// Settings of a server. The timeouts apply to reading a request head, to one
/// blocked write and to an idle connection or a request body.
struct ServerSettings {
  Endpoint endpoint;
  unsigned max_threads = 64;
  size_t max_body_bytes = 1 << 20;
  std::chrono::milliseconds read_timeout{10000};
  std::chrono::milliseconds write_timeout{10000};
  std::chrono::milliseconds keep_alive{30000};
  /// What all connections of the server may take; nullopt: no limit.
  std::optional<net::ResourceShare> share;
  /// How many times a handler keeps the body of its request, the received one
  /// included.
  size_t body_copies = 1;
  /// Called on the server's thread with the reason for which a connection, a
  /// request or a response was refused or ended for want of room.
  std::function<void(std::string_view reason)> on_shed;
  /// PEM files; empty means no TLS.
  std::string certificate_file;
  std::string key_file;
};

/// A running server; destroying it stops it.
class Server {
 public:
  /// Starts listening; port 0 selects a free port. Returns null and sets
  /// `error_message` on failure. Thread safe. Pre: `handler` outlives the
  /// server.
  static std::unique_ptr<Server> Start(const ServerSettings& settings,
                                       Handler* handler,
                                       std::string* error_message);
  virtual ~Server() = default;
  /// The bound address. Thread safe.
  virtual Endpoint endpoint() const = 0;
};

}  // namespace basilvalve::http
