// An HTTP server whose handlers run on a bounded pool of threads.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "Core/Http/http_message.h"

namespace basilvalve::http {

/// One request being answered. Used only on the thread that handles it.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// The request with its whole body.
  virtual const Request& request() const = 0;
  /// Whether the body exceeded the server's limit; its bytes were not kept.
  virtual bool body_too_large() const = 0;
  /// Sends a whole answer. Pre: neither this nor BeginStream was called before.
  virtual void Reply(int status, const Headers& headers,
                     std::string_view body) = 0;
  /// Starts an answer whose body follows in pieces; false if the caller has
  /// gone.
  virtual bool BeginStream(int status, const Headers& headers) = 0;
  /// Sends a piece, blocking while the caller reads slowly; false if the caller
  /// has gone. Pre: BeginStream was called.
  virtual bool WriteStream(std::string_view piece) = 0;
  /// Ends the body; without it the caller sees a broken answer. Pre:
  /// BeginStream was called.
  virtual bool EndStream() = 0;
  /// Closes the connection at once, with or without a part of an answer sent.
  virtual void Abort() = 0;
  /// Whether the caller has closed its side.
  virtual bool CallerDisconnected() const = 0;
};

/// Answers requests. Implementations are thread safe.
class Handler {
 public:
  virtual ~Handler() = default;
  /// Answers one request. Called on a pool thread. Pre: none. Throws nothing.
  virtual void Handle(Exchange* exchange) = 0;
};

/// Settings of a server; times are bounds on one read, one write and an idle
/// connection.
struct ServerSettings {
  Endpoint endpoint;
  unsigned max_threads = 64;
  size_t max_body_bytes = 1 << 20;
  std::chrono::milliseconds read_timeout{10000};
  std::chrono::milliseconds write_timeout{10000};
  std::chrono::milliseconds keep_alive{30000};
  /// PEM files; empty means no TLS.
  std::string certificate_file;
  std::string key_file;
};

/// A running server; it stops when destroyed.
class Server {
 public:
  /// Starts listening. Port 0 takes a free port. Null with `why` set on
  /// failure. Thread safe. Pre: `handler` outlives the server.
  static std::unique_ptr<Server> Start(const ServerSettings& settings,
                                       Handler* handler, std::string* why);
  virtual ~Server() = default;
  /// The address in use. Thread safe.
  virtual Endpoint endpoint() const = 0;
};

}  // namespace basilvalve::http
