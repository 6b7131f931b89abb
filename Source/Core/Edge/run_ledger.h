// Counts the attempts that may have executed a call.
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

/// The attempts of one call. Not thread safe.
class RunLedger {
 public:
  /// Counts an attempt as a possible execution. Pre: the latest one has ended.
  void OnAttempt();
  /// Takes the latest attempt back; once for each.
  void OnNotRun(NotRunProof proof);
  /// Attempts that may have executed the call.
  int possible_runs() const { return possible_runs_; }
  bool MayHaveRun() const { return possible_runs_ > 0; }

 private:
  int possible_runs_ = 0;
  bool is_latest_counted_ = false;
};

}  // namespace basilvalve::edge
