// Blocking HTTP/1.1 over loopback sockets for the stand-ins of the review.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// Milliseconds of the steady clock.
int64_t NowMs();
void SleepMs(int64_t ms);

/// A message: first line, fields with lower-case names, body.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string body;
  /// The end that its framing promises was read.
  bool is_complete = false;

  std::string Field(const std::string& name) const;
  /// Status of a response; 0 if there is none.
  int Status() const;
  /// Method or target of a request.
  std::string Method() const;
  std::string Target() const;
};

/// One connection. Not thread safe, except Reset.
class Channel {
 public:
  explicit Channel(int fd) : fd_(fd) {}
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// nullptr if the connection is not established in time.
  static std::unique_ptr<Channel> Connect(const std::string& ip, int port,
                                          int64_t timeout_ms);
  bool Write(const std::string& bytes);
  /// Reads one message until the time. `on_body` sees the body as it grows.
  /// False if nothing that has a head was read.
  bool Read(Message* message, int64_t until_ms,
            const std::function<void(const Message&)>& on_body = {});
  /// Whether the peer has closed the connection; reads nothing.
  bool IsClosedByPeer() const;
  int fd() const { return fd_; }

 private:
  /// Reads more bytes; false at the end or when the time is over.
  bool Fill(int64_t until_ms);
  bool ReadChunked(Message* message, int64_t until_ms,
                   const std::function<void(const Message&)>& on_body);

  int fd_;
  std::string unread_;
};

/// Accepts connections at a loopback address and serves each on a thread.
class Server {
 public:
  /// Port 0 takes a free one. False if the address is in use.
  bool Start(const std::string& ip, int port,
             std::function<void(Channel&)> serve);
  int port() const { return port_; }

 private:
  int port_ = 0;
};

/// A port of the address that nothing listens on.
int FreePort(const std::string& ip);

}  // namespace review
