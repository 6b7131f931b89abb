// Seeded pseudo-random numbers, the source of all random choices of a process.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace basilvalve {

/// A seeded generator. Not thread safe: each thread or shard owns one.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  /// Uniform in [0, bound). Not thread safe. Pre: bound > 0.
  uint64_t Below(uint64_t bound);
  /// Uniform in [0, 1). Not thread safe.
  double UniformDouble();
  /// 16 random bytes in hexadecimal. Not thread safe.
  std::string HexId();
  /// The next 64 random bits. Not thread safe.
  uint64_t Next() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/// A seed from the operating system, different for every process start. Thread
/// safe.
uint64_t ProcessSeed();

}  // namespace basilvalve
