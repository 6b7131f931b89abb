#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "BasilvalveProcessSoak/channel.h"
#include "BasilvalveProcessSoak/ledger.h"

namespace basilvalve::process_soak {

/// One kind of request.
struct RequestKind {
  std::string name;
  int64_t limit_ms = 3000;
  size_t body_bytes = 0;
  bool may_repeat = false;
  int tokens_in = 0;
  int tokens_out = 0;
  /// Of the whole deployment.
  double per_s = 1;
};

/// Shares of the requests that a client handles badly.
struct ClientTrouble {
  std::atomic<double> gives_up{0};
  std::atomic<double> resets{0};
  std::atomic<double> writes_pieces{0};
  std::atomic<double> sends_long_bodies{0};
  /// Repeats refused requests under their id, against the protocol.
  std::atomic<double> keeps_ids{0};
};

/// Sends requests of one kind to one gateway's address, on kept connections,
/// and repeats them as the platform's clients do.
class Client {
 public:
  Client(std::string gateway, std::string ip, int port, RequestKind kind,
         double per_s, const ClientTrouble* trouble, Ledger* ledger,
         uint64_t seed);
  /// Sends until the flag is set; requests may still be open afterwards.
  void Run(const std::atomic<bool>& is_over);
  int open() const { return open_; }

 private:
  double Share();
  std::string NewId();
  std::unique_ptr<Channel> TakeChannel(bool is_fresh);
  void Request();
  int Attempt(const std::string& id, int64_t until_ms, bool is_fresh,
              double* retry_after_s);
  bool WriteRequest(Channel* channel, const std::string& text);

  const std::string gateway_;
  const std::string ip_;
  const int port_;
  const RequestKind kind_;
  const double per_s_;
  const ClientTrouble* trouble_;
  Ledger* ledger_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Channel>> idle_;
  std::atomic<int> open_{0};
};

}  // namespace basilvalve::process_soak
