// Hashes: xxh3 for placement and integrity of streams, SHA-256 for keys.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace basilvalve {

/// 64-bit xxh3 of the bytes with a seed. Thread safe.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);
/// Lower-case hexadecimal SHA-256 of the bytes. Thread safe.
std::string Sha256Hex(std::string_view bytes);
/// Lower-case hexadecimal form of the bytes. Thread safe.
std::string ToHex(std::string_view bytes);
/// Compares in time that depends only on the lengths. Thread safe.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

/// Running xxh3 over a stream of pieces. Not thread safe.
class StreamHash {
 public:
  StreamHash();
  ~StreamHash();
  StreamHash(const StreamHash&) = delete;
  StreamHash& operator=(const StreamHash&) = delete;

  /// Adds the bytes. Not thread safe.
  void Add(std::string_view bytes);
  /// Hash of all bytes so far. Not thread safe.
  uint64_t Digest() const;
  /// Number of bytes so far. Not thread safe.
  uint64_t Length() const { return length_; }

 private:
  struct State;
  std::unique_ptr<State> state_;
  uint64_t length_ = 0;
};

}  // namespace basilvalve
