#include "Core/Common/random.h"

#include <array>
#include <cstdio>

namespace basilvalve {

uint64_t Random::Below(uint64_t bound) {
  return std::uniform_int_distribution<uint64_t>(0, bound - 1)(engine_);
}

double Random::UniformDouble() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
}

std::string Random::HexId() {
  constexpr size_t kBufferBytes = 33;
  std::array<char, kBufferBytes> buf{};
  std::snprintf(
      buf.data(), buf.size(), "%016llx%016llx",
      static_cast<unsigned long long>(engine_()),  // NOLINT(google-runtime-int)
      static_cast<unsigned long long>(
          engine_()));  // NOLINT(google-runtime-int)
  return buf.data();
}

uint64_t ProcessSeed() {
  constexpr unsigned kHalfBits = 32;
  std::random_device device;
  return (static_cast<uint64_t>(device()) << kHalfBits) | device();
}

}  // namespace basilvalve
