#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <thread>

namespace basilvalve::process_soak {

/// Watches what one process uses of its machine. Thread safe.
class ProcessWatch {
 public:
  /// Starts to sample the open descriptors.
  explicit ProcessWatch(pid_t pid);
  ~ProcessWatch();
  ProcessWatch(const ProcessWatch&) = delete;
  ProcessWatch& operator=(const ProcessWatch&) = delete;

  /// The largest resident size so far in bytes; -1 if the process has ended.
  int64_t PeakMemory() const;
  /// Waits until the largest size has not grown for some time, or the process
  /// has ended.
  void WaitUntilSteady() const;
  /// The largest sample of open descriptors so far.
  int peak_descriptors() const { return peak_descriptors_; }
  /// The largest sample so far of bytes that the process's sockets have
  /// received and that it has not read. The kernel holds them outside of its
  /// resident memory.
  int64_t peak_unread_bytes() const { return peak_unread_bytes_; }

 private:
  void Sample();

  const pid_t pid_;
  std::atomic<int> peak_descriptors_{0};
  std::atomic<int64_t> peak_unread_bytes_{0};
  std::atomic<bool> is_over_{false};
  std::thread sampler_;
};

}  // namespace basilvalve::process_soak
