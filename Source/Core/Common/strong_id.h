// Strongly typed ids and numbers, so that the compiler rejects mixed-up ones.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace basilvalve {

/// A string identifier. Each Tag makes a distinct type without conversions to
/// the others.
template <typename Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : value_(std::move(value)) {}

  /// Thread safe for concurrent readers. No preconditions.
  const std::string& value() const { return value_; }
  /// Thread safe for concurrent readers. No preconditions.
  bool empty() const { return value_.empty(); }

  auto operator<=>(const StrongString&) const = default;

 private:
  std::string value_;
};

/// An unsigned integer. Each Tag makes a distinct type.
template <typename Tag>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(uint64_t value) : value_(value) {}

  /// Thread safe for concurrent readers. No preconditions.
  constexpr uint64_t value() const { return value_; }

  constexpr auto operator<=>(const StrongNumber&) const = default;

 private:
  uint64_t value_ = 0;
};

using RegionId = StrongString<struct RegionTag>;
using InstanceId = StrongString<struct InstanceTag>;
using UpstreamId = StrongString<struct UpstreamTag>;
using WorkspaceId = StrongString<struct WorkspaceTag>;
using ServiceName = StrongString<struct ServiceTag>;
using ModelName = StrongString<struct ModelTag>;
using RequestId = StrongString<struct RequestTag>;
using ChangeId = StrongString<struct ChangeTag>;

/// Identifies one run of an instance; a restart has a higher number.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// Version of a service document; every accepted change increases it.
using DocumentVersion = StrongNumber<struct DocumentVersionTag>;
/// Sequence number of a message or ticket within one incarnation.
using Sequence = StrongNumber<struct SequenceTag>;
/// Modification index of the key-value service.
using StoreIndex = StrongNumber<struct StoreIndexTag>;

}  // namespace basilvalve

template <typename Tag>
struct std::hash<basilvalve::StrongString<Tag>> {
  size_t operator()(const basilvalve::StrongString<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};

template <typename Tag>
struct std::hash<basilvalve::StrongNumber<Tag>> {
  size_t operator()(const basilvalve::StrongNumber<Tag>& number) const {
    return std::hash<uint64_t>()(number.value());
  }
};
