#include "Core/Edge/accepted_connections.h"

#include <algorithm>
#include <vector>

#include "Core/Common/log.h"

namespace basilvalve::edge {
namespace {

net::ServerLimits PeerLimits() {
  net::ServerLimits limits;
  // The forwarding instance has already enforced the limits for callers.
  limits.header_bytes = 64 * 1024;
  limits.body_bytes = 64ULL * 1024 * 1024;
  limits.idle_timeout = Seconds(60);
  return limits;
}

}  // namespace

AcceptedConnections::AcceptedConnections(net::EventLoop* loop,
                                         EdgeMetrics* metrics,
                                         RequestHandler on_request)
    : loop_(loop), metrics_(metrics), on_request_(std::move(on_request)) {}

void AcceptedConnections::Accept(ConnectionSide side,
                                 std::unique_ptr<net::Socket> socket) {
  auto connection = std::make_shared<net::ServerConnection>(
      loop_, std::move(socket),
      side == ConnectionSide::kPeer ? PeerLimits() : caller_limits_,
      [this, side](const net::ServerConnection::Ptr& caller,
                   net::ServerRequest request) {
        on_request_(side, caller, std::move(request));
      },
      [this](net::ServerConnection* ended) { OnClosed(ended); });
  connections_[connection.get()] = {side, connection};
  connection->Start();
  if (is_closing_ && side == ConnectionSide::kCaller) {
    connection->CloseAfterNextResponse();
  }
}

void AcceptedConnections::OnClosed(net::ServerConnection* ended) {
  auto it = connections_.find(ended);
  if (it == connections_.end()) {
    return;
  }
  net::LostBytes lost = ended->lost_bytes();
  if (lost.any()) {
    metrics_->CountBytesLost(lost.unwritten, lost.discarded);
    LogEvent(LogLevel::kInfo, "edge", "connection_bytes_lost")
        .With("side",
              it->second.side == ConnectionSide::kPeer ? "peer" : "caller")
        .With("unwritten", static_cast<int64_t>(lost.unwritten))
        .With("discarded", static_cast<int64_t>(lost.discarded))
        .With("closed_by", ended->is_closed_by_peer() ? "peer" : "us")
        .With("draining", is_closing_ ? "yes" : "no");
  }
  connections_.erase(it);
}

void AcceptedConnections::SetCallerLimits(const net::ServerLimits& limits) {
  caller_limits_ = limits;
  for (const auto& [raw, it] : connections_) {
    if (it.side == ConnectionSide::kCaller) {
      it.connection->SetLimits(limits);
    }
  }
}

void AcceptedConnections::AnnounceClose() {
  is_closing_ = true;
  for (const auto& [raw, it] : connections_) {
    it.connection->CloseAfterNextResponse();
  }
}

void AcceptedConnections::CloseIdle() {
  // A connection that closes removes itself.
  std::vector<net::ServerConnection::Ptr> open;
  for (const auto& [raw, it] : connections_) {
    open.push_back(it.connection);
  }
  for (const auto& connection : open) {
    connection->CloseWhenIdle();
  }
}

bool AcceptedConnections::HasUnfinishedWork() const {
  return std::any_of(
      connections_.begin(), connections_.end(), [](const auto& entry) {
        const net::ServerConnection& it = *entry.second.connection;
        return it.busy() || it.lost_bytes().unwritten > 0;
      });
}

size_t AcceptedConnections::UnwrittenBytes() const {
  size_t n = 0;
  for (const auto& [raw, it] : connections_) {
    n += it.connection->lost_bytes().unwritten;
  }
  return n;
}

}  // namespace basilvalve::edge
