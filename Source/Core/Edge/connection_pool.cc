#include "Core/Edge/connection_pool.h"

#include <algorithm>

namespace basilvalve::edge {
namespace {

// Shares of the server's keep-alive time after which an idle connection is not
// reused, as the server may be closing it. The margin is larger for a call that
// must not be sent twice.
constexpr double kIdleTimeoutShare = 0.8;
constexpr double kNonRetryableIdleTimeoutShare = 0.5;

}  // namespace

Millis ConnectionPool::MaxIdleTime(const net::ClientConnection& connection,
                                   bool is_non_retryable_call) const {
  Millis time = connection.server_keep_alive();
  if (time == Millis::zero()) {
    time = settings_.default_idle_timeout;
  }
  double share =
      is_non_retryable_call ? kNonRetryableIdleTimeoutShare : kIdleTimeoutShare;
  return Millis(
      static_cast<int64_t>(static_cast<double>(time.count()) * share));
}

ConnectionPool::Ptr ConnectionPool::Take(const net::Endpoint& to,
                                         bool is_non_retryable_call,
                                         std::optional<net::RequestKey> key) {
  auto it = idle_.find(to);
  if (it == idle_.end()) {
    return Open(to);
  }
  auto& connections = it->second;
  for (size_t i = connections.size(); i-- > 0;) {
    if (key && connections[i]->HasCarried(*key)) {
      continue;
    }
    Ptr connection = std::move(connections[i]);
    connections.erase(connections.begin() + static_cast<ptrdiff_t>(i));
    Micros idle = loop_->Now() - connection->idle_since();
    if (connection->is_reusable() &&
        idle < MaxIdleTime(*connection, is_non_retryable_call)) {
      return connection;
    }
    connection->Close();
  }
  return Open(to);
}

ConnectionPool::Ptr ConnectionPool::Open(const net::Endpoint& to) {
  ++opened_;
  if (budgets_.connections != nullptr && !budgets_.connections->has_room()) {
    while (!idle_.empty()) {
      CloseIdle(net::Endpoint(idle_.begin()->first));
    }
  }
  return net::ClientConnection::Open(loop_, to, settings_.connect_timeout,
                                     settings_.unacked_timeout, budgets_);
}

void ConnectionPool::Put(const net::Endpoint& to, Ptr connection) {
  auto& connections = idle_[to];
  if (!connection->is_reusable() ||
      connections.size() >= settings_.max_idle_per_endpoint) {
    connection->Close();
    return;
  }
  connections.push_back(std::move(connection));
}

void ConnectionPool::Sweep() {
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [&](const Ptr& connection) {
      bool is_expired =
          !connection->is_reusable() ||
          loop_->Now() - connection->idle_since() >=
              MaxIdleTime(*connection, /*is_non_retryable_call=*/false);
      if (is_expired) {
        connection->Close();
      }
      return is_expired;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

void ConnectionPool::CloseIdle(const net::Endpoint& to) {
  auto it = idle_.find(to);
  if (it == idle_.end()) {
    return;
  }
  for (const Ptr& connection : it->second) {
    connection->Close();
  }
  idle_.erase(it);
}

}  // namespace basilvalve::edge
