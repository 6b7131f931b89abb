#include "Core/Edge/connection_pool.h"

#include <algorithm>

namespace basilvalve::edge {
namespace {

// Shares of the server's own time: past them it may be closing already. A call
// that cannot be sent again keeps further away from it.
constexpr double kTrustedShare = 0.8;
constexpr double kSingleUseShare = 0.5;

}  // namespace

Millis ConnectionPool::TrustedFor(const net::ClientConnection& connection,
                                  bool is_single_use_call) const {
  Millis time = connection.server_keep_alive();
  if (time == Millis::zero()) {
    time = settings_.default_idle_timeout;
  }
  double share = is_single_use_call ? kSingleUseShare : kTrustedShare;
  return Millis(
      static_cast<int64_t>(static_cast<double>(time.count()) * share));
}

ConnectionPool::Ptr ConnectionPool::Take(const net::Endpoint& to,
                                         bool is_single_use_call) {
  auto it = idle_.find(to);
  while (it != idle_.end() && !it->second.empty()) {
    Ptr connection = std::move(it->second.back());
    it->second.pop_back();
    Micros idle = loop_->Now() - connection->idle_since();
    if (connection->is_reusable() &&
        idle < TrustedFor(*connection, is_single_use_call)) {
      return connection;
    }
    connection->Close();
  }
  ++opened_;
  return net::ClientConnection::Open(loop_, to, settings_.connect_timeout,
                                     settings_.unacked_timeout);
}

void ConnectionPool::Put(const net::Endpoint& to, Ptr connection) {
  auto& list = idle_[to];
  if (!connection->is_reusable() ||
      list.size() >= settings_.max_idle_per_endpoint) {
    connection->Close();
    return;
  }
  list.push_back(std::move(connection));
}

void ConnectionPool::Sweep() {
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [&](const Ptr& connection) {
      bool is_old = !connection->is_reusable() ||
                    loop_->Now() - connection->idle_since() >=
                        TrustedFor(*connection, /*is_single_use_call=*/false);
      if (is_old) {
        connection->Close();
      }
      return is_old;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

void ConnectionPool::Forget(const net::Endpoint& to) {
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
