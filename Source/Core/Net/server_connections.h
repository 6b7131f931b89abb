// The accepted connections of one kind of peer, within budgets.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Net/connection_budget.h"
#include "Core/Net/server_connection.h"

namespace basilvalve::net {

/// What was refused or ended for want of room.
enum class ShedReason {
  kConnectionRefused,
  kIdleConnection,
  kSlowRequest,
  kUnreadConnection,
  kRequestRefused,
  kRequestEvicted,
  kResponseRefused,
  kResponseEvicted,
};

/// Name of a reason in logs and metrics. Thread safe.
std::string_view ShedReasonName(ShedReason reason);

/// One thing that was refused or ended for want of room.
struct ShedEvent {
  ShedReason reason;
  /// Memory that was missing or came free; zero for connections.
  size_t bytes = 0;
  /// Of the response to the request, if it had one.
  int status = 0;
  /// Since the first byte of the request.
  Millis age{0};
};

/// Limits of one set of connections.
struct ServerConnectionsSettings {
  ServerLimits limits;
  /// The budget may have room for fewer.
  size_t max_connections = SIZE_MAX;
  MemoryUse request_use = MemoryUse::kCallerRequests;
  /// Whether connections of this set give way to new ones.
  bool is_evictable = true;
};

/// Owns connections until they are closed. When there is no room, connections
/// without a request in progress give way first. Not thread safe.
class ServerConnections {
 public:
  /// Called with what was refused or ended.
  using ShedFn = std::function<void(const ShedEvent&)>;

  /// `loop` must outlive the object. Without a budget there is no limit.
  /// `on_closed` is called before a closed connection is removed.
  ServerConnections(EventLoop* loop, ConnectionBudgets budgets,
                    const ServerConnectionsSettings& settings,
                    ServerConnection::RequestHandler on_request,
                    ServerConnection::ClosedFn on_closed, ShedFn on_shed);
  ServerConnections(const ServerConnections&) = delete;
  ServerConnections& operator=(const ServerConnections&) = delete;

  /// Reads the requests of a new connection, or closes it if there is no room
  /// for it. Returns nullptr in that case. Not thread safe.
  ServerConnection::Ptr Accept(std::unique_ptr<Socket> socket);
  /// Whether there is room for one more connection. Not thread safe.
  bool HasRoom() const;
  /// Ends the connection that is missed least: one that is closing anyway, the
  /// longest idle, the one whose request has been incomplete for the longest
  /// time or the one whose client has read nothing for the longest time, in
  /// this order. Ends none if all others are at work. Not thread safe.
  void MakeRoom();
  /// Ends incomplete requests until `missing` bytes are free. Not thread safe.
  void EvictRequests(size_t missing);
  /// Ends the connection with the largest response that its client does not
  /// read, from the loop. Not thread safe.
  void EvictUnreadResponse(size_t missing);
  /// EvictRequests or EvictUnreadResponse, as the use requires. Not thread
  /// safe.
  void OnMemoryShortage(MemoryUse use, size_t missing);
  /// Sets the limits of open and later connections. Not thread safe.
  void SetLimits(const ServerLimits& limits);
  /// Not thread safe.
  size_t size() const { return connections_.size(); }
  /// The open connections, which may be closed while the result is used. Not
  /// thread safe.
  std::vector<ServerConnection::Ptr> All() const;

 private:
  struct Entry {
    ServerConnection::Ptr connection;
    ConnectionSlot slot;
  };

  void OnClosed(ServerConnection* ended);
  /// The connection with the lowest rank, which may have none.
  template <typename Rank>
  ServerConnection::Ptr FindLowest(const Rank& rank) const;
  bool EndClosing();
  bool CloseLongestIdle();
  bool EndSlowestRequest();
  bool EndLongestUnread();

  EventLoop* loop_;
  ConnectionBudgets budgets_;
  ServerConnectionsSettings settings_;
  ServerConnection::RequestHandler on_request_;
  ServerConnection::ClosedFn on_closed_;
  ShedFn on_shed_;
  std::unordered_map<ServerConnection*, Entry> connections_;
};

}  // namespace basilvalve::net
