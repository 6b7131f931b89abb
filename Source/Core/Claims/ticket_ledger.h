// Issues tickets and remembers, for every one of this incarnation, whether it
// was spent.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>

#include "Core/Claims/call_ledger.h"
#include "Core/Common/clock.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::claims {

/// Bounds of tickets.
struct TicketLimits {
  /// How long a ticket may be used for the first time.
  Seconds validity{300};
  /// Tickets whose fate is remembered, the newest ones.
  size_t window = 1 << 20;
  /// Tickets issued and neither spent nor expired, at most.
  size_t max_outstanding = 100000;
};

/// Decides over the tickets of one incarnation. One byte is kept for each
/// ticket in the window, so that an expired ticket is told apart from a spent
/// one whose answer has been dropped. Thread safe.
class TicketLedger {
 public:
  /// Pre: `calls` outlives the ledger.
  TicketLedger(const TicketLimits& limits, CallLedger* calls);

  /// Issues the next ticket. Fails with kLedgerFull. Thread safe.
  Result<Sequence> Issue(Instant now);
  /// Starts or recalls the call of a ticket of this incarnation. Fails with
  /// kTicketInvalid for a number never issued, kTicketExpired if it surely
  /// never ran, kOwnerGone with outcome kUnknown if its fate is outside the
  /// window, and kLedgerFull. Thread safe.
  Result<BeginResult> Redeem(Sequence sequence, uint64_t body_hash,
                             Instant now);
  /// Ends a call that Redeem told to run. Thread safe. Pre: as for
  /// CallLedger::Finish.
  void Finish(Sequence sequence, FinishedCall finished, Instant now);
  /// What became of a ticket's call. Thread safe.
  Outcome OutcomeOf(Sequence sequence) const;

 private:
  enum class Fate : uint8_t { kUnspent, kRunning, kDone, kUnknown };

  Fate* Find(Sequence sequence);
  void DropExpired(Instant now);

  TicketLimits limits_;
  CallLedger* calls_;

  mutable std::mutex mutex_;
  // Guarded by mutex_. Ticket n has its fate at index n - first_ and its time
  // of issue at index n - first_issue_; the times cover only tickets that have
  // not expired.
  std::deque<Fate> fates_;
  std::deque<Instant> issued_;
  uint64_t first_ = 1;
  uint64_t first_issue_ = 1;
  uint64_t next_ = 1;
};

/// Id of a ticket's call in the call ledger. Thread safe.
std::string TicketCallId(Sequence sequence);

}  // namespace basilvalve::claims
