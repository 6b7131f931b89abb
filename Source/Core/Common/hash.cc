#include "Core/Common/hash.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace basilvalve {

struct StreamHash::State {
  XXH3_state_t* xxh = XXH3_createState();
};

uint64_t Hash64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  return ToHex({reinterpret_cast<const char*>(digest.data()), digest.size()});
}

std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibbleMask = 0xF;
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (char byte : bytes) {
    auto n = static_cast<unsigned char>(byte);
    hex.push_back(kDigits[n >> kNibbleBits]);
    hex.push_back(kDigits[n & kNibbleMask]);
  }
  return hex;
}

bool ConstantTimeEqual(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

StreamHash::StreamHash() : state_(std::make_unique<State>()) {
  XXH3_64bits_reset(state_->xxh);
}

StreamHash::~StreamHash() { XXH3_freeState(state_->xxh); }

void StreamHash::Add(std::string_view bytes) {
  XXH3_64bits_update(state_->xxh, bytes.data(), bytes.size());
  length_ += bytes.size();
}

uint64_t StreamHash::Digest() const { return XXH3_64bits_digest(state_->xxh); }

}  // namespace basilvalve
