// Loopback server that passes each request to a test.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Core/Net/server_connection.h"

namespace basilvalve::net {

/// Listens on an ephemeral port. Not thread safe.
class TestServer {
 public:
  TestServer(EventLoop* loop,
             const ServerConnection::RequestHandler& on_request,
             const std::string& host = "127.0.0.1");

  Endpoint endpoint() const { return endpoint_; }
  /// Closes all connections and stops listening, as the end of a process does.
  void Stop();

 private:
  std::vector<ServerConnection::Ptr> connections_;
  std::unique_ptr<Listener> listener_;
  Endpoint endpoint_;
};

}  // namespace basilvalve::net
