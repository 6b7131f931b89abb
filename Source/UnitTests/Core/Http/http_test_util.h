// Test helpers for raw TCP and TLS connections.
#pragma once

#include <string>

#include "Core/Http/http_message.h"

namespace basilvalve::http {

/// A self-signed certificate for "test" and its key, in files that the
/// destructor removes.
class TestCertificate {
 public:
  TestCertificate();
  ~TestCertificate();
  TestCertificate(const TestCertificate&) = delete;
  TestCertificate& operator=(const TestCertificate&) = delete;

  std::string certificate_file() const { return directory_ + "/cert.pem"; }
  std::string key_file() const { return directory_ + "/key.pem"; }

 private:
  std::string directory_;
};

/// Sends bytes over TLS and returns everything received until the peer closes;
/// empty if the handshake fails. `max_write_size` bounds one write.
std::string ExchangeOverTls(const Endpoint& to, std::string_view bytes,
                            size_t max_write_size = 1 << 20);

/// The same over plain TCP. Shuts down the sending direction after the bytes.
std::string ExchangeOverTcp(const Endpoint& to, std::string_view bytes);

/// Returns a socket that listens on an ephemeral port and that the caller
/// closes. Sets `at` to its address.
int ListenOnLoopback(Endpoint* at);

/// Returns a connected socket, which the caller closes. Pre: `to` is listening.
int ConnectTo(const Endpoint& to);

}  // namespace basilvalve::http
