// One HTTP/2 connection between two instances.
#pragma once

#include <nghttp2/nghttp2.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "Core/Common/clock.h"
#include "Core/Http/http_message.h"
#include "Core/Peer/peer_message.h"

namespace basilvalve::peer {

class Connection;

/// Timeouts and limits of connections between instances.
struct PeerSettings {
  /// A connection with open streams that has received nothing for this long is
  /// probed with an HTTP/2 PING; also the shortest time between two PINGs.
  Millis heartbeat_interval{500};
  /// A connection with open streams that has received nothing for this long is
  /// closed, and its streams fail.
  Millis silence_timeout{2000};
  /// A connection that has had no streams and received nothing for this long is
  /// closed.
  Millis idle_timeout{60000};
  /// HTTP/2 flow-control window of a stream: the bytes of a body that are
  /// buffered for a slow reader. A full window blocks only its own stream.
  size_t stream_window_bytes = 256 << 10;
  /// Outbound bytes of a stream at which further writes block.
  size_t send_buffer_bytes = 64 << 10;
  uint32_t max_streams = 2000;
  /// Accepted connections that a reactor shard holds at most.
  size_t max_accepted = SIZE_MAX;
};

/// State of one stream. All members are guarded by the mutex of the reactor
/// shard that owns the connection. `changed` is notified when a frame was
/// received, outbound data was taken for sending, or the stream closed.
struct StreamState {
  int32_t id = 0;
  /// Null once the stream or its connection is closed.
  Connection* connection = nullptr;
  std::condition_variable changed;

  // Inbound side.
  std::string status;
  std::map<std::string, std::string> headers;
  bool continue_received = false;
  bool head_received = false;
  bool trailers_received = false;
  std::deque<std::string> inbound;
  bool remote_closed = false;
  bool closed = false;
  bool reset = false;

  // Outbound side.
  std::string outbound;
  bool outbound_open = true;
  bool deferred = false;
  SignedText end;
};

using StreamPtr = std::shared_ptr<StreamState>;

/// A TCP connection and its HTTP/2 session. Every method requires the mutex of
/// the owning shard, because the nghttp2 session is not thread safe and is used
/// from callers' threads as well as the shard's own thread.
class Connection {
 public:
  /// Called with the mutex held when the header of a new stream has been
  /// received. It must not block.
  using OnRequest = std::function<void(const StreamPtr&)>;

  /// Takes ownership of a socket. `connected` tells whether it is already
  /// connected. Returns null if the HTTP/2 session cannot be created; the
  /// socket is then closed. Pre: the socket is non-blocking; `on_request` is
  /// set if `is_server`.
  static std::unique_ptr<Connection> Create(int fd, bool is_server,
                                            bool connected,
                                            const PeerSettings& settings,
                                            Instant now, OnRequest on_request);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int fd() const { return fd_; }
  bool dead() const { return dead_; }
  bool WantsWrite() const;
  bool HasStreams() const { return !streams_.empty(); }
  /// When the connection last had a stream, or was created.
  Instant last_active() const { return last_active_; }

  /// Starts a request stream. Returns null if the connection is closed or
  /// nghttp2 rejects the request.
  StreamPtr StartRequest(const SignedText& header, Instant now);
  /// Queues the 100 (Continue) response, after which the client sends its body.
  void SendContinue(const StreamPtr& stream);
  /// Queues the response head; the response body is read from `outbound`.
  void SendResponseHead(const StreamPtr& stream, const std::string& head);
  /// Queues a 503 response that carries the end record as headers and has no
  /// body.
  void SendRefusal(const StreamPtr& stream, const SignedText& end);
  /// Resumes sending after data was added to `outbound` or `outbound_open` was
  /// cleared.
  void ResumeOutbound(const StreamPtr& stream);
  /// Returns `bytes` read by the application to the stream's flow-control
  /// window, so that the other side may send more.
  void MarkConsumed(const StreamPtr& stream, size_t bytes);
  /// Queues a RST_STREAM with this HTTP/2 error code, which ends both
  /// directions.
  void Reset(const StreamPtr& stream, uint32_t error);

  /// Reads from the socket and feeds the HTTP/2 session. Called when the socket
  /// is readable or has failed.
  void OnReadable(Instant now);
  void OnWritable();
  /// Sends heartbeats and closes a silent or idle connection. Called
  /// periodically.
  void OnTick(Instant now);
  /// Marks the connection as dead and fails its streams. The socket is closed
  /// on destruction.
  void Close();

 private:
  Connection(int fd, bool is_server, bool connected,
             const PeerSettings& settings, Instant now, OnRequest on_request);

  bool Init();
  StreamPtr FindStream(int32_t id);
  void OnHeadersComplete(const StreamPtr& stream, bool end_stream);

  static int OnBeginHeaders(nghttp2_session* session,
                            const nghttp2_frame* frame, void* self);
  static int OnHeader(nghttp2_session* session, const nghttp2_frame* frame,
                      const uint8_t* name, size_t name_bytes,
                      const uint8_t* value, size_t value_bytes, uint8_t flags,
                      void* self);
  static int OnFrame(nghttp2_session* session, const nghttp2_frame* frame,
                     void* self);
  static int OnData(nghttp2_session* session, uint8_t flags, int32_t id,
                    const uint8_t* data, size_t bytes, void* self);
  static int OnStreamClose(nghttp2_session* session, int32_t id, uint32_t error,
                           void* self);
  static ssize_t ReadOutbound(nghttp2_session* session, int32_t id,
                              uint8_t* buf, size_t bytes, uint32_t* flags,
                              nghttp2_data_source* source, void* self);

  int fd_;
  bool is_server_;
  bool connected_;
  PeerSettings settings_;
  OnRequest on_request_;
  nghttp2_session* session_ = nullptr;
  std::map<int32_t, StreamPtr> streams_;
  std::string unsent_;
  Instant last_received_;
  Instant last_active_;
  Instant last_ping_;
  bool dead_ = false;
};

}  // namespace basilvalve::peer
