// Pool of idle client connections, by endpoint.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "Core/Net/client_connection.h"

namespace basilvalve::edge {

/// Timeouts and limits of a pool's connections.
struct PoolSettings {
  Millis connect_timeout{1000};
  Millis unacked_timeout{1500};
  /// Maximum number of idle connections per endpoint.
  size_t max_idle_per_endpoint = 32;
  /// Keep-alive time assumed if the server does not announce one.
  Millis default_idle_timeout{3000};
};

/// Reuses connections between requests. Not thread safe.
class ConnectionPool {
 public:
  using Ptr = std::shared_ptr<net::ClientConnection>;

  ConnectionPool(net::EventLoop* loop, const PoolSettings& settings,
                 net::ConnectionBudgets budgets = {})
      : loop_(loop), settings_(settings), budgets_(std::move(budgets)) {}

  /// Returns an idle connection or opens a new one. A call that must not be
  /// sent twice (`is_non_retryable_call`) only gets an idle connection that
  /// the server cannot be closing yet. A call with a key never gets a
  /// connection that has carried it. Not thread safe.
  Ptr Take(const net::Endpoint& to, bool is_non_retryable_call,
           std::optional<net::RequestKey> key);
  /// Opens a new connection. If there is no room for it, closes the idle ones.
  /// Not thread safe.
  Ptr Open(const net::Endpoint& to);
  /// Returns a connection after its response; closes it if it is not reusable
  /// or the pool is full.
  void Put(const net::Endpoint& to, Ptr connection);
  /// Closes idle connections that have expired.
  void Sweep();
  /// Closes all idle connections of an endpoint.
  void CloseIdle(const net::Endpoint& to);
  /// Number of connections opened since the start.
  uint64_t opened() const { return opened_; }

 private:
  Millis MaxIdleTime(const net::ClientConnection& connection,
                     bool is_non_retryable_call) const;

  net::EventLoop* loop_;
  PoolSettings settings_;
  net::ConnectionBudgets budgets_;
  std::map<net::Endpoint, std::vector<Ptr>> idle_;
  uint64_t opened_ = 0;
};

}  // namespace basilvalve::edge
