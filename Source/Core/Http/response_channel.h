// Passes the bytes of one response from its handler to its connection.
#pragma once

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

#include "Core/Net/server_connection.h"

namespace basilvalve::http {

/// Connects a handler, which may block, to a connection, whose event loop must
/// not. Thread safe.
class ResponseChannel : public std::enable_shared_from_this<ResponseChannel> {
 public:
  /// `request_memory` is given back when the response has ended. Pre: called on
  /// the thread of the loop; the loop outlives the channel.
  ResponseChannel(net::EventLoop* loop, net::ServerConnection::Ptr connection,
                  net::MemoryReservation request_memory);

  /// Records that the caller has disconnected or the server stops, and wakes a
  /// blocked writer. Thread safe.
  void MarkDisconnected();
  /// Whether the caller has disconnected or the response was aborted. Thread
  /// safe.
  bool is_disconnected() const;
  /// Queues bytes for the connection, blocking while too many are unaccepted.
  /// After `timeout` it aborts the response. Returns false if the response was
  /// aborted or the caller has disconnected. Thread safe.
  bool Send(std::string bytes, std::chrono::milliseconds timeout);
  /// Completes the response; nothing may follow. Thread safe.
  void End(bool keep_alive);
  /// Ends the response so that the caller sees it as incomplete; nothing may
  /// follow. Thread safe.
  void Abort();

 private:
  void WriteToConnection(std::string bytes);
  void OnAccepted(size_t bytes);

  net::EventLoop* loop_;
  // Used and released only on the loop thread, as it owns a socket.
  net::ServerConnection::Ptr connection_;
  // Used only on the loop thread.
  net::MemoryReservation request_memory_;
  // Bytes written while the write buffer was full. Used only on the loop
  // thread.
  size_t backpressured_bytes_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  size_t unaccepted_bytes_ = 0;
  bool disconnected_ = false;
};

}  // namespace basilvalve::http
