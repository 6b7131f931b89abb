// Certificate and key with which a server proves itself to its callers.
#pragma once

#include <memory>
#include <string>

#include "Core/Common/result.h"

struct ssl_ctx_st;

namespace basilvalve::net {

/// What the sessions of one listener share. Immutable after creation; thread
/// safe.
class TlsContext {
 public:
  /// Reads PEM files. Errors: kSettingInvalid if one cannot be read or they do
  /// not belong together. Thread safe.
  static Result<std::shared_ptr<TlsContext>> Create(
      const std::string& certificate_file, const std::string& key_file);
  ~TlsContext();
  TlsContext(const TlsContext&) = delete;
  TlsContext& operator=(const TlsContext&) = delete;

  /// The library's own object, for TlsSession. Thread safe.
  ssl_ctx_st* native() const { return context_; }

 private:
  explicit TlsContext(ssl_ctx_st* context) : context_(context) {}
  ssl_ctx_st* context_;
};

}  // namespace basilvalve::net
