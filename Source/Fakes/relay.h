// TCP relay for tests that can cut and freeze connections.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Http/http_message.h"

namespace basilvalve::fakes {

/// Forwards TCP connections from its own address to a target. Thread safe.
class Relay {
 public:
  /// Starts a relay on a free port of `ip`. Returns null if it cannot listen.
  /// Thread safe.
  static std::unique_ptr<Relay> Start(const std::string& ip,
                                      const http::Endpoint& target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// The relay's own address. Thread safe.
  http::Endpoint endpoint() const { return endpoint_; }
  /// While cut, closes existing connections and closes each new one right after
  /// accepting it. Thread safe.
  void SetCut(bool cut);
  /// While frozen, forwards no bytes and leaves connections open. Thread safe.
  void SetFrozen(bool frozen) { frozen_ = frozen; }
  /// Closes the connection after forwarding this many more bytes towards the
  /// caller, counted over all connections; negative for never. Thread safe.
  void CutAfter(int64_t bytes) { bytes_until_cut_ = bytes; }

 private:
  explicit Relay(http::Endpoint target) : target_(std::move(target)) {}

  bool Listen(const std::string& ip);
  void AcceptConnections();
  void ForwardConnection(int caller, int upstream);
  bool ForwardBytes(int from, int to, bool counts_toward_cut);

  http::Endpoint target_;
  http::Endpoint endpoint_;
  int listen_fd_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> cut_{false};
  std::atomic<bool> frozen_{false};
  std::atomic<int64_t> bytes_until_cut_{-1};
  std::thread accept_thread_;
  std::mutex mutex_;
  // Guarded by mutex_.
  std::vector<std::thread> forward_threads_;
};

}  // namespace basilvalve::fakes
