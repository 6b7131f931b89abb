#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  return at;
}

int Listen(const std::string& ip, int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in at = AddressOf(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(fd, 1024) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int PortOf(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof(at);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

std::string Word(const std::string& line, size_t n) {
  size_t at = 0;
  for (size_t i = 0; i < n && at != std::string::npos; ++i) {
    at = line.find(' ', at);
    at = at == std::string::npos ? at : at + 1;
  }
  return at == std::string::npos ? ""
                                 : line.substr(at, line.find(' ', at) - at);
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

std::string Message::Field(const std::string& name) const {
  auto it = fields.find(name);
  return it == fields.end() ? "" : it->second;
}

int Message::Status() const { return atoi(Word(first_line, 1).c_str()); }
std::string Message::Method() const { return Word(first_line, 0); }
std::string Message::Target() const { return Word(first_line, 1); }

Channel::~Channel() { close(fd_); }

std::unique_ptr<Channel> Channel::Connect(const std::string& ip, int port,
                                          int64_t timeout_ms) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    return nullptr;
  }
  sockaddr_in at = AddressOf(ip, port);
  int error = 0;
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0) {
    pollfd wait{fd, POLLOUT, 0};
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS ||
        poll(&wait, 1, static_cast<int>(timeout_ms)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return nullptr;
    }
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Channel>(fd);
}

bool Channel::Write(const std::string& bytes) {
  for (size_t n = 0; n < bytes.size();) {
    ssize_t sent = send(fd_, bytes.data() + n, bytes.size() - n, MSG_NOSIGNAL);
    if (sent > 0) {
      n += static_cast<size_t>(sent);
      continue;
    }
    pollfd wait{fd_, POLLOUT, 0};
    if ((errno != EAGAIN && errno != EINTR) || poll(&wait, 1, 15'000) != 1) {
      return false;
    }
  }
  return true;
}

bool Channel::IsClosedByPeer() const {
  char byte = 0;
  ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

bool Channel::Fill(int64_t until_ms) {
  for (;;) {
    int64_t left = until_ms - NowMs();
    pollfd wait{fd_, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) != 1) {
      return false;
    }
    char buf[16384];
    ssize_t n = recv(fd_, buf, sizeof(buf), MSG_DONTWAIT);
    if (n > 0) {
      unread_.append(buf, static_cast<size_t>(n));
      return true;
    }
    if (n == 0 || (errno != EAGAIN && errno != EINTR)) {
      return false;
    }
  }
}

bool Channel::ReadChunked(Message* message, int64_t until_ms,
                          const std::function<void(const Message&)>& on_body) {
  for (;;) {
    size_t line = unread_.find("\r\n");
    while (line == std::string::npos) {
      if (!Fill(until_ms)) {
        return false;
      }
      line = unread_.find("\r\n");
    }
    size_t n = strtoul(unread_.c_str(), nullptr, 16);
    while (unread_.size() < line + 2 + n + 2) {
      if (!Fill(until_ms)) {
        return false;
      }
    }
    message->body.append(unread_, line + 2, n);
    unread_.erase(0, line + 2 + n + 2);
    if (n == 0) {
      return true;
    }
    if (on_body) {
      on_body(*message);
    }
  }
}

bool Channel::Read(Message* message, int64_t until_ms,
                   const std::function<void(const Message&)>& on_body) {
  *message = Message();
  size_t end = unread_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(until_ms)) {
      return false;
    }
    end = unread_.find("\r\n\r\n");
  }
  std::string head = unread_.substr(0, end + 2);
  unread_.erase(0, end + 4);
  message->first_line = head.substr(0, head.find("\r\n"));
  for (size_t at = head.find("\r\n") + 2; at < head.size();) {
    size_t next = head.find("\r\n", at);
    size_t colon = head.find(':', at);
    if (colon < next) {
      std::string name = head.substr(at, colon - at);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      size_t value = head.find_first_not_of(' ', colon + 1);
      message->fields[name] = head.substr(value, next - value);
    }
    at = next + 2;
  }
  bool is_response = message->first_line.rfind("HTTP/", 0) == 0;
  if (message->Field("transfer-encoding") == "chunked") {
    message->is_complete = ReadChunked(message, until_ms, on_body);
    return true;
  }
  std::string length = message->Field("content-length");
  if (length.empty() && is_response) {
    while (Fill(until_ms)) {
    }
    message->body = std::move(unread_);
    message->is_complete = IsClosedByPeer();
    return true;
  }
  size_t n = strtoul(length.c_str(), nullptr, 10);
  while (unread_.size() < n) {
    if (!Fill(until_ms)) {
      message->body = std::move(unread_);
      return true;
    }
  }
  message->body = unread_.substr(0, n);
  unread_.erase(0, n);
  message->is_complete = true;
  return true;
}

bool Server::Start(const std::string& ip, int port,
                   std::function<void(Channel&)> serve) {
  int listener = Listen(ip, port);
  if (listener < 0) {
    return false;
  }
  port_ = PortOf(listener);
  std::thread([listener, serve = std::move(serve)] {
    for (;;) {
      int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(10);
        continue;
      }
      int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([fd, serve] {
        Channel channel(fd);
        serve(channel);
      }).detach();
    }
  }).detach();
  return true;
}

int FreePort(const std::string& ip) {
  int fd = Listen(ip, 0);
  int port = fd < 0 ? 0 : PortOf(fd);
  if (fd >= 0) {
    close(fd);
  }
  return port;
}

}  // namespace review
