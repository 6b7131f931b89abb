// The connections that callers and peer instances have opened to an instance.
#pragma once

#include <functional>
#include <memory>

#include "Core/Edge/edge_metrics.h"
#include "Core/Net/server_connections.h"

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
  size_t size() const { return callers_.size() + peers_.size(); }
  /// Connections of callers. Not thread safe.
  size_t callers() const { return callers_.size(); }

 private:
  net::ServerConnections MakeSet(ConnectionSide side);
  net::ServerConnections& SetOf(ConnectionSide side) {
    return side == ConnectionSide::kCaller ? callers_ : peers_;
  }
  /// The open connections, which may be closed while the result is used.
  std::vector<net::ServerConnection::Ptr> All() const;
  void LogLostBytes(ConnectionSide side, const net::ServerConnection& ended);

  net::EventLoop* loop_;
  EdgeMetrics* metrics_;
  net::ConnectionBudgets budgets_;
  RequestHandler on_request_;
  bool is_closing_ = false;
  net::ServerConnections callers_;
  net::ServerConnections peers_;
};

/// Counts and logs what connections of an instance had to give way.
/// `side`: who opened them. Thread safe.
void ReportShed(EdgeMetrics* metrics, std::string_view side,
                const net::ShedEvent& event);

}  // namespace basilvalve::edge
