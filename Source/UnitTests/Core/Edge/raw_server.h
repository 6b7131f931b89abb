// A server on plain sockets whose every byte a test decides.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Core/Flow/upstream.h"

namespace basilvalve::edge {

/// Accepts, reads and writes only when the test calls it, so that a test can
/// put bytes into a socket's buffer while the loop of the instance does not
/// run. Reads requests with Content-Length. Not thread safe.
class RawServer {
 public:
  struct Connection {
    int fd = -1;
    bool is_reading = true;
    /// Bytes were sent on it that answer no request.
    bool has_stray_bytes = false;
    /// A request was written to it after such bytes.
    bool is_used_after_stray = false;
    /// The other side closed it.
    bool is_ended = false;
    std::string received;
  };
  struct Request {
    std::string call_id;
    std::string target;
    std::string resume_after;
  };
  using AcceptFn = std::function<void(Connection*)>;
  using RequestFn = std::function<void(Connection*, const Request&)>;

  enum class Queue {
    kNormal,
    /// Connections to it stay pending.
    kFull,
  };

  explicit RawServer(Queue queue = Queue::kNormal);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  /// Limits what new connections receive while the test does not read, so that
  /// a sender is sure to be held up.
  void LimitReceiveBuffer();
  /// Accepts and reads what there is, and calls the handlers.
  void Poll();
  /// Called for a new connection.
  void SetAcceptHandler(AcceptFn fn) { on_accept_ = std::move(fn); }
  /// Called once the head of a request with a body is there, but not the body.
  void SetHeadHandler(RequestFn fn) { on_head_ = std::move(fn); }
  /// Called for each complete request.
  void SetRequestHandler(RequestFn fn) { on_request_ = std::move(fn); }

  /// Sends bytes; does nothing on a connection that has ended.
  static void Send(Connection* to, const std::string& bytes);
  /// Sends the end of the stream.
  static void End(Connection* connection);
  /// Resets the connection; what was sent before may still be read.
  static void Reset(Connection* connection);

  const std::vector<std::unique_ptr<Connection>>& connections() const {
    return connections_;
  }
  uint16_t port() const { return port_; }
  /// The registration of an upstream at this address.
  flow::UpstreamRecord Record(const std::string& id) const;

 private:
  void Read(Connection* connection);
  void Parse(Connection* connection);

  int listener_ = -1;
  // Takes the only place in a full queue.
  int filler_ = -1;
  uint16_t port_ = 0;
  AcceptFn on_accept_;
  RequestFn on_head_;
  RequestFn on_request_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

}  // namespace basilvalve::edge
