#include "Core/Edge/response_origin.h"

namespace basilvalve::edge {

NamedCall NamedOn(const net::ClientConnection& connection,
                  NamedCall named_call) {
  return named_call == NamedCall::kThis && connection.is_repeat()
             ? NamedCall::kRepeated
             : named_call;
}

ResponseOrigin OriginOf(const ResponseClaim& claim) {
  if (claim.named_call == NamedCall::kOther ||
      claim.named_call == NamedCall::kRepeated) {
    return ResponseOrigin::kForeign;
  }
  if (claim.peer_outcome) {
    // Instances of earlier builds name no call in a failure.
    return ResponseOrigin::kPeerFailure;
  }
  return claim.named_call == NamedCall::kThis ? ResponseOrigin::kUpstream
                                              : ResponseOrigin::kForeign;
}

}  // namespace basilvalve::edge
