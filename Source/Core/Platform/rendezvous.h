// Rendezvous hashing: which few members of a live list carry a duty.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace basilvalve::platform {

/// The `count` members with the highest hash for the duty, best first. All
/// instances with the same list agree; losing one member moves only its own
/// duties. Thread safe.
std::vector<std::string> ChooseMembers(const std::vector<std::string>& members,
                                       std::string_view key, size_t count);

/// Whether `self` is among the chosen. Thread safe.
bool IsChosen(const std::vector<std::string>& members, std::string_view self,
              std::string_view key, size_t count);

}  // namespace basilvalve::platform
