#include "UnitTests/Core/Net/busy_listener.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace basilvalve::net {

BusyListener::BusyListener() {
  fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
  filler_ = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof(address);
  REQUIRE(::bind(fd_, raw, size) == 0);
  REQUIRE(::listen(fd_, 0) == 0);
  REQUIRE(::getsockname(fd_, raw, &size) == 0);
  REQUIRE(::connect(filler_, raw, size) == 0);
  port_ = ntohs(address.sin_port);
}

BusyListener::~BusyListener() {
  ::close(fd_);
  ::close(filler_);
}

}  // namespace basilvalve::net
