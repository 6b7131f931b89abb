#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace basilvalve::process_soak {

/// Passes datagrams between gateways on, on a thread of its own, and may lose,
/// double or delay them. Pre: Add is not called after Start.
class DatagramRelay {
 public:
  /// Datagrams to the outer port go to the inner one. The two have the same
  /// number of digits: the inner address in a datagram is replaced by the outer
  /// one, so that its receiver uses the relay as well.
  bool Add(const std::string& ip, int outer_port, int inner_port);
  void Start(uint64_t seed);
  /// Shares of the datagrams. Thread safe.
  void SetTrouble(double lost, double doubled, double late);

 private:
  struct Endpoint {
    int fd = -1;
    std::string ip;
  };
  struct Late {
    int64_t due_ms = 0;
    size_t to = 0;
    std::string bytes;
  };

  void Loop();
  void Pass(size_t to, std::string bytes);
  void Send(size_t to, const std::string& bytes);

  std::vector<Endpoint> endpoints_;
  int inner_port_ = 0;
  std::string inner_text_;
  std::string outer_text_;
  std::deque<Late> late_;
  std::mt19937_64 random_;
  std::atomic<double> lost_share_{0};
  std::atomic<double> doubled_share_{0};
  std::atomic<double> late_share_{0};
};

}  // namespace basilvalve::process_soak
