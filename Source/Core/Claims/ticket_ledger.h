// Issues the tickets of one incarnation and records whether each was used.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>

#include "Core/Claims/call_ledger.h"
#include "Core/Common/clock.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::claims {

/// Validity and capacity limits of a TicketLedger.
struct TicketLimits {
  /// How long after its issue a ticket may first be redeemed.
  Seconds validity{300};
  /// Number of most recent tickets whose state is stored.
  size_t max_remembered = 1 << 20;
  /// Largest number of issued tickets that have not expired; Issue fails at
  /// this limit.
  size_t max_outstanding = 100000;
};

/// Issues and redeems the tickets of one incarnation. One byte of state is
/// stored for each of the last `max_remembered` tickets, which distinguishes a
/// ticket that expired unused from a used one whose response has been dropped.
/// Thread safe.
class TicketLedger {
 public:
  /// Pre: `calls` outlives the ledger.
  TicketLedger(const TicketLimits& limits, CallLedger* calls);

  /// Issues the next ticket. Fails with kLedgerFull. Thread safe.
  Result<Sequence> Issue(Instant now);
  /// Registers the call of a ticket of this incarnation, or returns the state
  /// of its earlier call. Fails with kTicketInvalid for a number that was never
  /// issued, kTicketExpired if the ticket expired and certainly was not used,
  /// kOwnerUnavailable with outcome kUnknown if its state is no longer stored,
  /// and kLedgerFull. Thread safe.
  Result<BeginResult> Redeem(Sequence sequence, uint64_t body_hash,
                             Instant now);
  /// Records the result of a call for which Redeem returned kRun. Thread safe.
  /// Pre: as for CallLedger::Finish.
  void Finish(Sequence sequence, FinishedCall finished, Instant now);
  /// Outcome of a ticket's call; kUnknown if its state is no longer stored.
  /// Thread safe.
  Outcome OutcomeOf(Sequence sequence) const;

 private:
  enum class TicketState : uint8_t { kUnused, kRunning, kDone, kUnknown };

  TicketState* Find(Sequence sequence);
  void DropExpired(Instant now);

  TicketLimits limits_;
  CallLedger* calls_;

  mutable std::mutex mutex_;
  // Guarded by mutex_. Ticket n has its state at index n - first_remembered_
  // and its time of issue at index n - first_unexpired_; issue times are stored
  // only for tickets that have not expired.
  std::deque<TicketState> states_;
  std::deque<Instant> issue_times_;
  uint64_t first_remembered_ = 1;
  uint64_t first_unexpired_ = 1;
  uint64_t next_sequence_ = 1;
};

/// Id of a ticket's call in the CallLedger. Thread safe.
std::string TicketCallId(Sequence sequence);

}  // namespace basilvalve::claims
