// Claims on idempotency keys, stored in the key-value store.
#pragma once

#include <optional>
#include <string>

#include "Core/Claims/call_ledger.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"
#include "Core/Platform/key_value_store.h"

namespace basilvalve::claims {

/// The claim on an idempotency key: its owner, the request and the outcome.
struct ClaimRecord {
  InstanceId owner;
  Incarnation incarnation;
  RequestId request;
  uint64_t body_hash = 0;
  /// kRunning until the owner records the outcome.
  Outcome outcome = Outcome::kRunning;
};

/// Result of an attempt to claim a key.
struct ClaimResult {
  /// Whether this request owns the claim and must run the call.
  bool owned = false;
  /// The claim found in the store, or the one just written.
  ClaimRecord record;
  StoreIndex index;
};

/// Claims keys with create-if-absent writes. A claim does not expire with its
/// owner's lease and is never taken over for that reason: a paused owner may
/// still send the call after its lease has expired. Thread safe.
class ClaimStore {
 public:
  /// Claims are stored with a time to live of `retention`. Pre: `store`
  /// outlives this object.
  ClaimStore(platform::KeyValueStore* store, Seconds retention)
      : store_(store), retention_(retention) {}

  /// Claims a key for `desired.request`. If the reply to a write is lost, the
  /// store is read back to find out whether the write took effect. Fails with
  /// kClaimUnavailable, after which the request must not run. Thread safe;
  /// blocks.
  Result<ClaimResult> Acquire(const ServiceName& service,
                              const std::string& key,
                              const ClaimRecord& desired);
  /// Replaces a claim whose call is known not to have run. Fails with
  /// kClaimUnavailable. Thread safe; blocks. Pre: `current` was returned by
  /// Acquire.
  Result<ClaimResult> Replace(const ServiceName& service,
                              const std::string& key,
                              const ClaimResult& current,
                              const ClaimRecord& desired);
  /// Records the outcome of a call, best effort: if the write fails, the claim
  /// stays kRunning and its outcome is reported as unknown once the owner is
  /// unavailable. Fails with the store's error. Thread safe; blocks.
  Result<void> Finish(const ServiceName& service, const std::string& key,
                      const ClaimResult& current, Outcome outcome);

 private:
  Result<ClaimResult> WriteClaim(const std::string& path,
                                 const ClaimRecord& desired,
                                 StoreIndex expected);
  Result<std::optional<ClaimResult>> ReadClaim(const std::string& path);

  platform::KeyValueStore* store_;
  Seconds retention_;
};

/// Serializes a claim as JSON. Thread safe.
std::string FormatClaim(const ClaimRecord& record);
/// Parses the output of FormatClaim. Fails with kStoreUnavailable. Thread safe.
Result<ClaimRecord> ParseClaim(std::string_view text);

}  // namespace basilvalve::claims
