// What an instance may use of its machine.
#pragma once

#include <algorithm>
#include <cstddef>

namespace basilvalve::net {

/// A part of an instance's buffers and connections.
struct ResourceShare {
  size_t buffer_bytes = 0;
  size_t connections = 0;
};

/// The defaults are for deployments that state no limits.
struct MachineLimits {
  size_t memory_mb = 256;
  size_t descriptors = 4096;

  /// Bytes that all connections may buffer together. A process without load
  /// takes 7 to 15 MB; the rest of what is kept back covers copies, buffers of
  /// the kernel and memory that the allocator does not return. Thread safe.
  size_t BufferBytes() const {
    constexpr size_t kBaseMb = 24;
    constexpr size_t kMegabyte = 1'000'000;
    constexpr size_t kPercent = 60;
    return (std::max(memory_mb, kBaseMb + 4) - kBaseMb) * kMegabyte * kPercent /
           100;
  }
  /// Connections, without the descriptors that are kept for files. Thread safe.
  size_t Connections() const {
    constexpr size_t kFiles = 200;
    constexpr size_t kMin = 64;
    return std::max(descriptors, kFiles + kMin) - kFiles;
  }
  /// Share of one address for readiness checks, lookups or metrics. Each has
  /// its own, so that none keeps the others or the calls from being served.
  /// Thread safe.
  ResourceShare StatusShare() const {
    constexpr size_t kBufferPart = 32;
    constexpr size_t kConnectionPart = 16;
    return {BufferBytes() / kBufferPart, Connections() / kConnectionPart};
  }
  /// What the status addresses leave to calls. Thread safe.
  ResourceShare CallShare() const {
    constexpr size_t kStatusAddresses = 3;
    ResourceShare status = StatusShare();
    return {BufferBytes() - kStatusAddresses * status.buffer_bytes,
            Connections() - kStatusAddresses * status.connections};
  }
};

}  // namespace basilvalve::net
