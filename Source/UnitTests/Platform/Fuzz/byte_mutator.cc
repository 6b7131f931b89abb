#include "UnitTests/Platform/Fuzz/byte_mutator.h"

#include <array>

namespace basilvalve::fuzz {
namespace {

// Changes per input. One change tests which values a field accepts, several
// test how a parser continues from an invalid state.
constexpr uint64_t kMaxChanges = 6;
// Maximum number of bytes that one change copies or erases.
constexpr uint64_t kMaxEditBytes = 40;

// Strings on which the parsers branch.
constexpr std::array<std::string_view, 28> kDictionary = {
    "\r\n",
    "\n",
    "\r\n\r\n",
    "\n\n",
    ":",
    " ",
    "\t",
    ",",
    "0",
    "-1",
    "1e309",
    "18446744073709551616",
    "4294967295",
    "0x10",
    "null",
    "true",
    "[]",
    "{}",
    "\"",
    "\\u0000",
    "\xff\xfe",
    "Content-Length: 7\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding : chunked\r\n",
    "Connection: close\r\n",
    "id: 5\n",
    "ffffffffffffffff\r\n",
    "HTTP/1.1"};

}  // namespace

std::string ByteMutator::Next() {
  std::string bytes = RandomCorpusEntry();
  for (uint64_t n = random_.Below(kMaxChanges + 1); n > 0; --n) {
    MutateOnce(&bytes);
  }
  return bytes;
}

void ByteMutator::MutateOnce(std::string* bytes) {
  size_t at = random_.Below(bytes->size() + 1);
  size_t n = 1 + random_.Below(kMaxEditBytes);
  switch (random_.Below(7)) {
    case 0:
      if (at < bytes->size()) {
        (*bytes)[at] = static_cast<char>(random_.Below(256));
      }
      return;
    case 1:
      bytes->erase(at, n);
      return;
    case 2:
      bytes->insert(at, kDictionary[random_.Below(kDictionary.size())]);
      return;
    case 3:
      bytes->insert(at, bytes->substr(random_.Below(bytes->size() + 1), n));
      return;
    case 4:
      bytes->resize(at);
      return;
    case 5: {
      const std::string& other = RandomCorpusEntry();
      bytes->resize(at);
      bytes->append(other, random_.Below(other.size() + 1));
      return;
    }
    default:
      if (at < bytes->size()) {
        (*bytes)[at] =
            static_cast<char>((*bytes)[at] ^ (1U << random_.Below(8)));
      }
      return;
  }
}

}  // namespace basilvalve::fuzz
