#include "BasilvalveProcessSoak/proxy.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <thread>
#include <vector>

#include "BasilvalveProcessSoak/channel.h"

namespace basilvalve::process_soak {
namespace {

constexpr size_t kMaxKept = 262'144;
constexpr int kConnectTimeoutMs = 200;
constexpr int kTickMs = 2;
constexpr int kIdleTickMs = 1000;

int LocalPort(int fd, bool of_peer) {
  sockaddr_in at{};
  socklen_t size = sizeof(at);
  (of_peer ? getpeername : getsockname)(fd, reinterpret_cast<sockaddr*>(&at),
                                        &size);
  return ntohs(at.sin_port);
}

}  // namespace

bool Proxy::Start(const std::string& ip, int port) {
  listen_fd_ = ListenOn(ip, port);
  if (listen_fd_ < 0 || pipe2(wake_, O_CLOEXEC | O_NONBLOCK) != 0) {
    return false;
  }
  port_in_ = LocalPort(listen_fd_, false);
  std::thread([this] { Loop(); }).detach();
  return true;
}

void Proxy::SetTrouble(const LinkTrouble& trouble) {
  std::lock_guard lock(mutex_);
  trouble_ = trouble;
  [[maybe_unused]] ssize_t n = write(wake_[1], "w", 1);
}

void Proxy::End(LinkEnd how, double share) {
  std::lock_guard lock(mutex_);
  for (Connection& connection : connections_) {
    if (std::uniform_real_distribution<double>(0, 1)(random_) >= share) {
      continue;
    }
    if (how == LinkEnd::kHalfClose) {
      shutdown(connection.fds[1], SHUT_WR);
      connection.ways[0].has_ended = true;
      connection.ways[0].is_end_passed_on = true;
      continue;
    }
    Close(&connection, how != LinkEnd::kResetServer,
          how != LinkEnd::kResetCaller);
  }
  [[maybe_unused]] ssize_t n = write(wake_[1], "w", 1);
}

int Proxy::connections() {
  std::lock_guard lock(mutex_);
  return accepted_;
}

int Proxy::CallerPort(int server_side_port) {
  std::lock_guard lock(mutex_);
  for (const Connection& connection : connections_) {
    if (connection.server_side_port == server_side_port) {
      return connection.caller_port;
    }
  }
  return 0;
}

void Proxy::Close(Connection* connection, bool resets_caller,
                  bool resets_server) {
  const bool resets[2] = {resets_caller, resets_server};
  for (int side = 0; side < 2; ++side) {
    if (resets[side]) {
      linger now{1, 0};
      setsockopt(connection->fds[side], SOL_SOCKET, SO_LINGER, &now,
                 sizeof(now));
    }
  }
  if (!connection->is_over) {
    close(connection->fds[0]);
    close(connection->fds[1]);
    connection->is_over = true;
  }
}

bool Proxy::Holds(int way) const {
  return way == 0 ? trouble_.holds_requests : trouble_.holds_answers;
}

bool Proxy::CanWrite(const Connection& connection, int way, int64_t now) const {
  const Way& from = connection.ways[way];
  return !Holds(way) && now >= from.due_ms &&
         (!from.bytes.empty() || (from.has_ended && !from.is_end_passed_on));
}

void Proxy::ReadFrom(Connection* connection, int way, int64_t now) {
  char bytes[16384];
  ssize_t n = recv(connection->fds[way], bytes, sizeof(bytes), MSG_DONTWAIT);
  Way& into = connection->ways[way];
  if (n > 0) {
    if (into.bytes.empty()) {
      into.due_ms = now + trouble_.delay_ms;
    }
    into.bytes.append(bytes, static_cast<size_t>(n));
  } else if (n == 0) {
    into.has_ended = true;
  } else if (errno != EAGAIN && errno != EINTR) {
    Close(connection, true, true);
  }
}

void Proxy::WriteFrom(Connection* connection, int way, int64_t now) {
  Way& from = connection->ways[way];
  int to = connection->fds[1 - way];
  if (!from.bytes.empty()) {
    size_t size = from.bytes.size();
    if (trouble_.cuts_into_pieces) {
      size = std::min<size_t>(size, 1 + random_() % 300);
      from.due_ms = now + 1;
    }
    ssize_t n = send(to, from.bytes.data(), size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      from.bytes.erase(0, static_cast<size_t>(n));
    } else if (errno != EAGAIN && errno != EINTR) {
      Close(connection, true, true);
      return;
    } else {
      from.due_ms = now + 1;
    }
  }
  if (from.bytes.empty() && from.has_ended && !from.is_end_passed_on) {
    shutdown(to, SHUT_WR);
    from.is_end_passed_on = true;
  }
  if (connection->ways[0].is_end_passed_on &&
      connection->ways[1].is_end_passed_on) {
    Close(connection, false, false);
  }
}

void Proxy::Accept() {
  int caller = accept4(listen_fd_, nullptr, nullptr, SOCK_CLOEXEC);
  if (caller < 0) {
    return;
  }
  int server = Channel::Connect(ip_, port_, kConnectTimeoutMs);
  if (server < 0) {
    linger now{1, 0};
    setsockopt(caller, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(caller);
    return;
  }
  int on = 1;
  setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::lock_guard lock(mutex_);
  Connection& connection = connections_.emplace_back();
  connection.fds[0] = caller;
  connection.fds[1] = server;
  connection.caller_port = LocalPort(caller, true);
  connection.server_side_port = LocalPort(server, false);
  ++accepted_;
}

void Proxy::Loop() {
  for (;;) {
    std::vector<pollfd> waits{{listen_fd_, POLLIN, 0}, {wake_[0], POLLIN, 0}};
    int timeout = kIdleTickMs;
    {
      std::lock_guard lock(mutex_);
      connections_.remove_if([](const Connection& c) { return c.is_over; });
      int64_t now = NowMs();
      for (Connection& connection : connections_) {
        for (int way = 0; way < 2; ++way) {
          const Way& from = connection.ways[way];
          bool reads = !from.has_ended && from.bytes.size() < kMaxKept;
          waits.push_back({reads ? connection.fds[way] : -1, POLLIN, 0});
          if (CanWrite(connection, way, now)) {
            timeout = 0;
          } else if (!from.bytes.empty()) {
            timeout = std::min(timeout, kTickMs);
          }
        }
      }
    }
    poll(waits.data(), waits.size(), timeout);
    char drained[64];
    while (read(wake_[0], drained, sizeof(drained)) > 0) {
    }
    {
      std::lock_guard lock(mutex_);
      int64_t now = NowMs();
      size_t i = 2;
      for (Connection& connection : connections_) {
        for (int way = 0; way < 2 && i < waits.size(); ++way, ++i) {
          if (!connection.is_over && waits[i].revents != 0) {
            ReadFrom(&connection, way, now);
          }
        }
        for (int way = 0; way < 2; ++way) {
          if (!connection.is_over && CanWrite(connection, way, now)) {
            WriteFrom(&connection, way, now);
          }
        }
      }
    }
    if (waits[0].revents != 0) {
      Accept();
    }
  }
}

}  // namespace basilvalve::process_soak
