// One HTTP/1.1 connection to a server: requests out, answers in, one at a time.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "Core/Net/message.h"
#include "Core/Net/socket.h"
#include "Core/Net/write_buffer.h"

namespace basilvalve::net {

/// How an exchange on a client connection failed.
enum class ClientError {
  /// No connection came about: nothing was sent.
  kConnectFailed,
  /// The connection ended before the answer was whole.
  kConnectionClosed,
  /// What came is no answer in the protocol.
  kMalformedResponse,
};

/// Told about the answer to one request. Callbacks come from the loop.
class ClientObserver {
 public:
  virtual ~ClientObserver() = default;
  /// The head is in. False drops this answer, as one that belongs to another
  /// request, and waits for the next.
  virtual bool OnHead(const MessageHead& head) = 0;
  /// Some of the body, without framing.
  virtual void OnBody(std::string_view bytes) = 0;
  /// The answer is whole.
  virtual void OnDone() = 0;
  /// Nothing more comes.
  virtual void OnError(ClientError parse_error) = 0;
};

/// A connection that is kept from one request to the next. Not thread safe.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  /// Starts to connect. `connect_time` bounds it, `dead_after` the time that
  /// sent data may stay unacknowledged. Not thread safe.
  static std::shared_ptr<ClientConnection> Open(EventLoop* loop,
                                                const Endpoint& to,
                                                Millis connect_time,
                                                Millis dead_after);
  ~ClientConnection();

  /// Sends a request; it waits for the connection. Pre: is_idle(); `observer`
  /// lives until it is told the end or Close is called. Not thread safe.
  void Send(std::string bytes, ClientObserver* observer);
  /// Ends the connection; no observer is told. Not thread safe.
  void Close();
  /// Reading stops until Resume, so that a fast server waits for a slow
  /// reader. Not thread safe.
  void Pause() { paused_ = true; }
  /// Not thread safe.
  void Resume();
  /// Whether another request may be sent on it. Not thread safe.
  bool is_reusable() const { return reusable_ && !closed_; }
  /// Not thread safe.
  bool is_idle() const { return observer_ == nullptr; }
  /// Not thread safe.
  bool is_connected() const { return connected_; }
  /// Whether this request has left, at least in part. Not thread safe.
  bool has_sent() const { return outbox_.written() > written_before_; }
  /// When the last answer ended, or the connection was made. Not thread safe.
  Instant idle_since() const { return idle_since_; }
  /// How long the server keeps it open without a request; zero if it did not
  /// say. Not thread safe.
  Millis server_keep_alive() const { return server_keep_alive_; }

 private:
  explicit ClientConnection(EventLoop* loop);
  void OnConnected(bool connected);
  void Flush();
  void WaitForBytes();
  void OnReadable();
  void ParseAnswer();
  void FinishAnswer();
  void FailWith(ClientError parse_error);
  void ReadKeepAlive();

  EventLoop* loop_;
  std::unique_ptr<Socket> socket_;
  Timer connect_timer_;
  MessageParser parser_;
  ClientObserver* observer_ = nullptr;
  std::string unparsed_;
  Outbox outbox_;
  // What earlier requests of the connection had written.
  uint64_t written_before_ = 0;
  Instant idle_since_;
  Millis server_keep_alive_{0};
  bool connected_ = false;
  bool closed_ = false;
  bool reusable_ = true;
  bool paused_ = false;
  bool head_told_ = false;
  bool dropping_ = false;
  bool waiting_write_ = false;
};

}  // namespace basilvalve::net
