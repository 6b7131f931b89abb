#include "UnitTests/Core/Net/test_server.h"

#include <catch2/catch.hpp>

namespace basilvalve::net {

TestServer::TestServer(EventLoop* loop,
                       const ServerConnection::RequestHandler& on_request,
                       const std::string& host) {
  auto listener = Listener::Create(
      loop, {host, 0}, Millis(2000),
      [this, loop, on_request](std::unique_ptr<Socket> socket) {
        connections_.push_back(std::make_shared<ServerConnection>(
            loop, std::move(socket), ServerLimits(), on_request,
            [](ServerConnection*) {}));
        connections_.back()->Start();
      });
  REQUIRE(listener);
  listener_ = std::move(*listener);
  endpoint_ = listener_->LocalEndpoint();
}

void TestServer::Stop() {
  listener_ = nullptr;
  for (const ServerConnection::Ptr& connection : connections_) {
    connection->Disconnect();
  }
}

}  // namespace basilvalve::net
