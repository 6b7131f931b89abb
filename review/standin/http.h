// Small blocking HTTP/1.1 helpers for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace review {

using SteadyClock = std::chrono::steady_clock;

inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             SteadyClock::now().time_since_epoch())
      .count();
}

inline void SleepMs(int64_t ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
}

inline std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c);
  }
  return text;
}

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// A request or a response. Field names are in lower case.
struct Message {
  std::string start;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const {
    auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    size_t first = start.find(' ');
    size_t second = start.find(' ', first + 1);
    return first == std::string::npos
               ? ""
               : start.substr(first + 1, second - first - 1);
  }
  int Status() const {
    return start.size() > 12 ? atoi(start.substr(9, 3).c_str()) : 0;
  }
};

enum class ReadResult {
  kDone,
  /// The other side closed before any byte of a message.
  kClosed,
  /// Closed or reset in the middle of a message.
  kBroken,
  kTimeout,
  kMalformed,
};

/// One TCP channel.
class Channel {
 public:
  explicit Channel(int fd) : fd_(fd) {
    int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Channel() { Close(); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  static int Connect(const std::string& ip, int port, int timeout_ms) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
      return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    sockaddr_in to = Address(ip, port);
    int failed = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to));
    if (failed != 0 && errno == EINPROGRESS) {
      pollfd wait{fd, POLLOUT, 0};
      int error = 0;
      socklen_t size = sizeof(error);
      failed = poll(&wait, 1, timeout_ms) <= 0 ||
               getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
               error != 0;
    }
    if (failed != 0) {
      close(fd);
      return -1;
    }
    return fd;
  }

  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }
  int fd() const { return fd_; }
  /// Makes the end of this channel a reset, at once for the other side.
  void Reset() {
    linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    is_reset_ = true;
    shutdown(fd_, SHUT_RD);
  }
  bool is_reset() const { return is_reset_; }

  /// Writes all bytes; false if the channel broke or nothing moved for long.
  bool Write(const std::string& bytes, int timeout_ms = 5000) {
    size_t at = 0;
    while (at < bytes.size()) {
      ssize_t n = send(fd_, bytes.data() + at, bytes.size() - at,
                       MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) {
        at += static_cast<size_t>(n);
        continue;
      }
      if (n < 0 && errno != EAGAIN && errno != EINTR) {
        return false;
      }
      pollfd wait{fd_, POLLOUT, 0};
      if (poll(&wait, 1, timeout_ms) <= 0) {
        return false;
      }
    }
    return true;
  }

  /// Whether the other side has closed or reset the channel.
  bool IsClosed() {
    char c = 0;
    ssize_t n = recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
  }
  bool HasInput() const { return !buffer_.empty(); }

  /// Reads one message. `on_head` is called once the head is complete,
  /// `on_body` for each part of the body, without its framing.
  ReadResult Read(Message* message, int64_t until_ms, bool is_response,
                  const std::function<void(const Message&)>& on_head = {},
                  const std::function<void(std::string_view)>& on_body = {}) {
    *message = Message();
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      bool is_empty = buffer_.empty();
      ReadResult got = Fill(until_ms);
      if (got != ReadResult::kDone) {
        return got == ReadResult::kClosed && !is_empty ? ReadResult::kBroken
                                                       : got;
      }
    }
    std::string head = buffer_.substr(0, end);
    buffer_.erase(0, end + 4);
    if (!ParseHead(head, message)) {
      return ReadResult::kMalformed;
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
      auto left = static_cast<size_t>(
          atoll(message->Field("content-length").c_str()));
      return ReadSized(left, until_ms, take);
    }
    if (Lower(message->Field("transfer-encoding")) == "chunked") {
      return ReadChunks(until_ms, take);
    }
    if (!is_response || message->Status() / 100 == 1) {
      return ReadResult::kDone;
    }
    for (;;) {
      take(buffer_);
      buffer_.clear();
      ReadResult got = Fill(until_ms);
      if (got != ReadResult::kDone) {
        return got == ReadResult::kClosed ? ReadResult::kDone : got;
      }
    }
  }

 private:
  static bool ParseHead(const std::string& head, Message* message) {
    size_t at = head.find("\r\n");
    message->start = head.substr(0, at);
    while (at != std::string::npos) {
      size_t next = head.find("\r\n", at + 2);
      std::string line = head.substr(
          at + 2, next == std::string::npos ? next : next - at - 2);
      size_t colon = line.find(':');
      if (colon == std::string::npos) {
        return false;
      }
      size_t value = line.find_first_not_of(' ', colon + 1);
      message->fields[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
      at = next;
    }
    return true;
  }

  ReadResult Fill(int64_t until_ms) {
    for (;;) {
      int64_t left = until_ms - NowMs();
      pollfd wait{fd_, POLLIN, 0};
      int ready = left > 0 ? poll(&wait, 1, static_cast<int>(left)) : 0;
      if (ready == 0) {
        return ReadResult::kTimeout;
      }
      char bytes[65536];
      ssize_t n = recv(fd_, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (n > 0) {
        buffer_.append(bytes, static_cast<size_t>(n));
        return ReadResult::kDone;
      }
      if (n == 0) {
        return ReadResult::kClosed;
      }
      if (errno != EAGAIN && errno != EINTR) {
        return ReadResult::kBroken;
      }
    }
  }

  template <typename Take>
  ReadResult ReadSized(size_t left, int64_t until_ms, const Take& take) {
    for (;;) {
      size_t n = std::min(left, buffer_.size());
      take(std::string_view(buffer_).substr(0, n));
      buffer_.erase(0, n);
      left -= n;
      if (left == 0) {
        return ReadResult::kDone;
      }
      ReadResult got = Fill(until_ms);
      if (got != ReadResult::kDone) {
        return got == ReadResult::kClosed ? ReadResult::kBroken : got;
      }
    }
  }

  template <typename Take>
  ReadResult ReadChunks(int64_t until_ms, const Take& take) {
    for (;;) {
      size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        ReadResult got = Fill(until_ms);
        if (got != ReadResult::kDone) {
          return got == ReadResult::kClosed ? ReadResult::kBroken : got;
        }
      }
      size_t size = strtoull(buffer_.c_str(), nullptr, 16);
      buffer_.erase(0, end + 2);
      ReadResult got = ReadSized(size, until_ms, take);
      if (got != ReadResult::kDone) {
        return got;
      }
      got = ReadSized(2, until_ms, [](std::string_view) {});
      if (got != ReadResult::kDone || size == 0) {
        return got;
      }
    }
  }

  int fd_;
  std::atomic<bool> is_reset_{false};
  std::string buffer_;
};

