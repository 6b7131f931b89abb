// A caller that speaks HTTP over TLS or in plain text, for tests.
#pragma once

#include <string>

#include "Core/Http/http_message.h"

namespace basilvalve::http {

/// A certificate for "test" and its key in files that are removed at the end.
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

/// Sends bytes over TLS and returns what comes until the other side closes;
/// empty if there is no handshake. `piece` bounds each write.
std::string TlsExchange(const Endpoint& to, std::string_view bytes,
                        size_t piece = 1 << 20);

/// The same without TLS. Sends the end of its own side after the bytes.
std::string PlainExchange(const Endpoint& to, std::string_view bytes);

/// Listens on a port that the system chooses, without accepting; the caller
/// closes it. `at` is set to the address.
int ListenOnLoopback(Endpoint* at);

/// Connects; the caller closes it. Pre: something listens.
int ConnectTo(const Endpoint& to);

}  // namespace basilvalve::http
