// An accepted HTTP/1.1 connection that serves one request at a time.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Core/Net/memory_budget.h"
#include "Core/Net/message.h"
#include "Core/Net/socket.h"
#include "Core/Net/write_buffer.h"

namespace basilvalve::net {

/// Limits on the size and duration of requests.
struct ServerLimits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = uint64_t{4} * 1024 * 1024;
  Millis header_timeout{3000};
  Millis idle_timeout{15000};
  /// Passes a request whose body is too large to the handler, without its body
  /// and as the last of its connection, instead of responding with status 413.
  bool deliver_oversized = false;
  /// How many times the handler keeps the body of a request, the received one
  /// included. That much memory is reserved for it.
  size_t body_copies = 2;
};

/// A completely received request.
struct ServerRequest {
  MessageHead head;
  std::string body;
  /// When the last byte was read.
  Instant arrived;
  /// The body exceeded the limit and was discarded.
  bool body_too_large = false;
};

/// Bytes that a connection took from its caller or its owner and did not pass
/// on.
struct LostBytes {
  /// Bytes of responses that were not written to the socket.
  size_t unwritten = 0;
  /// Bytes of requests that were read and not delivered.
  size_t discarded = 0;

  bool any() const { return unwritten > 0 || discarded > 0; }
};

/// A request that a connection has received in part.
struct UnfinishedRequest {
  /// Bytes that it takes; zero if there is none.
  size_t bytes = 0;
  Instant began;
  Instant last_read;
};

/// A response that a connection has not written completely.
struct UnwrittenResponse {
  /// Bytes that it takes; zero if there is none.
  size_t bytes = 0;
  Instant last_written;
};

