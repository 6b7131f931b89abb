#include "Core/Edge/response_origin.h"

namespace basilvalve::edge {

ResponseOrigin OriginOf(const ResponseClaim& claim) {
  if (claim.named_call == NamedCall::kOther) {
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
