// Certificate and private key of a TLS server.
#pragma once

#include <memory>
#include <string>

#include "Core/Common/result.h"

struct ssl_ctx_st;

namespace basilvalve::net {

/// TLS configuration shared by the sessions of one listener. Immutable after
/// creation; thread safe.
class TlsContext {
 public:
  /// Reads PEM files. Errors: kSettingInvalid if a file cannot be read or the
  /// key does not match the certificate. Thread safe.
  static Result<std::shared_ptr<TlsContext>> Create(
      const std::string& certificate_file, const std::string& key_file);
  ~TlsContext();
  TlsContext(const TlsContext&) = delete;
  TlsContext& operator=(const TlsContext&) = delete;

  /// The OpenSSL context, for TlsSession. Thread safe.
  ssl_ctx_st* native() const { return context_; }

 private:
  explicit TlsContext(ssl_ctx_st* context) : context_(context) {}
  ssl_ctx_st* context_;
};

}  // namespace basilvalve::net
