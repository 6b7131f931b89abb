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

/// Periods and bounds of the streams between instances.
struct PeerSettings {
  /// A connection with open streams that is silent this long is probed.
  Millis heartbeat_interval{500};
  /// One that is silent this long is given up, and its streams are lost.
  Millis silence_timeout{2000};
  /// A connection without streams is closed after this time.
  Millis idle_timeout{60000};
  /// Bytes of an answer buffered for a slow reader; it holds up only its own
  /// stream.
  size_t stream_window_bytes = 256 << 10;
  /// Bytes buffered for sending before a writer has to wait.
  size_t send_buffer_bytes = 64 << 10;
  uint32_t max_streams = 2000;
};

/// State of one stream. All members are guarded by the mutex of the reactor
/// shard that owns the connection; `changed` is signalled after each change.
struct StreamState {
  int32_t id = 0;
  /// Null once the stream or its connection is closed.
  Connection* connection = nullptr;
  std::condition_variable changed;

  // Received.
  std::string status;
  std::map<std::string, std::string> headers;
  bool continue_received = false;
  bool head_received = false;
  bool trailers_received = false;
  std::deque<std::string> inbound;
  bool remote_closed = false;
  bool closed = false;
  bool reset = false;

  // To be sent.
  std::string outbound;
  bool outbound_open = true;
  bool deferred = false;
  SignedText end;
};

using StreamPtr = std::shared_ptr<StreamState>;

/// A connection and its HTTP/2 session. Every method is called with the mutex
/// of the owning shard held; that makes the session, which is not thread safe,
/// usable from callers' threads and from the shard's own thread.
class Connection {
 public:
  /// Called, with the mutex held, when a request header has arrived.
  using OnRequest = std::function<void(const StreamPtr&)>;

  /// Takes over a socket. For a server, `on_request` is set. Null if the
  /// library refuses. Pre: the socket is non-blocking.
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

  /// Starts a request stream; null if the connection cannot take one.
  StreamPtr StartRequest(const SignedText& header, Instant now);
  /// Sends the interim answer that lets the other side send its body.
  void SendContinue(const StreamPtr& stream);
  /// Sends the beginning of an answer whose body is taken from `outbound`.
  void SendResponseHead(const StreamPtr& stream, const std::string& head);
  /// Sends a refusal: an end record without a body.
  void SendRefusal(const StreamPtr& stream, const SignedText& end);
  /// Sends what was added to `outbound`.
  void ResumeOutbound(const StreamPtr& stream);
  /// Tells the other side that this much was read, so that it may send more.
  void MarkConsumed(const StreamPtr& stream, size_t bytes);
  /// Ends a stream at once, in both directions.
  void Reset(const StreamPtr& stream, uint32_t error);

  /// Handles readiness of the socket.
  void OnReadable(Instant now);
  void OnWritable();
  /// Sends heartbeats and notices a silent connection.
  void OnTick(Instant now);
  /// Closes the connection; its streams are lost.
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
