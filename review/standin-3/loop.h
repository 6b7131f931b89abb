// Single-threaded event loop, HTTP/1.1 connections and process handling for the stand-ins of the
// third review. IPv4 loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace review {

inline double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class Loop {
 public:
  Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {}

  void Watch(int fd, uint32_t events, std::function<void(uint32_t)> fn) {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    bool known = handlers_.count(fd) > 0;
    handlers_[fd] = std::make_shared<std::function<void(uint32_t)>>(std::move(fn));
    epoll_ctl(epoll_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
  }
  void Change(int fd, uint32_t events) {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
  }
  void Forget(int fd) {
    if (handlers_.erase(fd) > 0) epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
  }
  void After(double seconds, std::function<void()> fn) { timers_.emplace(Now() + seconds, std::move(fn)); }

  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      double wait = timers_.empty() ? 0.05 : std::clamp(timers_.begin()->first - Now(), 0.0, 0.05);
      std::vector<epoll_event> events(256);
      int n = epoll_wait(epoll_, events.data(), 256, static_cast<int>(wait * 1000));
      for (int i = 0; i < n; ++i) {
        auto it = handlers_.find(events[i].data.fd);
        if (it == handlers_.end()) continue;
        auto fn = it->second;
        (*fn)(events[i].events);
      }
      while (!timers_.empty() && timers_.begin()->first <= Now()) {
        auto fn = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        fn();
      }
    }
  }
  void RunFor(double seconds) {
    double end = Now() + seconds;
    RunUntil([end] { return Now() >= end; });
  }

 private:
  int epoll_;
  std::map<int, std::shared_ptr<std::function<void(uint32_t)>>> handlers_;
  std::multimap<double, std::function<void()>> timers_;
};

// One HTTP message as received, without its framing.
struct Message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return "";
  }
  std::string Word(size_t n) const {
    std::istringstream in(start);
    std::string word;
    for (size_t i = 0; i <= n; ++i) in >> word;
    return word;
  }
  int Status() const { return atoi(Word(1).c_str()); }
};

// A TCP connection. Callbacks may close it.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Ptr = std::shared_ptr<Connection>;
  Connection(Loop* loop, int fd) : loop_(loop), fd_(fd) {}
  ~Connection() { Close(); }

  static Ptr Connect(Loop* loop, const std::string& host, int port, int receive_buffer = 0) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (receive_buffer > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &to.sin_addr);
    connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to));
    auto self = std::make_shared<Connection>(loop, fd);
    self->Start();
    return self;
  }

  void Start() {
    std::weak_ptr<Connection> weak = weak_from_this();
    loop_->Watch(fd_, Events(), [weak](uint32_t events) {
      if (auto self = weak.lock()) self->OnEvents(events);
    });
  }
  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void Write(std::string_view bytes) {
    if (!is_open()) return;
    out_.append(bytes);
    Flush();
  }
  size_t unwritten() const { return out_.size(); }
  void Close() {
    if (!is_open()) return;
    loop_->Forget(fd_);
    close(fd_);
    fd_ = -1;
  }
  void Reset() {
    if (!is_open()) return;
    linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  void SetReading(bool reading) {
    reading_ = reading;
    if (is_open()) loop_->Change(fd_, Events());
  }
  // Reads at most so many bytes now, whether it is reading or not; -1: ended.
  ssize_t ReadSome(size_t most) {
    std::string buffer(most, '\0');
    ssize_t n = is_open() ? recv(fd_, buffer.data(), most, 0) : 0;
    if (n > 0) in.append(buffer, 0, static_cast<size_t>(n));
    if (n < 0 && (errno == EAGAIN || errno == EINPROGRESS)) return 0;
    return n > 0 ? n : -1;
  }

  std::string in;
  bool ended = false;
  std::function<void()> on_read;
  std::function<void()> on_end;
  std::function<void()> on_drained;

 private:
  uint32_t Events() const { return (reading_ ? EPOLLIN : 0u) | (out_.empty() ? 0u : EPOLLOUT); }
  void Flush() {
    size_t written = 0;
    while (written < out_.size()) {
      ssize_t n = send(fd_, out_.data() + written, out_.size() - written, MSG_NOSIGNAL);
      if (n <= 0) break;
      written += static_cast<size_t>(n);
    }
    out_.erase(0, written);
    loop_->Change(fd_, Events());
  }
  void OnEvents(uint32_t events) {
    auto self = shared_from_this();
    if ((events & EPOLLOUT) != 0) {
      Flush();
      if (out_.empty() && on_drained) on_drained();
    }
    if (!is_open() || (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) == 0) return;
    if (!reading_ && (events & (EPOLLERR | EPOLLHUP)) == 0) return;
    char buffer[65536];
    ssize_t n = recv(fd_, buffer, sizeof(buffer), 0);
    if (n > 0) {
      in.append(buffer, static_cast<size_t>(n));
      if (on_read) on_read();
    } else if (n == 0 || (errno != EAGAIN && errno != EINPROGRESS)) {
      ended = true;
      Close();
      if (on_end) on_end();
    }
  }

  Loop* loop_;
  int fd_;
  std::string out_;
  bool reading_ = true;
};

