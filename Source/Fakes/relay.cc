#include "Fakes/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace basilvalve::fakes {
namespace {

constexpr int kPollMs = 20;
constexpr size_t kBufferBytes = 16384;

sockaddr_in MakeSockAddr(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

}  // namespace

std::unique_ptr<Relay> Relay::Start(const std::string& ip,
                                    const http::Endpoint& target) {
  std::unique_ptr<Relay> relay(new Relay(target));
  if (!relay->Listen(ip)) {
    return nullptr;
  }
  relay->accept_thread_ =
      std::thread([raw = relay.get()] { raw->AcceptConnections(); });
  return relay;
}

bool Relay::Listen(const std::string& ip) {
  sockaddr_in address = MakeSockAddr(ip, 0);
  socklen_t n = sizeof(address);
  listen_fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool ok =
      ::bind(listen_fd_, reinterpret_cast<sockaddr*>(&address), n) == 0 &&
      ::listen(listen_fd_, 64) == 0 &&
      ::getsockname(listen_fd_, reinterpret_cast<sockaddr*>(&address), &n) == 0;
  endpoint_ = {ip, ntohs(address.sin_port)};
  return ok;
}

Relay::~Relay() {
  stopping_ = true;
  accept_thread_.join();
  for (std::thread& it : forward_threads_) {
    it.join();
  }
  ::close(listen_fd_);
}

void Relay::SetCut(bool cut) { cut_ = cut; }

void Relay::AcceptConnections() {
  while (!stopping_) {
    pollfd poll_fd{listen_fd_, POLLIN, 0};
    if (::poll(&poll_fd, 1, kPollMs) <= 0) {
      continue;
    }
    int caller = ::accept4(listen_fd_, nullptr, nullptr, SOCK_CLOEXEC);
    int upstream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = MakeSockAddr(target_.host, target_.port);
    bool ok =
        !cut_ && ::connect(upstream, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)) == 0;
    if (!ok) {
      ::close(caller);
      ::close(upstream);
      continue;
    }
    std::lock_guard lock(mutex_);
    forward_threads_.emplace_back(
        [this, caller, upstream] { ForwardConnection(caller, upstream); });
  }
}

bool Relay::ForwardBytes(int from, int to, bool counts_toward_cut) {
  std::array<char, kBufferBytes> buf;
  ssize_t n = ::recv(from, buf.data(), buf.size(), 0);
  if (n <= 0) {
    return false;
  }
  int64_t left = bytes_until_cut_.load();
  if (counts_toward_cut && left >= 0) {
    n = std::min<ssize_t>(n, left);
    bytes_until_cut_ = left - n;
  }
  if (n > 0 &&
      ::send(to, buf.data(), static_cast<size_t>(n), MSG_NOSIGNAL) != n) {
    return false;
  }
  return !counts_toward_cut || bytes_until_cut_.load() != 0;
}

void Relay::ForwardConnection(int caller, int upstream) {
  bool open = true;
  while (open && !stopping_ && !cut_) {
    std::array<pollfd, 2> poll_fds = {
        {{caller, POLLIN, 0}, {upstream, POLLIN, 0}}};
    ::poll(poll_fds.data(), poll_fds.size(), kPollMs);
    if (frozen_) {
      std::this_thread::sleep_for(Millis(kPollMs));
      continue;
    }
    if (poll_fds[0].revents != 0) {
      open = ForwardBytes(caller, upstream, /*counts_toward_cut=*/false);
    }
    if (open && poll_fds[1].revents != 0) {
      open = ForwardBytes(upstream, caller, /*counts_toward_cut=*/true);
    }
  }
  ::close(caller);
  ::close(upstream);
}

}  // namespace basilvalve::fakes
