// Keys that authenticate what instances send each other; two are valid at once.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/result.h"

namespace basilvalve {

/// Signs with the first key and accepts any, so that keys can be rolled one
/// instance at a time. Immutable after construction, hence thread safe.
class Keyring {
 public:
  /// Parses "key" or "new,old". Fails with kSettingInvalid on an empty or short
  /// key or on more than two. Thread safe.
  static Result<Keyring> FromSetting(std::string_view setting);

  /// Hexadecimal HMAC-SHA256 of the message under the first key. Thread safe.
  std::string Sign(std::string_view message) const;
  /// Whether the MAC matches under any key, compared in constant time. Thread
  /// safe.
  bool Verify(std::string_view message, std::string_view mac) const;
  /// The same for a MAC cut to its first bytes. Thread safe. Pre: mac is not
  /// empty.
  bool VerifyPrefix(std::string_view message, std::string_view mac) const;

 private:
  explicit Keyring(std::vector<std::string> keys) : keys_(std::move(keys)) {}

  std::vector<std::string> keys_;
};

}  // namespace basilvalve
