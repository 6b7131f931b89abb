// Non-blocking TCP streams and UDP datagrams on an event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "Core/Common/result.h"
#include "Core/Net/event_loop.h"
#include "Core/Net/io_result.h"
#include "Core/Net/tls_context.h"

namespace basilvalve::net {

/// An IPv4 address and port.
struct Endpoint {
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
  /// "HOST:PORT". Thread safe.
  std::string Text() const;
  /// Inverse of Text. Thread safe.
  static Result<Endpoint> Parse(std::string_view text);
};

/// A TCP stream. Callbacks run from the loop and never after Close or the
/// destructor. Not thread safe.
class Socket {
 public:
  struct Impl;
  explicit Socket(std::shared_ptr<Impl> impl);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// Starts to connect; `done` is told whether it worked. Data that stays
  /// unacknowledged for `ack_timeout` breaks the connection. Not thread safe.
  static std::unique_ptr<Socket> Connect(EventLoop* loop, const Endpoint& to,
                                         Millis ack_timeout,
                                         std::function<void(bool)> done);

  /// Everything from here on is encrypted, with the handshake at its start.
  /// Pre: nothing was read or written. Not thread safe.
  void StartTls(const TlsContext& context);
  /// Reads what is there. Not thread safe.
  IoResult Read(std::span<char> into);
  /// Writes what fits. Not thread safe.
  IoResult Write(std::string_view bytes);
  /// Calls `fn` once when there is something to read. Not thread safe.
  void WaitReadable(std::function<void()> fn);
  /// Calls `fn` once when there is room to write. Not thread safe.
  void WaitWritable(std::function<void()> fn);
  /// No more is written; the other side sees the end. Not thread safe.
  void ShutdownWrite();
  /// Ends the connection; unread bytes make it a reset. Not thread safe.
  void Close();
  /// Address of the other side, empty if it is gone. Not thread safe.
  std::string PeerHost() const;

 private:
  std::shared_ptr<Impl> impl_;
};

/// Accepts TCP streams. Not thread safe.
class Listener {
 public:
  /// Starts to listen. Errors: kIo if the address cannot be bound. Not thread
  /// safe.
  static Result<std::unique_ptr<Listener>> Create(
      EventLoop* loop, const Endpoint& at, Millis ack_timeout,
      std::function<void(std::unique_ptr<Socket>)> on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// The address in use, with the port that port 0 was given. Not thread safe.
  Endpoint LocalEndpoint() const;

 private:
  struct Impl;
  explicit Listener(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

/// Sends and receives datagrams. Not thread safe.
class DatagramSocket {
 public:
  using ReceiveHandler = std::function<void(std::string_view bytes)>;
  /// Starts to receive. Errors: kIo if the address cannot be bound. Not thread
  /// safe.
  static Result<std::unique_ptr<DatagramSocket>> Create(
      EventLoop* loop, const Endpoint& at, ReceiveHandler on_receive);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Sends one datagram; it may be lost. False if the system refused it. Not
  /// thread safe.
  bool Send(const Endpoint& to, std::string_view bytes);

 private:
  struct Impl;
  explicit DatagramSocket(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace basilvalve::net
