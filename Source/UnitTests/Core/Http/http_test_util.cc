#include "UnitTests/Core/Http/http_test_util.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

namespace basilvalve::http {
namespace {

constexpr int kValidSeconds = 24 * 3600;
// Far above any expected wait, so that a hang fails the test.
constexpr timeval kReceiveTimeout{20, 0};

X509* SelfSign(EVP_PKEY* key) {
  X509* certificate = X509_new();
  ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
  X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
  X509_gmtime_adj(X509_getm_notAfter(certificate), kValidSeconds);
  X509_set_pubkey(certificate, key);
  X509_NAME* name = X509_get_subject_name(certificate);
  X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>("test"), -1,
                             -1, 0);
  X509_set_issuer_name(certificate, name);
  X509_sign(certificate, key, EVP_sha256());
  return certificate;
}

}  // namespace

TestCertificate::TestCertificate() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "basilvalve-XXXXXX").string();
  REQUIRE(::mkdtemp(pattern.data()) != nullptr);
  directory_ = pattern;
  EVP_PKEY* key = EVP_EC_gen("P-256");
  REQUIRE(key != nullptr);
  X509* certificate = SelfSign(key);
  std::FILE* file = std::fopen(certificate_file().c_str(), "w");
  REQUIRE(file != nullptr);
  PEM_write_X509(file, certificate);
  std::fclose(file);
  file = std::fopen(key_file().c_str(), "w");
  REQUIRE(file != nullptr);
  PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
  std::fclose(file);
  X509_free(certificate);
  EVP_PKEY_free(key);
}

TestCertificate::~TestCertificate() {
  std::error_code ec;
  std::filesystem::remove_all(directory_, ec);
}

int ListenOnLoopback(Endpoint* at) {
  constexpr int kBacklog = 16;
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof(address);
  REQUIRE(::bind(fd, reinterpret_cast<sockaddr*>(&address), n) == 0);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
  ::listen(fd, kBacklog);
  *at = {"127.0.0.1", ntohs(address.sin_port)};
  return fd;
}

int ConnectTo(const Endpoint& to) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &kReceiveTimeout,
             sizeof(kReceiveTimeout));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(to.port);
  inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
  REQUIRE(::connect(fd, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
  return fd;
}

std::string ExchangeOverTls(const Endpoint& to, std::string_view bytes,
                            size_t max_write_size) {
  int fd = ConnectTo(to);
  SSL_CTX* context = SSL_CTX_new(TLS_client_method());
  SSL* session = SSL_new(context);
  SSL_set_fd(session, fd);
  std::string response;
  if (SSL_connect(session) == 1) {
    while (!bytes.empty()) {
      std::string_view part = bytes.substr(0, max_write_size);
      if (SSL_write(session, part.data(), static_cast<int>(part.size())) <= 0) {
        break;
      }
      bytes.remove_prefix(part.size());
    }
    std::array<char, 4096> buf;
    for (int n = 0; (n = SSL_read(session, buf.data(), buf.size())) > 0;) {
      response.append(buf.data(), static_cast<size_t>(n));
    }
  }
  SSL_free(session);
  SSL_CTX_free(context);
  ::close(fd);
  return response;
}

std::string ExchangeOverTcp(const Endpoint& to, std::string_view bytes) {
  int fd = ConnectTo(to);
  ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  ::shutdown(fd, SHUT_WR);
  std::string response;
  std::array<char, 4096> buf;
  for (ssize_t n = 0; (n = ::recv(fd, buf.data(), buf.size(), 0)) > 0;) {
    response.append(buf.data(), static_cast<size_t>(n));
  }
  ::close(fd);
  return response;
}

}  // namespace basilvalve::http
