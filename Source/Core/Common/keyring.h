// Shared keys that authenticate messages between instances, with key rotation.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/result.h"

namespace basilvalve {

/// Signs with the first key and verifies against both, so that keys can be
/// rotated one instance at a time. Immutable after construction, hence thread
/// safe.
class Keyring {
 public:
  /// Parses "key" or "new,old". Fails with kSettingInvalid on an empty key, a
  /// key shorter than 16 bytes or more than two keys. Thread safe.
  static Result<Keyring> FromSetting(std::string_view setting);

  /// Hexadecimal HMAC-SHA256 of the message under the first key. Thread safe.
  std::string Sign(std::string_view message) const;
  /// Whether the MAC matches under any key, compared in constant time. Thread
  /// safe.
  bool Verify(std::string_view message, std::string_view mac) const;
  /// Verify for a truncated MAC: compares only the first mac.size() characters.
  /// Thread safe. Pre: mac is not empty.
  bool VerifyPrefix(std::string_view message, std::string_view mac) const;

 private:
  explicit Keyring(std::vector<std::string> keys) : keys_(std::move(keys)) {}

  std::vector<std::string> keys_;
};

}  // namespace basilvalve
