// Turns HTTP requests of callers into calls.
#pragma once

#include "Core/Gateway/call.h"
#include "Core/Gateway/node_parts.h"
#include "Core/Http/http_server.h"

namespace basilvalve::gateway {

/// Path of model calls, for callers and upstreams alike.
inline constexpr std::string_view kModelPath = "/v1/chat/completions";
/// Prefix of plain service calls.
inline constexpr std::string_view kServicePrefix = "/v1/services/";

/// Parses a call. Fails with kMalformedRequest, kDuplicateHeader or
/// kBodyTooLarge. The call gets an id that names this instance, so that any
/// instance can ask after it. Thread safe.
Result<Call> ParseCall(const http::Exchange& exchange, const NodeParts& parts);

/// The instance and incarnation named in a request id. Fails with
/// kMalformedRequest.
struct RequestOrigin {
  InstanceId instance;
  Incarnation incarnation;
};
Result<RequestOrigin> ParseRequestId(const RequestId& id);

}  // namespace basilvalve::gateway
