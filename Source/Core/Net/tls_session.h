// Server side of a TLS connection on a non-blocking socket.
#pragma once

#include <memory>
#include <span>
#include <string_view>

#include "Core/Net/io_result.h"
#include "Core/Net/tls_context.h"

struct ssl_st;

namespace basilvalve::net {

/// Encrypts and decrypts; the first reads perform the handshake. Never blocks:
/// kBlocked means that the socket has to become ready first. Not thread safe.
class TlsSession {
 public:
  /// Pre: `fd` is a connected non-blocking socket that outlives the session.
  TlsSession(const TlsContext& context, int fd);
  ~TlsSession();
  TlsSession(const TlsSession&) = delete;
  TlsSession& operator=(const TlsSession&) = delete;

  /// Reads decrypted bytes. Returns kReset if the handshake fails, for example
  /// with a plaintext client. Not thread safe.
  IoResult Read(std::span<char> into);
  /// Encrypts and writes as many bytes as possible. Not thread safe.
  IoResult Write(std::string_view bytes);
  /// Sends close_notify after a completed handshake. Not thread safe.
  void ShutdownWrite();
  /// Whether decrypted bytes are buffered. The socket does not become readable
  /// for them. Not thread safe.
  bool has_pending() const;
  /// Whether the last blocked read needs the socket to become writable. Not
  /// thread safe.
  bool read_wants_write() const { return read_wants_write_; }

 private:
  IoResult HandleError(int returned);

  ssl_st* session_;
  bool broken_ = false;
  bool read_wants_write_ = false;
};

}  // namespace basilvalve::net
