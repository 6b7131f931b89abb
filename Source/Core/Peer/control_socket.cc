#include "Core/Peer/control_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>

namespace basilvalve::peer {
namespace {

constexpr size_t kReceiveBufferBytes = 65536;
// Largest number of messages read before the tick timer is checked again, so
// that a flood of messages cannot delay ticks.
constexpr int kMaxMessagesPerPoll = 64;

}  // namespace

ControlSocket::ControlSocket(const Keyring* keyring, Millis tick_period,
                             OnMessage on_message, OnTick on_tick)
    : keyring_(keyring),
      tick_period_(tick_period),
      on_message_(std::move(on_message)),
      on_tick_(std::move(on_tick)) {}

Result<std::unique_ptr<ControlSocket>> ControlSocket::Start(
    const http::Endpoint& endpoint, const Keyring* keyring, Millis tick_period,
    OnMessage on_message, OnTick on_tick) {
  std::unique_ptr<ControlSocket> socket(new ControlSocket(
      keyring, tick_period, std::move(on_message), std::move(on_tick)));
  if (!socket->Bind(endpoint)) {
    return Fail(ResultCode::kSettingInvalid,
                "cannot bind the UDP control socket to " + endpoint.Text());
  }
  socket->thread_ = std::thread([raw = socket.get()] { raw->Run(); });
  return socket;
}

ControlSocket::~ControlSocket() {
  stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
  if (fd_ >= 0) {
    ::close(fd_);
  }
}

bool ControlSocket::Bind(const http::Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  if (inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) != 1) {
    return false;
  }
  fd_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  return ::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
         0;
}

size_t ControlSocket::Send(const membership::OutgoingMessage& outgoing) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(outgoing.to.port);
  if (inet_pton(AF_INET, outgoing.to.host.c_str(), &address.sin_addr) != 1) {
    return 0;
  }
  std::string datagram = membership::EncodeControl(outgoing.message, *keyring_);
  ssize_t n = ::sendto(fd_, datagram.data(), datagram.size(), MSG_NOSIGNAL,
                       reinterpret_cast<sockaddr*>(&address), sizeof(address));
  return n < 0 ? 0 : static_cast<size_t>(n);
}

void ControlSocket::Receive() {
  static thread_local std::array<char, kReceiveBufferBytes> buf;
  for (int i = 0; i < kMaxMessagesPerPoll; ++i) {
    ssize_t n = ::recv(fd_, buf.data(), buf.size(), 0);
    if (n < 0) {
      return;
    }
    Result<membership::ControlMessage> message = membership::DecodeControl(
        {buf.data(), static_cast<size_t>(n)}, *keyring_);
    bool accepted =
        message && replay_guard_.Accept(message->sender, message->incarnation,
                                        message->sequence);
    if (!accepted) {
      rejected_.fetch_add(1);
      continue;
    }
    on_message_(*message);
  }
}

void ControlSocket::Run() {
  SteadyClock clock;
  Instant next_tick = clock.Now();
  while (!stopping_) {
    auto left = std::chrono::duration_cast<Millis>(next_tick - clock.Now());
    pollfd poll_fd{fd_, POLLIN, 0};
    if (left.count() > 0 &&
        ::poll(&poll_fd, 1, static_cast<int>(left.count())) > 0) {
      Receive();
      continue;
    }
    next_tick = clock.Now() + tick_period_;
    on_tick_();
  }
}

}  // namespace basilvalve::peer
