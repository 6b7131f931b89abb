// The connections that callers and peer instances have opened to an instance.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "Core/Edge/edge_metrics.h"
#include "Core/Net/client_connection.h"
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

  /// `loop` and `metrics` must outlive the object. Both budgets are set.
  AcceptedConnections(net::EventLoop* loop, EdgeMetrics* metrics,
                      net::ConnectionBudgets budgets,
                      RequestHandler on_request);
  ~AcceptedConnections();
  AcceptedConnections(const AcceptedConnections&) = delete;
  AcceptedConnections& operator=(const AcceptedConnections&) = delete;

  /// Takes over a new connection and reads its requests, or closes it if there
  /// is no room for it. Not thread safe.
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
  /// Connections of callers. Not thread safe.
  size_t callers() const { return callers_; }

 private:
  struct Connection {
    ConnectionSide side;
    net::ServerConnection::Ptr connection;
    net::ConnectionSlot slot;
  };

  void OnClosed(net::ServerConnection* ended);
  bool HasRoomFor(ConnectionSide side) const;
  /// Closes the callers' connection that has been idle for the longest time.
  void CloseLongestIdle();
  /// Ends requests or responses of callers until `missing` bytes are free or
  /// will be.
  void OnMemoryShortage(net::MemoryUse use, size_t missing);
  void EvictRequests(size_t missing);
  void EvictUnreadResponse(size_t missing);
  /// Counts and logs what was ended or refused for want of memory.
  void LogShed(std::string_view event, size_t bytes);

  net::EventLoop* loop_;
  EdgeMetrics* metrics_;
  net::ConnectionBudgets budgets_;
  RequestHandler on_request_;
  net::ServerLimits caller_limits_;
  bool is_closing_ = false;
  size_t callers_ = 0;
  std::unordered_map<net::ServerConnection*, Connection> connections_;
};

}  // namespace basilvalve::edge
