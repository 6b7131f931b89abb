#include "Core/Net/tls_context.h"

#include <openssl/err.h>
#include <openssl/ssl.h>

#include <array>

namespace basilvalve::net {
namespace {

// OpenSSL's description of the last error on this thread.
std::string LastSslError() {
  constexpr size_t kReasonBytes = 256;
  std::array<char, kReasonBytes> buf{};
  ERR_error_string_n(ERR_get_error(), buf.data(), buf.size());
  ERR_clear_error();
  return buf.data();
}

}  // namespace

Result<std::shared_ptr<TlsContext>> TlsContext::Create(
    const std::string& certificate_file, const std::string& key_file) {
  SSL_CTX* native = SSL_CTX_new(TLS_server_method());
  if (native == nullptr) {
    return Fail(ResultCode::kSettingInvalid,
                "cannot create TLS context: " + LastSslError());
  }
  std::shared_ptr<TlsContext> context(new TlsContext(native));
  SSL_CTX_set_min_proto_version(native, TLS1_2_VERSION);
  // The unsent part of a response may move in memory between two attempts to
  // write it.
  SSL_CTX_set_mode(native, SSL_MODE_ENABLE_PARTIAL_WRITE |
                               SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER |
                               SSL_MODE_RELEASE_BUFFERS);
  if (SSL_CTX_use_certificate_chain_file(native, certificate_file.c_str()) !=
      1) {
    return Fail(
        ResultCode::kSettingInvalid,
        "cannot use certificate " + certificate_file + ": " + LastSslError());
  }
  if (SSL_CTX_use_PrivateKey_file(native, key_file.c_str(), SSL_FILETYPE_PEM) !=
          1 ||
      SSL_CTX_check_private_key(native) != 1) {
    return Fail(ResultCode::kSettingInvalid,
                "cannot use key " + key_file + ": " + LastSslError());
  }
  return context;
}

TlsContext::~TlsContext() { SSL_CTX_free(context_); }

}  // namespace basilvalve::net
