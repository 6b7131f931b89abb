// Parses HTTP requests of callers.
#pragma once

#include "Core/Gateway/call.h"
#include "Core/Gateway/node_parts.h"
#include "Core/Http/http_server.h"

namespace basilvalve::gateway {

/// Path of model calls, both from callers and to upstreams.
inline constexpr std::string_view kModelPath = "/v1/chat/completions";
/// Path prefix of service calls, followed by `{service}/{path}`.
inline constexpr std::string_view kServicePrefix = "/v1/services/";

/// Parses a call. Fails with kMalformedRequest, kDuplicateHeader or
/// kBodyTooLarge. The request id contains this instance's id, so that any
/// instance can find the one that recorded the outcome. Thread safe.
Result<Call> ParseCall(http::Exchange* exchange, const NodeParts& parts);

/// The instance that assigned a request id.
struct RequestOrigin {
  InstanceId instance;
  Incarnation incarnation;
};
/// Parses a request id made by ParseCall. Fails with kMalformedRequest. Thread
/// safe.
Result<RequestOrigin> ParseRequestId(const RequestId& id);

}  // namespace basilvalve::gateway
