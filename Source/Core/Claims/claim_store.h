// Claims of idempotency keys in the key-value service.
#pragma once

#include <optional>
#include <string>

#include "Core/Claims/call_ledger.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"
#include "Core/Platform/key_value_store.h"

namespace basilvalve::claims {

/// Who claimed a key, for which request, and what became of it.
struct ClaimRecord {
  InstanceId owner;
  Incarnation incarnation;
  RequestId request;
  uint64_t body_hash = 0;
  /// kRunning until the owner writes the end.
  Outcome outcome = Outcome::kRunning;
};

/// Result of trying to claim a key.
struct ClaimResult {
  /// True if this request holds the claim and must run the call.
  bool owned = false;
  /// The claim that is in the service.
  ClaimRecord record;
  StoreIndex index;
};

/// Claims keys by create-if-absent. A claim is never taken over because a lease
/// lapsed: a paused owner may still send. Thread safe.
class ClaimStore {
 public:
  /// Pre: `store` outlives the claims.
  ClaimStore(platform::KeyValueStore* store, Seconds retention)
      : store_(store), keep_(retention) {}

  /// Claims a key for `wanted.request`, settling lost replies by reading back.
  /// Fails with kClaimUnavailable, after which the request must not run. Thread
  /// safe; blocks.
  Result<ClaimResult> Acquire(const ServiceName& service,
                              const std::string& key,
                              const ClaimRecord& wanted);
  /// Replaces a claim of this owner that is known never to have run. Fails with
  /// kClaimUnavailable. Thread safe; blocks. Pre: `held` was returned by
  /// Acquire.
  Result<ClaimResult> Replace(const ServiceName& service,
                              const std::string& key, const ClaimResult& held,
                              const ClaimRecord& wanted);
  /// Records the end of a call. Best effort: without it the claim stays
  /// kRunning and is told as unknown once its owner is gone. Thread safe;
  /// blocks.
  Result<void> Finish(const ServiceName& service, const std::string& key,
                      const ClaimResult& held, Outcome outcome);

 private:
  Result<ClaimResult> Swap(const std::string& path, const ClaimRecord& wanted,
                           StoreIndex expected);
  Result<std::optional<ClaimResult>> Read(const std::string& path);

  platform::KeyValueStore* store_;
  Seconds keep_;
};

/// Text form of a claim. Thread safe.
std::string FormatClaim(const ClaimRecord& record);
/// Parses the text form. Fails with kStoreUnavailable. Thread safe.
Result<ClaimRecord> ParseClaim(std::string_view text);

}  // namespace basilvalve::claims
