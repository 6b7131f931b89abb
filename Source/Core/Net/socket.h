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
  /// Parses "HOST:PORT". Errors: kSettingInvalid for any other text. Thread
  /// safe.
  static Result<Endpoint> Parse(std::string_view text);
};

/// A TCP stream. Callbacks run on the loop thread and never after Close or the
/// destructor. Not thread safe.
class Socket {
 public:
  struct Impl;
  explicit Socket(std::shared_ptr<Impl> impl);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// Starts to connect; `done` receives whether it succeeded. The connection
  /// fails when sent data stays unacknowledged for `unacked_timeout`. Not
  /// thread safe.
  static std::unique_ptr<Socket> Connect(EventLoop* loop, const Endpoint& to,
                                         Millis unacked_timeout,
                                         std::function<void(bool)> done);

  /// Encrypts the stream as a TLS server, starting with the handshake. Pre:
  /// nothing was read or written. Not thread safe.
  void StartTls(const TlsContext& context);
  /// Reads the available bytes without blocking. Not thread safe.
  IoResult Read(std::span<char> into);
  /// Writes as many bytes as possible without blocking. Not thread safe.
  IoResult Write(std::string_view bytes);
  /// Calls `fn` once when the socket is readable or closed by the peer. Not
  /// thread safe.
  void WaitReadable(std::function<void()> fn);
  /// Calls `fn` once when the socket is writable. Not thread safe.
  void WaitWritable(std::function<void()> fn);
  /// Shuts down the sending direction; the peer reads the end of the stream.
  /// Not thread safe.
  void ShutdownWrite();
  /// If the peer has not acknowledged all written bytes, makes Close drop them
  /// and reset the connection. Not thread safe.
  void DropUnacknowledged();
  /// Closes the connection; with unread bytes, the peer receives a reset. Not
  /// thread safe.
  void Close();
  /// Whether the connection attempt was refused by the peer's host, so that
  /// nothing listens there. Not thread safe.
  bool is_refused() const;
  /// IP address of the peer, empty once it is disconnected. Not thread safe.
  std::string PeerHost() const;

 private:
  std::shared_ptr<Impl> impl_;
};

/// Limits on what the kernel buffers for one accepted stream; zero: its own.
struct StreamBuffers {
  /// Bytes that were received and not read.
  int receive_bytes = 0;
  /// Bytes that were written and not sent yet.
  int unsent_bytes = 0;
};

/// Accepts TCP streams. Not thread safe.
class Listener {
 public:
  /// Starts to listen; `unacked_timeout` applies to the accepted streams.
  /// Errors: kSettingInvalid if the host is not an IP address, kIo if the
  /// address cannot be bound. Not thread safe.
  static Result<std::unique_ptr<Listener>> Create(
      EventLoop* loop, const Endpoint& at, Millis unacked_timeout,
      std::function<void(std::unique_ptr<Socket>)> on_accept,
      const StreamBuffers& buffers = {});
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// The bound address, with the actual port if port 0 was requested. Not
  /// thread safe.
  Endpoint LocalEndpoint() const;

 private:
  struct Impl;
  explicit Listener(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

/// Sends and receives UDP datagrams. Not thread safe.
class DatagramSocket {
 public:
  using ReceiveHandler = std::function<void(std::string_view bytes)>;
  /// Starts to receive. Errors: kSettingInvalid if the host is not an IP
  /// address, kIo if the address cannot be bound. Not thread safe.
  static Result<std::unique_ptr<DatagramSocket>> Create(
      EventLoop* loop, const Endpoint& at, ReceiveHandler on_receive);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Sends one datagram without a delivery guarantee. False if the host is not
  /// an IP address or the system call failed. Not thread safe.
  bool Send(const Endpoint& to, std::string_view bytes);

 private:
  struct Impl;
  explicit DatagramSocket(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace basilvalve::net