inline bool ParseHead(std::string* in, Message* message) {
  size_t end = in->find("\r\n\r\n");
  if (end == std::string::npos) return false;
  std::istringstream lines(in->substr(0, end));
  std::string line;
  std::getline(lines, message->start);
  if (!message->start.empty() && message->start.back() == '\r') message->start.pop_back();
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    size_t value = line.find_first_not_of(" \t", colon + 1);
    message->fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
  }
  in->erase(0, end + 4);
  return true;
}

// Reads messages of a stated length from a connection, one after the other.
class RequestReader {
 public:
  // True once a whole message is in `message`.
  bool Next(std::string* in, Message* message) {
    if (!has_head_) {
      current_ = Message();
      if (!ParseHead(in, &current_)) return false;
      has_head_ = true;
      length_ = static_cast<size_t>(atoll(current_.Field("Content-Length").c_str()));
    }
    if (in->size() < length_) return false;
    current_.body = in->substr(0, length_);
    in->erase(0, length_);
    has_head_ = false;
    *message = std::move(current_);
    return true;
  }

 private:
  Message current_;
  bool has_head_ = false;
  size_t length_ = 0;
};

class Listener {
 public:
  Listener(Loop* loop, const std::string& host, int port, std::function<void(Connection::Ptr)> fn) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &at.sin_addr);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 || listen(fd_, 1024) != 0) {
      fprintf(stderr, "cannot listen on %s:%d\n", host.c_str(), port);
      exit(2);
    }
    socklen_t size = sizeof(at);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
    loop->Watch(fd_, EPOLLIN, [this, loop, fn](uint32_t) {
      for (;;) {
        int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) return;
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        auto connection = std::make_shared<Connection>(loop, fd);
        connection->Start();
        fn(connection);
      }
    });
  }
  int port() const { return port_; }

 private:
  int fd_ = -1;
  int port_ = 0;
};

// The first of `n` ports in a row that are free at this address, below those that the system gives out.
inline int FreePorts(const std::string& host, int n) {
  for (int base = 10000 + getpid() % 10000;; base += n) {
    std::vector<int> taken;
    for (int port = base; port < base + n; ++port) {
      int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in at{};
      at.sin_family = AF_INET;
      at.sin_port = htons(static_cast<uint16_t>(port));
      inet_pton(AF_INET, host.c_str(), &at.sin_addr);
      if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0) {
        taken.push_back(fd);
      } else {
        close(fd);
      }
    }
    for (int fd : taken) close(fd);
    if (static_cast<int>(taken.size()) == n) return base;
  }
}

}  // namespace review
