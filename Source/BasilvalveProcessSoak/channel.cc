#include "BasilvalveProcessSoak/channel.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <thread>

namespace basilvalve::process_soak {
namespace {

constexpr int kWriteTimeoutMs = 5000;
constexpr int kBacklog = 512;
constexpr int kLastPort = 32'000;

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c);
  });
  return text;
}

bool ParseHead(const std::string& head, HttpMessage* message) {
  size_t at = head.find("\r\n");
  message->start = head.substr(0, at);
  while (at != std::string::npos) {
    size_t next = head.find("\r\n", at + 2);
    std::string line =
        head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
    size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return false;
    }
    size_t value = line.find_first_not_of(' ', colon + 1);
    message->fields[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
    at = next;
  }
  return message->start.find("HTTP/1.1") != std::string::npos;
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
}

std::string HttpMessage::Field(const std::string& name) const {
  auto it = fields.find(name);
  return it == fields.end() ? "" : it->second;
}

std::string HttpMessage::Target() const {
  size_t first = start.find(' ');
  return first == std::string::npos
             ? ""
             : start.substr(first + 1, start.find(' ', first + 1) - first - 1);
}

int HttpMessage::Status() const {
  return start.size() >= 12
             ? static_cast<int>(strtol(start.c_str() + 9, nullptr, 10))
             : 0;
}

Channel::Channel(int fd) : fd_(fd) {
  int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Channel::~Channel() { close(fd_); }

int Channel::Connect(const std::string& ip, int port, int timeout_ms) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in to = Address(ip, port);
  int failed = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to));
  if (failed != 0 && errno == EINPROGRESS) {
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    failed = static_cast<int>(
        poll(&wait, 1, timeout_ms) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0);
  }
  if (failed != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

void Channel::Reset() {
  linger now{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  is_reset_ = true;
  shutdown(fd_, SHUT_RD);
}

bool Channel::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t n =
        send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      bytes.remove_prefix(static_cast<size_t>(n));
      continue;
    }
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
      return false;
    }
    pollfd wait{fd_, POLLOUT, 0};
    if (is_reset_ || poll(&wait, 1, kWriteTimeoutMs) <= 0) {
      return false;
    }
  }
  return true;
}

bool Channel::IsClosed() const {
  char c = 0;
  ssize_t n = recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return is_reset_ || n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

bool Channel::HasInput() const {
  char c = 0;
  return !buffer_.empty() || recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

ReadStatus Channel::Read(HttpMessage* message, int64_t until_ms,
                         bool is_response, const OnHead& on_head,
                         const OnBody& on_body) {
  *message = HttpMessage();
  size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    bool is_empty = buffer_.empty();
    ReadStatus got = Fill(until_ms);
    if (got != ReadStatus::kDone) {
      return got == ReadStatus::kClosed && !is_empty ? ReadStatus::kBroken
                                                     : got;
    }
  }
  std::string head = buffer_.substr(0, end);
  buffer_.erase(0, end + 4);
  if (!ParseHead(head, message)) {
    return ReadStatus::kMalformed;
  }
  if (on_head) {
    on_head(*message);
  }
  auto take = [&](std::string_view bytes) {
    message->body.append(bytes);
    if (on_body) {
      on_body(bytes);
    }
  };
  if (message->fields.contains("content-length")) {
    return ReadSized(
        strtoull(message->Field("content-length").c_str(), nullptr, 10),
        until_ms, take);
  }
  if (message->fields.contains("transfer-encoding")) {
    return ReadChunks(until_ms, take);
  }
  if (!is_response || message->Status() / 100 == 1) {
    return ReadStatus::kDone;
  }
  for (;;) {
    take(buffer_);
    buffer_.clear();
    ReadStatus got = Fill(until_ms);
    if (got != ReadStatus::kDone) {
      return got == ReadStatus::kClosed ? ReadStatus::kDone : got;
    }
  }
}

ReadStatus Channel::Fill(int64_t until_ms) {
  for (;;) {
    pollfd wait{fd_, POLLIN, 0};
    int64_t left = until_ms - NowMs();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) == 0) {
      return ReadStatus::kTimeout;
    }
    char bytes[65536];
    ssize_t n = recv(fd_, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (n > 0) {
      buffer_.append(bytes, static_cast<size_t>(n));
      return ReadStatus::kDone;
    }
    if (n == 0) {
      return ReadStatus::kClosed;
    }
    if (errno != EAGAIN && errno != EINTR) {
      return ReadStatus::kBroken;
    }
  }
}

ReadStatus Channel::ReadSized(size_t left, int64_t until_ms,
                              const OnBody& take) {
  for (;;) {
    size_t n = std::min(left, buffer_.size());
    std::string_view bytes = buffer_;
    take(bytes.substr(0, n));
    buffer_.erase(0, n);
    left -= n;
    if (left == 0) {
      return ReadStatus::kDone;
    }
    ReadStatus got = Fill(until_ms);
    if (got != ReadStatus::kDone) {
      return got == ReadStatus::kClosed ? ReadStatus::kBroken : got;
    }
  }
}

ReadStatus Channel::ReadChunks(int64_t until_ms, const OnBody& take) {
  for (;;) {
    size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      ReadStatus got = Fill(until_ms);
      if (got != ReadStatus::kDone) {
        return got == ReadStatus::kClosed ? ReadStatus::kBroken : got;
      }
    }
    size_t size = strtoull(buffer_.c_str(), nullptr, 16);
    buffer_.erase(0, end + 2);
    ReadStatus got = ReadSized(size, until_ms, take);
    if (got == ReadStatus::kDone) {
      got = ReadSized(2, until_ms, [](std::string_view) {});
    }
    if (got != ReadStatus::kDone || size == 0) {
      return got;
    }
  }
}

bool Listener::Start(const std::string& ip, int port, Handler handler) {
  int fd = ListenOn(ip, port);
  if (fd < 0) {
    return false;
  }
  sockaddr_in at{};
  socklen_t size = sizeof(at);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  port_ = ntohs(at.sin_port);
  fd_ = fd;
  std::thread([fd, handler = std::move(handler)] {
    for (;;) {
      int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0 && (errno == EINTR || errno == ECONNABORTED)) {
        continue;
      }
      if (accepted < 0) {
        close(fd);
        return;
      }
      std::thread([handler, accepted] {
        Channel channel(accepted);
        handler(channel);
      }).detach();
    }
  }).detach();
  return true;
}

void Listener::Stop() { shutdown(fd_.exchange(-1), SHUT_RDWR); }

int ListenOn(const std::string& ip, int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in at = Address(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int FreePorts(const std::string& ip, int from, int n) {
  for (int base = from; base < kLastPort; base += n) {
    int free = 0;
    while (free < n) {
      int fd = ListenOn(ip, base + free);
      if (fd < 0) {
        break;
      }
      close(fd);
      ++free;
    }
    if (free == n) {
      return base;
    }
  }
  return 0;
}

}  // namespace basilvalve::process_soak
