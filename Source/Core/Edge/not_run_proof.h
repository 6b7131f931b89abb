// Proof that an attempt to execute a call did not execute it.
#pragma once

#include <optional>

#include "Core/Edge/response_origin.h"
#include "Core/Net/client_connection.h"

namespace basilvalve::edge {

/// Proof that an attempt did not execute its call and never will. Only what
/// proves it creates one. Thread safe.
class NotRunProof {
 public:
  /// The connection closes before any byte of the call was written to it.
  /// nullopt if a byte was. Pre: the call was the last one sent on the
  /// connection.
  static std::optional<NotRunProof> FromConnection(
      const net::ClientConnection& connection);
  /// A response to this call says so. nullopt if it does not, or does not name
  /// the call.
  static std::optional<NotRunProof> FromResponse(const ResponseClaim& claim);

 private:
  NotRunProof() = default;
};

}  // namespace basilvalve::edge
