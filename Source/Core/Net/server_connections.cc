#include "Core/Net/server_connections.h"

#include <array>
#include <optional>

#include "Core/Net/eviction_policy.h"

namespace basilvalve::net {

std::string_view ShedReasonName(ShedReason reason) {
  switch (reason) {
    case ShedReason::kConnectionRefused:
      return "connection_refused";
    case ShedReason::kIdleConnection:
      return "idle_connection";
    case ShedReason::kSlowRequest:
      return "slow_request";
    case ShedReason::kUnreadConnection:
      return "unread_connection";
    case ShedReason::kRequestRefused:
      return "request_refused";
    case ShedReason::kRequestEvicted:
      return "request_evicted";
    case ShedReason::kResponseRefused:
      return "response_refused";
    case ShedReason::kResponseEvicted:
      return "response_evicted";
  }
  return "";
}

ServerConnections::ServerConnections(
    EventLoop* loop, ConnectionBudgets budgets,
    const ServerConnectionsSettings& settings,
    ServerConnection::RequestHandler on_request,
    ServerConnection::ClosedFn on_closed, ShedFn on_shed)
    : loop_(loop),
      budgets_(std::move(budgets)),
      settings_(settings),
      on_request_(std::move(on_request)),
      on_closed_(std::move(on_closed)),
      on_shed_(std::move(on_shed)) {}

bool ServerConnections::HasRoom() const {
  return connections_.size() < settings_.max_connections &&
         (budgets_.connections == nullptr || budgets_.connections->has_room());
}

ServerConnection::Ptr ServerConnections::Accept(
    std::unique_ptr<Socket> socket) {
  if (!HasRoom() && settings_.is_evictable) {
    MakeRoom();
  }
  if (!HasRoom()) {
    on_shed_({ShedReason::kConnectionRefused});
    return nullptr;
  }
  auto connection = std::make_shared<ServerConnection>(
      loop_, std::move(socket), settings_.limits, on_request_,
      [this](ServerConnection* ended) { OnClosed(ended); }, budgets_.memory,
      settings_.request_use);
  connections_[connection.get()] = {connection,
                                    ConnectionSlot(budgets_.connections)};
  connection->Start();
  return connection;
}

void ServerConnections::OnClosed(ServerConnection* ended) {
  if (connections_.count(ended) > 0) {
    on_closed_(ended);
    connections_.erase(ended);
  }
}

void ServerConnections::MakeRoom() {
  for (auto end :
       {&ServerConnections::EndClosing, &ServerConnections::CloseLongestIdle,
        &ServerConnections::EndSlowestRequest,
        &ServerConnections::EndLongestUnread}) {
    if ((this->*end)()) {
      return;
    }
  }
}

template <typename Rank>
ServerConnection::Ptr ServerConnections::FindLowest(const Rank& rank) const {
  ServerConnection::Ptr found;
  std::optional<Instant> lowest;
  for (const auto& [raw, it] : connections_) {
    std::optional<Instant> value = rank(*raw);
    if (value && (!lowest || *value < *lowest)) {
      found = it.connection;
      lowest = value;
    }
  }
  return found;
}

bool ServerConnections::EndClosing() {
  auto found = FindLowest([](const ServerConnection& it) {
    return it.is_half_closed() ? std::optional(it.idle_since()) : std::nullopt;
  });
  if (found) {
    found->Disconnect();
  }
  return found != nullptr;
}

bool ServerConnections::CloseLongestIdle() {
  auto found = FindLowest([](const ServerConnection& it) {
    return it.IsIdle() ? std::optional(it.idle_since()) : std::nullopt;
  });
  if (found) {
    on_shed_({ShedReason::kIdleConnection});
    found->CloseWhenIdle();
  }
  return found != nullptr;
}

bool ServerConnections::EndSlowestRequest() {
  Instant now = loop_->Now();
  auto found = FindLowest([now](const ServerConnection& it) {
    UnfinishedRequest request = it.unfinished_request();
    return IsSlow(request, now) ? std::optional(request.began) : std::nullopt;
  });
  if (found) {
    UnfinishedRequest request = found->unfinished_request();
    on_shed_({ShedReason::kSlowRequest, request.bytes, 408,
              std::chrono::floor<Millis>(now - request.began)});
    found->EvictRequest(408);
    // Its place is needed now.
    found->Disconnect();
  }
  return found != nullptr;
}

bool ServerConnections::EndLongestUnread() {
  Instant now = loop_->Now();
  auto found = FindLowest([now](const ServerConnection& it) {
    UnwrittenResponse response = it.unwritten_response();
    return IsStuck(response, now) ? std::optional(response.last_written)
                                  : std::nullopt;
  });
  if (found) {
    on_shed_(
        {ShedReason::kUnreadConnection, found->unwritten_response().bytes});
    found->Disconnect();
  }
  return found != nullptr;
}

void ServerConnections::OnMemoryShortage(MemoryUse use, size_t missing) {
  if (use == MemoryUse::kCallerRequests) {
    EvictRequests(missing);
  } else {
    EvictUnreadResponse(missing);
  }
}

void ServerConnections::EvictRequests(size_t missing) {
  Instant now = loop_->Now();
  for (size_t freed = 0; freed < missing;) {
    ServerConnection* first = nullptr;
    UnfinishedRequest evicted;
    for (const auto& [raw, it] : connections_) {
      UnfinishedRequest request = raw->unfinished_request();
      if (request.bytes > 0 &&
          (first == nullptr || IsEvictedBefore(request, evicted, now))) {
        first = raw;
        evicted = request;
      }
    }
    if (first == nullptr) {
      on_shed_({ShedReason::kRequestRefused, missing});
      return;
    }
    int status = IsStalled(evicted, now) ? 408 : 503;
    on_shed_({ShedReason::kRequestEvicted, evicted.bytes, status,
              std::chrono::floor<Millis>(now - evicted.began)});
    first->EvictRequest(status);
    freed += evicted.bytes;
  }
}

void ServerConnections::EvictUnreadResponse(size_t missing) {
  Instant now = loop_->Now();
  ServerConnection::Ptr largest;
  size_t bytes = 0;
  for (const auto& [raw, it] : connections_) {
    UnwrittenResponse response = raw->unwritten_response();
    if (IsUnread(response, now) && response.bytes > bytes) {
      largest = it.connection;
      bytes = response.bytes;
    }
  }
  // The memory comes free too late for the response that needs it now.
  on_shed_({ShedReason::kResponseRefused, missing});
  if (!largest) {
    return;
  }
  on_shed_({ShedReason::kResponseEvicted, bytes});
  // Posted, as the call whose response needs the memory is on the stack and may
  // be the one that ends.
  loop_->Post([largest] { largest->Disconnect(); });
}

void ServerConnections::SetLimits(const ServerLimits& limits) {
  settings_.limits = limits;
  for (const auto& [raw, it] : connections_) {
    raw->SetLimits(limits);
  }
}

std::vector<ServerConnection::Ptr> ServerConnections::All() const {
  std::vector<ServerConnection::Ptr> open;
  for (const auto& [raw, it] : connections_) {
    open.push_back(it.connection);
  }
  return open;
}

}  // namespace basilvalve::net
