// Connections that are kept between requests, by endpoint.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "Core/Net/client_connection.h"

namespace basilvalve::edge {

/// How connections are made.
struct PoolSettings {
  Millis connect_timeout{1000};
  Millis unacked_timeout{1500};
  /// Idle connections kept for one endpoint.
  size_t max_idle_per_endpoint = 32;
  /// How long an idle one is trusted when the server does not say.
  Millis default_idle_timeout{3000};
};

/// Not thread safe.
class ConnectionPool {
 public:
  using Ptr = std::shared_ptr<net::ClientConnection>;

  ConnectionPool(net::EventLoop* loop, const PoolSettings& settings)
      : loop_(loop), settings_(settings) {}

  /// A connection for one request. With `is_single_use_call`, which cannot be
  /// sent again, only one that the server cannot be closing.
  Ptr Take(const net::Endpoint& to, bool is_single_use_call);
  /// Gives one back after its answer; closes it if it may not be used again.
  void Put(const net::Endpoint& to, Ptr connection);
  /// Closes idle connections that are past their time.
  void Sweep();
  /// Closes the idle connections of an endpoint.
  void Forget(const net::Endpoint& to);
  /// Connections opened so far.
  uint64_t opened() const { return opened_; }

 private:
  Millis TrustedFor(const net::ClientConnection& connection,
                    bool is_single_use_call) const;

  net::EventLoop* loop_;
  PoolSettings settings_;
  std::map<net::Endpoint, std::vector<Ptr>> idle_;
  uint64_t opened_ = 0;
};

}  // namespace basilvalve::edge
