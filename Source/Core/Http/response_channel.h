// The bytes of one answer on their way from a handler to its connection.
#pragma once

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

#include "Core/Net/server_connection.h"

namespace basilvalve::http {

/// Joins a handler, which may wait, and a connection, whose loop may not.
/// Thread safe.
class AnswerChannel : public std::enable_shared_from_this<AnswerChannel> {
 public:
  /// Pre: called on the thread of the loop, which outlives the channel.
  AnswerChannel(net::EventLoop* loop, net::ServerConnection::Ptr connection);

  /// The caller has left or the server ends: a waiting writer wakes. Thread
  /// safe.
  void SetDisconnectHandler();
  /// Thread safe.
  bool is_gone() const;
  /// Hands on bytes once the connection has room for more, which may take
  /// `most`; then the answer is given up. False if the caller has gone. Thread
  /// safe.
  bool Send(std::string bytes, std::chrono::milliseconds most);
  /// The answer is whole; nothing follows. Thread safe.
  void End(bool keep_alive);
  /// The answer ends in a way that does not look whole; nothing follows. Thread
  /// safe.
  void Abort();

 private:
  void Deliver(const std::string& bytes);
  void Accepted(size_t bytes);

  net::EventLoop* loop_;
  // Touched only on the loop, and let go there: it owns a socket.
  net::ServerConnection::Ptr connection_;
  // Delivered while the connection held too much. Touched only on the loop.
  size_t held_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  size_t unaccepted_ = 0;
  bool gone_ = false;
};

}  // namespace basilvalve::http
