// Filters that check and annotate a call before it runs.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "Core/Gateway/call.h"
#include "Core/Gateway/node_parts.h"

namespace basilvalve::gateway {

/// One check in a filter chain. Implementations are thread safe.
class Filter {
 public:
  virtual ~Filter() = default;
  /// Name in the request journal. Thread safe.
  virtual std::string_view name() const = 0;
  /// Checks the call and fills in the fields of `call` that this filter
  /// determines. An error rejects the call. Thread safe.
  virtual Result<void> Apply(Call* call) = 0;
};

/// An ordered list of filters. Thread safe.
class FilterChain {
 public:
  /// Filters for calls received from callers: drain, lookup, identity,
  /// placement, prompt, deadline. Pre: `parts` outlives the chain.
  static FilterChain ForCallers(const NodeParts* parts);
  /// Filters for calls forwarded by other instances. The forwarding instance
  /// has already authenticated the caller. Pre: `parts` outlives the chain.
  static FilterChain ForPeers(const NodeParts* parts);

  /// Applies the filters in order, records each decision in the request journal
  /// and returns the first error. Thread safe.
  Result<void> Apply(Call* call);
  /// Applies the filters that need the body of a forwarded call, whose body
  /// arrives after its header. Thread safe.
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
