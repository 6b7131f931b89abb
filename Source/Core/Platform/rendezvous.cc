#include "Core/Platform/rendezvous.h"

#include <algorithm>
#include <cstdint>

#include "Core/Common/hash.h"

namespace basilvalve::platform {
namespace {

struct ScoredMember {
  uint64_t score;
  const std::string* member;
};

}  // namespace

std::vector<std::string> ChooseMembers(const std::vector<std::string>& members,
                                       std::string_view key, size_t count) {
  uint64_t seed = Hash64(key);
  std::vector<ScoredMember> scored;
  scored.reserve(members.size());
  for (const std::string& it : members) {
    scored.push_back({Hash64(it, seed), &it});
  }
  size_t n = std::min(count, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<ptrdiff_t>(n),
                    scored.end(),
                    [](const ScoredMember& a, const ScoredMember& b) {
                      return a.score > b.score;
                    });
  std::vector<std::string> chosen;
  chosen.reserve(n);
  for (size_t i = 0; i < n; ++i) {
    chosen.push_back(*scored[i].member);
  }
  return chosen;
}

bool IsChosen(const std::vector<std::string>& members, std::string_view self,
              std::string_view key, size_t count) {
  std::vector<std::string> chosen = ChooseMembers(members, key, count);
  return std::find(chosen.begin(), chosen.end(), self) != chosen.end();
}

}  // namespace basilvalve::platform
