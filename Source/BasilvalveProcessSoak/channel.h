#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace basilvalve::process_soak {

/// Milliseconds of the steady clock. Thread safe.
int64_t NowMs();
/// Returns at once for times that are not positive. Thread safe.
void SleepMs(int64_t ms);

/// A request or a response. Field names are in lower case.
struct HttpMessage {
  std::string start;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const;
  std::string Target() const;
  int Status() const;
};

enum class ReadStatus { kDone, kClosed, kBroken, kTimeout, kMalformed };

/// One blocking connection. Only Reset may be called from another thread.
class Channel {
 public:
  using OnHead = std::function<void(const HttpMessage&)>;
  using OnBody = std::function<void(std::string_view)>;

  /// Takes over the socket.
  explicit Channel(int fd);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// Returns the socket, or -1.
  static int Connect(const std::string& ip, int port, int timeout_ms);
  /// Returns false if the connection broke or took no byte for 5 s.
  bool Write(std::string_view bytes);
  /// Reads one message until the time of NowMs.
  ReadStatus Read(HttpMessage* message, int64_t until_ms, bool is_response,
                  const OnHead& on_head = {}, const OnBody& on_body = {});
  /// Whether the other side has closed or reset the connection.
  bool IsClosed() const;
  bool HasInput() const;
  /// The connection ends with RST.
  void Reset();
  bool is_reset() const { return is_reset_; }
  int fd() const { return fd_; }

 private:
  ReadStatus Fill(int64_t until_ms);
  ReadStatus ReadSized(size_t left, int64_t until_ms, const OnBody& take);
  ReadStatus ReadChunks(int64_t until_ms, const OnBody& take);

  int fd_;
  std::atomic<bool> is_reset_{false};
  std::string buffer_;
};

/// Accepts connections; each is handled on a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Channel&)>;

  /// Port 0 picks a free one. The handler has to outlive its threads.
  bool Start(const std::string& ip, int port, Handler handler);
  /// New connections are refused from now on.
  void Stop();
  int port() const { return port_; }

 private:
  std::atomic<int> fd_{-1};
  int port_ = 0;
};

/// Returns a listening socket, or -1.
int ListenOn(const std::string& ip, int port);
/// First of `n` consecutive ports above `from` that are free on the address.
int FreePorts(const std::string& ip, int from, int n);

}  // namespace basilvalve::process_soak
