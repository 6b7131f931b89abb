// The filters that a call passes before it runs.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "Core/Gateway/call.h"
#include "Core/Gateway/node_parts.h"

namespace basilvalve::gateway {

/// One step of the path. Implementations are thread safe.
class Filter {
 public:
  virtual ~Filter() = default;
  /// Name in journals and logs. Thread safe.
  virtual std::string_view name() const = 0;
  /// Lets the call pass, filling in what it found, or refuses it. Thread safe.
  virtual Result<void> Apply(Call* call) = 0;
};

/// The filters in order. Thread safe.
class FilterChain {
 public:
  /// Filters for calls that come from callers: draining, lookup, identity,
  /// placement, prompt, deadline.
  static FilterChain ForCallers(const NodeParts* parts);
  /// Filters for calls that come from other instances, which have identified
  /// the caller.
  static FilterChain ForPeers(const NodeParts* parts);

  /// Applies the filters until one refuses; each decision is journaled. Thread
  /// safe.
  Result<void> Apply(Call* call);
  /// Applies the filters that need the body, for a call whose body came after
  /// the rest. Thread safe.
  Result<void> ApplyBody(Call* call);

 private:
  using Filters = std::vector<std::unique_ptr<Filter>>;

  Result<void> ApplyAll(const Filters& filters, Call* call);

  explicit FilterChain(const NodeParts* parts) : parts_(parts) {}

  const NodeParts* parts_;
  Filters filters_;
  Filters body_filters_;
};

}  // namespace basilvalve::gateway
