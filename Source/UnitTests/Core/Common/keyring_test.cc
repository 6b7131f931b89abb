#include "Core/Common/keyring.h"

#include <catch2/catch.hpp>

#include "Core/Common/hash.h"

namespace basilvalve {
namespace {

constexpr std::string_view kOldKey = "old-key-0123456789";
constexpr std::string_view kNewKey = "new-key-0123456789";

TEST_CASE("instances accept each other's MACs during key rotation") {
  Keyring before = *Keyring::FromSetting(kOldKey);
  Keyring during =
      *Keyring::FromSetting(std::string(kNewKey) + "," + std::string(kOldKey));
  Keyring after = *Keyring::FromSetting(kNewKey);
  CHECK(during.Verify("m", before.Sign("m")));
  CHECK(during.Verify("m", after.Sign("m")));
  CHECK(after.Verify("m", during.Sign("m")));
  CHECK_FALSE(after.Verify("m", before.Sign("m")));
  CHECK_FALSE(during.Verify("n", during.Sign("m")));
}

TEST_CASE("invalid key settings are rejected") {
  for (const char* it :
       {"", "short", "long-enough-key-0001,", "a,b,c",
        "long-enough-key-0001,long-enough-key-0002,long-enough-key-0003"}) {
    CHECK_FALSE(Keyring::FromSetting(it).has_value());
  }
}

TEST_CASE("incremental hash equals the hash of the concatenated chunks") {
  StreamHash hash;
  hash.Add("whole ");
  hash.Add("");
  hash.Add("answer");
  CHECK(hash.Digest() == Hash64("whole answer"));
  CHECK(hash.Length() == 12);
  CHECK(ConstantTimeEqual("abc", "abc"));
  CHECK_FALSE(ConstantTimeEqual("abc", "abd"));
  CHECK_FALSE(ConstantTimeEqual("abc", "ab"));
}

}  // namespace
}  // namespace basilvalve
