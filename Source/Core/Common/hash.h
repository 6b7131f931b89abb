// Hash functions: XXH3 for placement and stream checksums, SHA-256 for keys.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace basilvalve {

/// Seeded 64-bit XXH3 of the bytes. Not cryptographic. Thread safe.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);
/// Lower-case hexadecimal SHA-256 of the bytes. Thread safe.
std::string Sha256Hex(std::string_view bytes);
/// Lower-case hexadecimal form of the bytes. Thread safe.
std::string ToHex(std::string_view bytes);
/// Compares in time that depends only on the lengths. Thread safe.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

/// Incremental 64-bit XXH3 over a stream of chunks. Not thread safe.
class StreamHash {
 public:
  StreamHash();
  ~StreamHash();
  StreamHash(const StreamHash&) = delete;
  StreamHash& operator=(const StreamHash&) = delete;

  /// Appends the bytes to the hashed stream. Not thread safe.
  void Add(std::string_view bytes);
  /// Hash64, with seed 0, of all bytes added so far. Not thread safe.
  uint64_t Digest() const;
  /// Number of bytes added so far. Not thread safe.
  uint64_t Length() const { return length_; }

 private:
  struct State;
  std::unique_ptr<State> state_;
  uint64_t length_ = 0;
};

}  // namespace basilvalve
