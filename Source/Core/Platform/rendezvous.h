// Rendezvous (highest random weight) hashing: assigns a key to members of a
// list.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace basilvalve::platform {

/// The `count` members with the highest hash for the key, in descending order
/// of hash. All instances with the same list compute the same result; removing
/// a member reassigns only that member's keys. Thread safe.
std::vector<std::string> ChooseMembers(const std::vector<std::string>& members,
                                       std::string_view key, size_t count);

/// Whether ChooseMembers returns `self`. Thread safe.
bool IsChosen(const std::vector<std::string>& members, std::string_view self,
              std::string_view key, size_t count);

}  // namespace basilvalve::platform
