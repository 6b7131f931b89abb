// The connections that callers and peer instances have opened to an instance.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "Core/Edge/edge_metrics.h"
#include "Core/Net/server_connection.h"

namespace basilvalve::edge {

/// Who opened a connection.
enum class ConnectionSide { kCaller, kPeer };

/// Owns the accepted connections, applies the limits in force to them and winds
/// them up when the instance stops. Not thread safe.
class AcceptedConnections {
 public:
  using RequestHandler = std::function<void(
      ConnectionSide, const net::ServerConnection::Ptr&, net::ServerRequest)>;

  /// `loop` and `metrics` must outlive the object.
  AcceptedConnections(net::EventLoop* loop, EdgeMetrics* metrics,
                      RequestHandler on_request);

  /// Takes over a new connection and reads its requests. Not thread safe.
  void Accept(ConnectionSide side, std::unique_ptr<net::Socket> socket);
  /// Sets the limits of the callers' connections, open ones included. Not
  /// thread safe.
  void SetCallerLimits(const net::ServerLimits& limits);
  /// Has each connection close after its next response, callers' later
  /// connections included. Not thread safe.
  void AnnounceClose();
  /// Closes the idle connections. Pre: AnnounceClose. Not thread safe.
  void CloseIdle();
  /// Whether a part of a request has arrived whose response is not complete,
  /// or a response is not written. Not thread safe.
  bool HasUnfinishedWork() const;
  /// Bytes of responses that are not written yet. Not thread safe.
  size_t UnwrittenBytes() const;
  size_t size() const { return connections_.size(); }

 private:
  struct Connection {
    ConnectionSide side;
    net::ServerConnection::Ptr connection;
  };

  void OnClosed(net::ServerConnection* ended);

  net::EventLoop* loop_;
  EdgeMetrics* metrics_;
  RequestHandler on_request_;
  net::ServerLimits caller_limits_;
  bool is_closing_ = false;
  std::unordered_map<net::ServerConnection*, Connection> connections_;
};

}  // namespace basilvalve::edge
