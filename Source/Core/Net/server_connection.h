// One accepted HTTP/1.1 connection: requests in, answers out, one at a time.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Core/Net/message.h"
#include "Core/Net/socket.h"
#include "Core/Net/write_buffer.h"

namespace basilvalve::net {

/// What a caller may send and how long it may take.
struct ServerLimits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = uint64_t{4} * 1024 * 1024;
  Millis header_timeout{3000};
  Millis idle_timeout{15000};
  // A request whose body is too large is handed on without it, as the last of
  // its connection, instead of being refused here.
  bool hands_on_oversized = false;
};

/// A request that was read whole.
struct ServerRequest {
  MessageHead head;
  std::string body;
  /// When its last byte was read.
  Instant arrived;
  // The body passed the limit and was not kept.
  bool body_too_large = false;
};

/// Reads requests and writes their answers in order. Lives as long as a
/// callback or its holder needs it. Not thread safe.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Ptr = std::shared_ptr<ServerConnection>;
  using RequestFn = std::function<void(const Ptr&, ServerRequest)>;
  using EndedFn = std::function<void(ServerConnection*)>;

  ServerConnection(EventLoop* loop, std::unique_ptr<Socket> socket,
                   ServerLimits limits, RequestFn on_request, EndedFn on_ended);
  ~ServerConnection();

  /// Starts to read. Call once. Not thread safe.
  void Start();
  /// Calls `fn` if the caller leaves before the answer to the current request
  /// is whole. Not thread safe.
  void SetDisconnectHandler(std::function<void()> fn) {
    on_gone_ = std::move(fn);
  }
  /// Calls `fn` once when less than half of the write buffer is left. Not
  /// thread safe.
  void SetWritableHandler(std::function<void()> fn) {
    on_drained_ = std::move(fn);
  }
  /// Adds bytes of the current answer, head and framing included. Not thread
  /// safe.
  void Write(std::string_view bytes);
  /// The current answer is whole; then the next request is read, or the
  /// connection closed once all is written. Not thread safe.
  void EndResponse(bool keep_alive);
  /// Ends the connection so that the current answer does not look whole. Not
  /// thread safe.
  void Abort();
  /// Ends the connection at once, also in the middle of an answer; whoever
  /// gives it is told that the caller has gone. Not thread safe.
  void Cut() { Drop(/*gone=*/true); }
  /// The next answer is the last. Not thread safe.
  void CloseAfterNextResponse() { close_when_idle_ = true; }
  /// The same, and closes the connection at once if it has nothing in hand.
  /// Not thread safe.
  void CloseWhenIdle();
  /// Whether a request was read, even in part, and is not answered. Not thread
  /// safe.
  bool busy() const { return handling_ || parser_used_; }
  /// Whether the next answer has to say that the connection closes. Not thread
  /// safe.
  bool is_closing() const { return close_when_idle_; }
  /// Whether so much is unwritten that the source should pause. Not thread
  /// safe.
  bool is_write_buffer_full() const;

 private:
  void WaitForBytes();
  void OnReadable();
  void Consume(std::string_view bytes);
  void ParsePending();
  void OnHead();
  void HandOn(bool body_too_large);
  void Refuse(int status, std::string_view reason);
  void Flush();
  void OnWritten();
  void CloseGently();
  void Drop(bool gone);
  void ArmIdleTimer();

  EventLoop* loop_;
  std::unique_ptr<Socket> socket_;
  ServerLimits limits_;
  RequestFn on_request_;
  EndedFn on_ended_;
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
  MessageParser parser_;
  Timer timer_;
  std::string unparsed_;
  std::string body_;
  Outbox outbox_;
  bool handling_ = false;
  bool parser_used_ = false;
  bool head_seen_ = false;
  bool close_when_idle_ = false;
  bool close_after_write_ = false;
  bool half_closed_ = false;
  bool waiting_write_ = false;
  bool ended_ = false;
};

}  // namespace basilvalve::net
