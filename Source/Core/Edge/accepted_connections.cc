#include "Core/Edge/accepted_connections.h"

#include <algorithm>
#include <vector>

#include "Core/Common/log.h"
#include "Core/Edge/eviction_policy.h"

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
                                         net::ConnectionBudgets budgets,
                                         RequestHandler on_request)
    : loop_(loop),
      metrics_(metrics),
      budgets_(std::move(budgets)),
      on_request_(std::move(on_request)) {
  budgets_.memory->SetShortageHandler(
      [this](net::MemoryUse use, size_t missing) {
        OnMemoryShortage(use, missing);
      });
}

AcceptedConnections::~AcceptedConnections() {
  budgets_.memory->SetShortageHandler(nullptr);
}

bool AcceptedConnections::HasRoomFor(ConnectionSide side) const {
  // A call of a caller takes a second connection, to an upstream or instance.
  return budgets_.connections->has_room() &&
         (side == ConnectionSide::kPeer ||
          callers_ < budgets_.connections->limit() / 2);
}

void AcceptedConnections::Accept(ConnectionSide side,
                                 std::unique_ptr<net::Socket> socket) {
  if (!HasRoomFor(side)) {
    CloseLongestIdle();
  }
  if (!HasRoomFor(side)) {
    metrics_->CountShed("connection_refused");
    LogEvent(LogLevel::kInfo, "edge", "connection_refused")
        .With("side", side == ConnectionSide::kPeer ? "peer" : "caller")
        .With("callers", static_cast<int64_t>(callers_))
        .With("connections",
              static_cast<int64_t>(budgets_.connections->used()));
    return;
  }
  bool is_peer = side == ConnectionSide::kPeer;
  auto connection = std::make_shared<net::ServerConnection>(
      loop_, std::move(socket), is_peer ? PeerLimits() : caller_limits_,
      [this, side](const net::ServerConnection::Ptr& caller,
                   net::ServerRequest request) {
        on_request_(side, caller, std::move(request));
      },
      [this](net::ServerConnection* ended) { OnClosed(ended); },
      budgets_.memory,
      is_peer ? net::MemoryUse::kOther : net::MemoryUse::kCallerRequests);
  callers_ += is_peer ? 0 : 1;
  connections_[connection.get()] = {side, connection,
                                    net::ConnectionSlot(budgets_.connections)};
  connection->Start();
  if (is_closing_ && side == ConnectionSide::kCaller) {
    connection->CloseAfterNextResponse();
  }
}

void AcceptedConnections::CloseLongestIdle() {
  const Connection* longest = nullptr;
  for (const auto& [raw, it] : connections_) {
    if (it.side == ConnectionSide::kCaller && it.connection->IsIdle() &&
        (longest == nullptr ||
         it.connection->idle_since() < longest->connection->idle_since())) {
      longest = &it;
    }
  }
  if (longest == nullptr) {
    return;
  }
  metrics_->CountShed("idle_connection");
  LogEvent(LogLevel::kInfo, "edge", "idle_connection_closed")
      .With("callers", static_cast<int64_t>(callers_));
  // Closing removes it from the map.
  net::ServerConnection::Ptr connection = longest->connection;
  connection->CloseWhenIdle();
}

void AcceptedConnections::OnMemoryShortage(net::MemoryUse use, size_t missing) {
  if (use == net::MemoryUse::kCallerRequests) {
    EvictRequests(missing);
  } else {
    EvictUnreadResponse(missing);
  }
}

void AcceptedConnections::LogShed(std::string_view event, size_t bytes) {
  metrics_->CountShed(event);
  LogEvent(LogLevel::kInfo, "edge", event)
      .With("bytes", static_cast<int64_t>(bytes))
      .With("buffered_bytes", static_cast<int64_t>(budgets_.memory->used()));
}

void AcceptedConnections::EvictRequests(size_t missing) {
  Instant now = loop_->Now();
  for (size_t freed = 0; freed < missing;) {
    net::ServerConnection* first = nullptr;
    net::UnfinishedRequest evicted;
    for (const auto& [raw, it] : connections_) {
      net::UnfinishedRequest request = it.connection->unfinished_request();
      if (it.side == ConnectionSide::kCaller && request.bytes > 0 &&
          (first == nullptr || IsEvictedBefore(request, evicted, now))) {
        first = raw;
        evicted = request;
      }
    }
    if (first == nullptr) {
      LogShed("request_refused", missing);
      return;
    }
    int status = IsStalled(evicted, now) ? 408 : 503;
    metrics_->CountShed("request_evicted");
    LogEvent(LogLevel::kInfo, "edge", "request_evicted")
        .With("status", status)
        .With("bytes", static_cast<int64_t>(evicted.bytes))
        .With("age_ms", std::chrono::floor<Millis>(now - evicted.began).count())
        .With("buffered_bytes", static_cast<int64_t>(budgets_.memory->used()));
    first->EvictRequest(status);
    freed += evicted.bytes;
  }
}

void AcceptedConnections::EvictUnreadResponse(size_t missing) {
  Instant now = loop_->Now();
  net::ServerConnection::Ptr largest;
  size_t bytes = 0;
  for (const auto& [raw, it] : connections_) {
    net::UnwrittenResponse response = it.connection->unwritten_response();
    if (it.side == ConnectionSide::kCaller && IsUnread(response, now) &&
        response.bytes > bytes) {
      largest = it.connection;
      bytes = response.bytes;
    }
  }
  // The memory comes free too late for the response that needs it now.
  LogShed("response_refused", missing);
  if (!largest) {
    return;
  }
  LogShed("response_evicted", bytes);
  // Posted, as the call whose response needs the memory is on the stack and may
  // be the one that ends.
  loop_->Post([largest] { largest->Disconnect(); });
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
  callers_ -= it->second.side == ConnectionSide::kCaller ? 1 : 0;
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
