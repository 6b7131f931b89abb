#include "UnitTests/Core/Edge/raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

namespace basilvalve::edge {
namespace {

constexpr int kBacklog = 64;
constexpr int kSmallBufferBytes = 16 * 1024;
constexpr size_t kReadBytes = size_t{64} * 1024;

// Value of a header of a request; empty if it has none.
std::string FindHeader(const std::string& head, const std::string& name) {
  size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return "";
  }
  at += name.size() + 4;
  return head.substr(at, head.find("\r\n", at) - at);
}

}  // namespace

RawServer::RawServer(Queue queue) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  REQUIRE(listener_ >= 0);
  // Many tests in a row leave many ports in TIME_WAIT.
  int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof(address);
  REQUIRE(bind(listener_, generic, size) == 0);
  REQUIRE(listen(listener_, queue == Queue::kFull ? 0 : kBacklog) == 0);
  REQUIRE(getsockname(listener_, generic, &size) == 0);
  port_ = ntohs(address.sin_port);
  if (queue == Queue::kFull) {
    filler_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    REQUIRE(connect(filler_, generic, size) == 0);
  }
}

RawServer::~RawServer() {
  for (const auto& it : connections_) {
    Reset(it.get());
  }
  close(listener_);
  if (filler_ >= 0) {
    close(filler_);
  }
}

void RawServer::LimitReceiveBuffer() {
  int size = kSmallBufferBytes;
  REQUIRE(setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size)) ==
          0);
}

void RawServer::Poll() {
  for (;;) {
    int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      break;
    }
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    connections_.push_back(std::make_unique<Connection>());
    connections_.back()->fd = fd;
    if (on_accept_) {
      on_accept_(connections_.back().get());
    }
  }
  for (size_t i = 0; i < connections_.size(); ++i) {
    Read(connections_[i].get());
  }
}

void RawServer::Read(Connection* connection) {
  std::array<char, kReadBytes> buf;
  while (connection->fd >= 0 && connection->is_reading &&
         !connection->is_ended) {
    ssize_t n = recv(connection->fd, buf.data(), buf.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return;
    }
    if (n <= 0) {
      connection->is_ended = true;
      return;
    }
    if (connection->received.empty() && connection->has_stray_bytes) {
      connection->is_used_after_stray = true;
    }
    connection->received.append(buf.data(), static_cast<size_t>(n));
    Parse(connection);
  }
}

void RawServer::Parse(Connection* connection) {
  std::string& text = connection->received;
  size_t end = text.find("\r\n\r\n");
  if (end == std::string::npos) {
    return;
  }
  std::string head = text.substr(0, end + 2);
  size_t from = head.find(' ') + 1;
  Request request{FindHeader(head, "Call-Id"),
                  head.substr(from, head.find(' ', from) - from),
                  FindHeader(head, "Resume-After")};
  std::string length = FindHeader(head, "Content-Length");
  size_t size = end + 4 + (length.empty() ? 0 : std::stoul(length));
  if (text.size() < size) {
    if (on_head_) {
      on_head_(connection, request);
    }
    return;
  }
  text.erase(0, size);
  on_request_(connection, request);
}

void RawServer::Send(Connection* to, const std::string& bytes) {
  if (to->fd >= 0) {
    send(to->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
}

void RawServer::End(Connection* connection) {
  if (connection->fd >= 0) {
    shutdown(connection->fd, SHUT_WR);
  }
}

void RawServer::Reset(Connection* connection) {
  if (connection->fd < 0) {
    return;
  }
  linger now{1, 0};
  setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(connection->fd);
  connection->fd = -1;
}

flow::UpstreamRecord RawServer::Record(const std::string& id) const {
  flow::UpstreamRecord record;
  record.id = UpstreamId(id);
  record.service = ServiceName("service");
  record.host = "127.0.0.1";
  record.port = port_;
  record.data_centre = flow::DataCentreId("zone");
  record.region = RegionId("north");
  record.slots = 8;
  return record;
}

}  // namespace basilvalve::edge
