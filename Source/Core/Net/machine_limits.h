// What an instance may use of its machine.
#pragma once

#include <algorithm>
#include <cstddef>

namespace basilvalve::edge {

/// The defaults are for deployments that state no limits.
struct MachineLimits {
  size_t memory_mb = 256;
  size_t descriptors = 4096;

  /// Bytes that all connections may buffer together. A process without load
  /// takes 7 to 15 MB; the rest of what is kept back covers copies, buffers of
  /// the kernel and memory that the allocator does not return.
  size_t BufferBytes() const {
    constexpr size_t kBaseMb = 24;
    constexpr size_t kMegabyte = 1'000'000;
    constexpr size_t kPercent = 60;
    return (std::max(memory_mb, kBaseMb + 4) - kBaseMb) * kMegabyte * kPercent /
           100;
  }
  /// Connections, without the descriptors that are kept for files.
  size_t Connections() const {
    constexpr size_t kFiles = 200;
    constexpr size_t kMin = 16;
    return std::max(descriptors, kFiles + kMin) - kFiles;
  }
};

}  // namespace basilvalve::edge
