#include "Core/Net/tls_session.h"

#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdint>

namespace basilvalve::net {
namespace {

// OpenSSL's socket BIO raises SIGPIPE when the peer has disconnected. This BIO
// sends with MSG_NOSIGNAL instead.
int SocketOf(BIO* bio) {
  return static_cast<int>(reinterpret_cast<intptr_t>(BIO_get_data(bio)));
}

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

int SendBytes(BIO* bio, const char* bytes, int n) {
  BIO_clear_retry_flags(bio);
  ssize_t sent =
      ::send(SocketOf(bio), bytes, static_cast<size_t>(n), MSG_NOSIGNAL);
  if (sent < 0 && WouldBlock()) {
    BIO_set_retry_write(bio);
  }
  return static_cast<int>(sent);
}

int ReceiveBytes(BIO* bio, char* into, int n) {
  BIO_clear_retry_flags(bio);
  ssize_t got = ::recv(SocketOf(bio), into, static_cast<size_t>(n), 0);
  if (got < 0 && WouldBlock()) {
    BIO_set_retry_read(bio);
  }
  return static_cast<int>(got);
}

// OpenSSL's callback type uses long.
// NOLINTNEXTLINE(google-runtime-int)
long Control(BIO* /*bio*/, int command, long /*number*/, void* /*pointer*/) {
  // The handshake flushes after each flight; this BIO does not buffer.
  return command == BIO_CTRL_FLUSH ? 1 : 0;
}

BIO_METHOD* SocketMethod() {
  static BIO_METHOD* const method = [] {
    BIO_METHOD* bio_method =
        BIO_meth_new(BIO_get_new_index() | BIO_TYPE_SOURCE_SINK, "socket");
    BIO_meth_set_write(bio_method, SendBytes);
    BIO_meth_set_read(bio_method, ReceiveBytes);
    BIO_meth_set_ctrl(bio_method, Control);
    return bio_method;
  }();
  return method;
}

}  // namespace

TlsSession::TlsSession(const TlsContext& context, int fd)
    : session_(SSL_new(context.native())) {
  BIO* bio = BIO_new(SocketMethod());
  BIO_set_data(bio, reinterpret_cast<void*>(static_cast<intptr_t>(fd)));
  BIO_set_init(bio, 1);
  SSL_set_bio(session_, bio, bio);
  SSL_set_accept_state(session_);
}

TlsSession::~TlsSession() { SSL_free(session_); }

IoResult TlsSession::Read(std::span<char> into) {
  if (broken_) {
    return {IoStatus::kReset, 0};
  }
  ERR_clear_error();
  size_t n = 0;
  int returned = SSL_read_ex(session_, into.data(), into.size(), &n);
  if (returned == 1) {
    return {IoStatus::kDone, n};
  }
  return HandleError(returned);
}

IoResult TlsSession::Write(std::string_view bytes) {
  if (broken_) {
    return {IoStatus::kReset, 0};
  }
  ERR_clear_error();
  size_t n = 0;
  int returned = SSL_write_ex(session_, bytes.data(), bytes.size(), &n);
  if (returned == 1) {
    return {IoStatus::kDone, n};
  }
  return HandleError(returned);
}

IoResult TlsSession::HandleError(int returned) {
  int error = SSL_get_error(session_, returned);
  read_wants_write_ = error == SSL_ERROR_WANT_WRITE;
  if (error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE) {
    return {IoStatus::kBlocked, 0};
  }
  if (error == SSL_ERROR_ZERO_RETURN) {
    return {IoStatus::kEof, 0};
  }
  broken_ = true;
  return {IoStatus::kReset, 0};
}

void TlsSession::ShutdownWrite() {
  if (!broken_ && SSL_is_init_finished(session_) != 0) {
    ERR_clear_error();
    SSL_shutdown(session_);
  }
}

bool TlsSession::has_pending() const { return SSL_pending(session_) > 0; }

}  // namespace basilvalve::net