/// Reads requests and writes their responses in order. The owner holds it until
/// `on_closed` is called. Not thread safe.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Ptr = std::shared_ptr<ServerConnection>;
  using RequestHandler = std::function<void(const Ptr&, ServerRequest)>;
  using ClosedFn = std::function<void(ServerConnection*)>;

  ServerConnection(EventLoop* loop, std::unique_ptr<Socket> socket,
                   ServerLimits limits, RequestHandler on_request,
                   ClosedFn on_closed, MemoryBudget::Ptr memory = nullptr,
                   MemoryUse request_use = MemoryUse::kCallerRequests);
  ~ServerConnection();

  /// Starts reading. Call once. Not thread safe.
  void Start();
  /// Calls `fn` if the connection is lost before the response to the current
  /// request is complete. Not thread safe.
  void SetDisconnectHandler(std::function<void()> fn) {
    on_disconnect_ = std::move(fn);
  }
  /// Calls `fn` once when the write buffer falls below half of its high
  /// watermark. Not thread safe.
  void SetWritableHandler(std::function<void()> fn) {
    on_writable_ = std::move(fn);
  }
  /// Writes bytes of the current response, including its head and framing. Not
  /// thread safe.
  void Write(std::string_view bytes);
  /// Write, without a copy of a large part. Not thread safe.
  void WriteOwned(std::string bytes);
  /// Passes the memory of the current request on to its handler. Otherwise it
  /// is given back when the response is complete. Pre: the request was
  /// delivered. Not thread safe.
  MemoryReservation TakeRequestMemory();
  /// Completes the current response. Reads the next request or, if the response
  /// did not promise `keep_alive`, closes the connection once everything is
  /// written. Not thread safe.
  void EndResponse(bool keep_alive);
  /// Closes the connection after the buffered bytes, leaving the current
  /// response incomplete. Not thread safe.
  void Abort();
  /// Closes the connection immediately, even during a response, and calls the
  /// disconnect handler. Not thread safe.
  void Disconnect() { Terminate(/*peer_disconnected=*/true); }
  /// Closes the connection after the next response. Not thread safe.
  void CloseAfterNextResponse() { close_when_idle_ = true; }
  /// Closes the connection immediately if it is idle, otherwise after the next
  /// response. Not thread safe.
  void CloseWhenIdle();
  /// Replaces the limits. A body that is being read keeps the limit on its
  /// size; an idle connection may stay open for the whole new idle timeout. Not
  /// thread safe.
  void SetLimits(const ServerLimits& limits);
  /// Whether a request was received, even partially, and its response is not
  /// complete. Not thread safe.
  bool busy() const { return handling_ || parsing_; }
  /// Whether the other side has closed or broken the connection, also if the
  /// loop has not reported it yet. Not thread safe.
  bool HasPeerClosed();
  /// Whether the next response has to carry "Connection: close". Not thread
  /// safe.
  bool is_closing() const { return close_when_idle_; }
  /// What would be lost if the connection ended now, and what was. Not thread
  /// safe.
  LostBytes lost_bytes() const;
  /// Whether the other side closed or broke the connection. Not thread safe.
  bool is_closed_by_peer() const { return closed_by_peer_; }
  /// Not thread safe.
  UnfinishedRequest unfinished_request() const;
  /// Not thread safe.
  UnwrittenResponse unwritten_response() const;
  /// Ends a request that was received in part with this status, to make room
  /// for others; nothing of it ran. Not thread safe.
  void EvictRequest(int status);
  /// Whether there is neither a request nor a response under way. Not thread
  /// safe.
  bool IsIdle() const {
    return !busy() && !terminated_ && !half_closed_ && write_buffer_.empty();
  }
  /// Whether the last response was sent and the peer's close is awaited. Not
  /// thread safe.
  bool is_half_closed() const { return half_closed_ && !terminated_; }
  /// When the connection was accepted or last became idle. Not thread safe.
  Instant idle_since() const { return idle_since_; }
  /// Whether the write buffer exceeds its high watermark, so that the producer
  /// should pause. Not thread safe.
  bool is_write_buffer_full() const;

 private:
  void WaitForBytes();
  void OnReadable();
  void Consume(std::string_view bytes);
  void ParsePending();
  /// ParsePending from the loop, so that a series of pipelined requests does
  /// not recurse.
  void PostParsePending();
  /// Whether the next request may be parsed. A peer that does not read its
  /// responses gets no further ones.
  bool AcceptsRequest() const { return !handling_ && !is_write_buffer_full(); }
  void OnHead();
  void DeliverRequest(bool body_too_large);
  void SendErrorResponse(int status, std::string_view reason);
  void Flush();
  void OnWritten();
  void CloseGracefully();
  void CloseIdle();
  void Terminate(bool peer_disconnected);
  void StartIdleTimer();
  /// Reserves the memory of the request that is being read, whose body takes
  /// `body_copies` times its size. If there is none, refuses the request and
  /// returns false.
  bool ReserveRequest(size_t body_copies);
  /// Drops what was read of the request, and its memory.
  void DropRequest();
  /// Writes or keeps what was appended to the write buffer.
  void FlushAppended();
  /// Gives memory back that the write buffer takes no longer.
  void ShrinkResponseMemory();
  /// Ends the connection from the loop.
  void PostTerminate();

  EventLoop* loop_;
  std::unique_ptr<Socket> socket_;
  ServerLimits limits_;
  RequestHandler on_request_;
  ClosedFn on_closed_;
  std::function<void()> on_disconnect_;
  std::function<void()> on_writable_;
  MessageParser parser_;
  Timer timer_;
  MemoryBudget::Ptr memory_;
  MemoryUse request_use_;
  // Of the request that is being read or handled, and of pipelined input.
  MemoryReservation request_memory_;
  MemoryReservation response_memory_;
  size_t head_bytes_ = 0;
  Instant request_began_;
  Instant last_read_;
  Instant last_written_;
  Instant idle_since_;
  // Input that was discarded after the last response.
  size_t lingered_bytes_ = 0;
  std::string unparsed_;
  std::string body_;
  WriteBuffer write_buffer_;
  size_t discarded_bytes_ = 0;
  // Of a response that did not fit into the memory budget.
  size_t dropped_bytes_ = 0;
  bool handling_ = false;
  bool parsing_ = false;
  bool head_parsed_ = false;
  bool close_when_idle_ = false;
  bool close_after_write_ = false;
  bool half_closed_ = false;
  bool waiting_writable_ = false;
  bool terminated_ = false;
  // Part of the response was dropped; the connection ends from the loop.
  bool is_broken_ = false;
  bool closed_by_peer_ = false;
};

}  // namespace basilvalve::net
