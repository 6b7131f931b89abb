// The server's side of TLS on one non-blocking socket.
#pragma once

#include <memory>
#include <span>
#include <string_view>

#include "Core/Net/io_result.h"
#include "Core/Net/tls_context.h"

struct ssl_st;

namespace basilvalve::net {

/// Encrypts and decrypts; the handshake runs within the first reads. Never
/// waits: kBlocked says that the socket has to become ready first. Not thread
/// safe.
class TlsSession {
 public:
  /// Pre: `fd` is a connected non-blocking socket that outlives the session.
  TlsSession(const TlsContext& context, int fd);
  ~TlsSession();
  TlsSession(const TlsSession&) = delete;
  TlsSession& operator=(const TlsSession&) = delete;

  /// Bytes that do not begin a handshake, as from a plaintext caller, are
  /// kReset. Not thread safe.
  IoResult Read(std::span<char> into);
  /// Not thread safe.
  IoResult Write(std::string_view bytes);
  /// Tells the other side that nothing follows. Not thread safe.
  void ShutdownWrite();
  /// Whether decrypted bytes are left, for which the socket will not become
  /// readable. Not thread safe.
  bool has_pending() const;
  /// Whether the last blocked read waits for room to write. Not thread safe.
  bool read_wants_write() const { return read_wants_write_; }

 private:
  IoResult HandleError(int returned);

  ssl_st* session_;
  bool broken_ = false;
  bool read_wants_write_ = false;
};

}  // namespace basilvalve::net
