// Decides whether a response belongs to a call, before anything else follows
// from it.
#pragma once

#include <optional>

#include "Core/Common/result_code.h"
#include "Core/Edge/call_dialect.h"
#include "Core/Net/client_connection.h"

namespace basilvalve::edge {

/// What the head of a response claims.
struct ResponseClaim {
  NamedCall named_call = NamedCall::kNone;
  /// The sender states that it did not execute the call.
  bool not_executed = false;
  /// Set if the sender is a peer instance that had no response of an upstream.
  std::optional<Outcome> peer_outcome;
};

enum class ResponseOrigin {
  /// Belongs to another call or to none: it does not end this one, and its
  /// connection is not used again.
  kForeign,
  /// A peer instance failed to get a response.
  kPeerFailure,
  /// The upstream's own response, a refusal included.
  kUpstream,
};

/// What a name in a response proves: `named_call` says what the response names,
/// `connection` is the one that delivered it. Pre: the call was the last one
/// sent on the connection. Not thread safe.
NamedCall NamedOn(const net::ClientConnection& connection,
                  NamedCall named_call);
/// Pure function. Thread safe.
ResponseOrigin OriginOf(const ResponseClaim& claim);

}  // namespace basilvalve::edge