/// Accepts channels on a loopback address; one thread a channel.
class Listener {
 public:
  using Handler = std::function<void(Channel&)>;

  /// Port 0 picks a free one. False if it cannot listen.
  bool Start(const std::string& ip, int port, Handler handler) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in at = Address(ip, port);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(fd_, 512) != 0) {
      return false;
    }
    socklen_t size = sizeof(at);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
    handler_ = std::move(handler);
    std::thread([this] {
      for (;;) {
        int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          if (errno == EINTR || errno == ECONNABORTED || errno == EMFILE) {
            SleepMs(1);
            continue;
          }
          return;
        }
        if (is_closed_) {
          close(fd);
          return;
        }
        std::thread([this, fd] {
          Channel channel(fd);
          handler_(channel);
        }).detach();
      }
    }).detach();
    return true;
  }
  /// Stops listening, so that new channels are refused.
  void Stop() {
    is_closed_ = true;
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
  }
  int port() const { return port_; }

 private:
  int fd_ = -1;
  int port_ = 0;
  std::atomic<bool> is_closed_{false};
  Handler handler_;
};

/// A port that is free on the address, with `n - 1` free ones after it.
inline int FreePort(const std::string& ip, int n = 1) {
  for (int tries = 0; tries < 100; ++tries) {
    int base = 20000 + static_cast<int>((NowMs() * 7919 + tries * 104729 +
                                         getpid() * 131) %
                                        12000);
    bool is_free = true;
    for (int i = 0; i < n && is_free; ++i) {
      int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in at = Address(ip, base + i);
      is_free = bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
      close(fd);
    }
    if (is_free) {
      return base;
    }
  }
  return 0;
}

}  // namespace review
