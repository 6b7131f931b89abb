#include "Core/Common/keyring.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

#include "Core/Common/hash.h"

namespace basilvalve {
namespace {

constexpr size_t kMinKeyBytes = 16;
constexpr size_t kMaxKeys = 2;

std::string HmacHex(const std::string& key, std::string_view message) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(),
       mac.data(), &n);
  return ToHex({reinterpret_cast<const char*>(mac.data()), n});
}

}  // namespace

Result<Keyring> Keyring::FromSetting(std::string_view setting) {
  std::vector<std::string> keys;
  size_t begin = 0;
  while (begin <= setting.size()) {
    size_t end = std::min(setting.find(',', begin), setting.size());
    keys.emplace_back(setting.substr(begin, end - begin));
    begin = end + 1;
  }
  bool too_short = std::any_of(
      keys.begin(), keys.end(),
      [](const std::string& key) { return key.size() < kMinKeyBytes; });
  if (too_short || keys.size() > kMaxKeys) {
    return Fail(ResultCode::kSettingInvalid,
                "peer keys: one or two keys of at least 16 bytes, separated by "
                "a comma");
  }
  return Keyring(std::move(keys));
}

std::string Keyring::Sign(std::string_view message) const {
  return HmacHex(keys_.front(), message);
}

bool Keyring::Verify(std::string_view message, std::string_view mac) const {
  return std::any_of(keys_.begin(), keys_.end(), [&](const std::string& key) {
    return ConstantTimeEqual(HmacHex(key, message), mac);
  });
}

bool Keyring::VerifyPrefix(std::string_view message,
                           std::string_view mac) const {
  return std::any_of(keys_.begin(), keys_.end(), [&](const std::string& key) {
    return ConstantTimeEqual(HmacHex(key, message).substr(0, mac.size()), mac);
  });
}

}  // namespace basilvalve
