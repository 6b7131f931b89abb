// How an instance divides the memory and descriptors of its machine.
#pragma once

#include "Core/Common/result.h"
#include "Core/Gateway/node_settings.h"
#include "Core/Net/machine_limits.h"

namespace basilvalve::gateway {

/// How often the body of a call is in memory: in the call, once more as the
/// prompt of a model call, and in its serialized form while that is sent to an
/// upstream.
inline constexpr size_t kBodyCopies = 3;

/// What each part of an instance may take.
struct NodeShares {
  net::ResourceShare callers;
  net::ResourceShare admin;
  /// Accepted connections of other instances.
  size_t peer_connections = 0;
  /// Bytes of responses that are buffered until they are complete.
  size_t response_bytes = 0;

  /// Divides what `settings` permit. Fails with kSettingInvalid if that is not
  /// enough for the other limits in `settings`. Thread safe.
  static Result<NodeShares> Create(const NodeSettings& settings);
};

}  // namespace basilvalve::gateway
