#pragma once

#include <cstdint>
#include <list>
#include <mutex>
#include <random>
#include <string>

namespace basilvalve::process_soak {

/// What a proxy does to its connections for some time.
struct LinkTrouble {
  /// Bytes of these directions are kept and go on at the end.
  bool holds_requests = false;
  bool holds_answers = false;
  int delay_ms = 0;
  bool cuts_into_pieces = false;
};

enum class LinkEnd { kResetBoth, kResetCaller, kResetServer, kHalfClose };

/// Passes TCP connections on to one address, on a thread of its own. Thread
/// safe.
class Proxy {
 public:
  Proxy(std::string ip, int port, uint64_t seed)
      : ip_(std::move(ip)), port_(port), random_(seed) {}

  bool Start(const std::string& ip, int port);
  int port() const { return port_in_; }
  void SetTrouble(const LinkTrouble& trouble);
  /// Ends a share of the connections.
  void End(LinkEnd how, double share);
  /// Number of connections that were passed on.
  int connections();
  /// Caller's port of the connection whose server side has the local port, or
  /// 0.
  int CallerPort(int server_side_port);

 private:
  struct Way {
    std::string bytes;
    int64_t due_ms = 0;
    bool has_ended = false;
    bool is_end_passed_on = false;
  };
  struct Connection {
    int fds[2] = {-1, -1};
    int caller_port = 0;
    int server_side_port = 0;
    /// 0: what the caller sends, 1: what the server sends.
    Way ways[2];
    bool is_over = false;
  };

  void Loop();
  void Accept();
  bool Holds(int way) const;
  bool CanWrite(const Connection& connection, int way, int64_t now) const;
  void ReadFrom(Connection* connection, int way, int64_t now);
  void WriteFrom(Connection* connection, int way, int64_t now);
  static void Close(Connection* connection, bool resets_caller,
                    bool resets_server);

  std::string ip_;
  int port_;
  int listen_fd_ = -1;
  int port_in_ = 0;
  int wake_[2] = {-1, -1};
  std::mutex mutex_;
  std::mt19937_64 random_;
  LinkTrouble trouble_;
  std::list<Connection> connections_;
  int accepted_ = 0;
};

}  // namespace basilvalve::process_soak
