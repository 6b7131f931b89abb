// A rate of calls.
#pragma once

#include <compare>

namespace basilvalve::flow {

/// Calls a second. Thread safe for concurrent readers.
class CallsPerSecond {
 public:
  constexpr CallsPerSecond() = default;
  /// Pre: `value` is finite and not negative.
  constexpr explicit CallsPerSecond(double value) : value_(value) {}

  constexpr double value() const { return value_; }
  constexpr auto operator<=>(const CallsPerSecond&) const = default;

 private:
  double value_ = 0;
};

}  // namespace basilvalve::flow
