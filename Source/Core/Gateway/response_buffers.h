// Limit on the responses that handlers buffer before they send them.
#pragma once

#include <atomic>
#include <cstddef>

namespace basilvalve::gateway {

/// Counts the bytes of responses that are buffered until they are complete.
/// Thread safe.
class ResponseBuffers {
 public:
  explicit ResponseBuffers(size_t limit) : limit_(limit) {}
  ResponseBuffers(const ResponseBuffers&) = delete;
  ResponseBuffers& operator=(const ResponseBuffers&) = delete;

  /// Takes `n` bytes; false if there is no room. Thread safe.
  [[nodiscard]] bool TryAdd(size_t n) {
    if (used_.fetch_add(n) + n <= limit_) {
      return true;
    }
    used_.fetch_sub(n);
    return false;
  }
  /// Pre: TryAdd has returned true for these bytes. Thread safe.
  void Remove(size_t n) { used_.fetch_sub(n); }
  /// Thread safe.
  size_t used() const { return used_; }

 private:
  const size_t limit_;
  std::atomic<size_t> used_{0};
};

}  // namespace basilvalve::gateway
