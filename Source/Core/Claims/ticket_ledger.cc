#include "Core/Claims/ticket_ledger.h"

namespace basilvalve::claims {

std::string TicketCallId(Sequence sequence) {
  return "ticket/" + std::to_string(sequence.value());
}

TicketLedger::TicketLedger(const TicketLimits& limits, CallLedger* calls)
    : limits_(limits), calls_(calls) {}

void TicketLedger::DropExpired(Instant now) {
  while (!issued_.empty() && now - issued_.front() > limits_.validity) {
    issued_.pop_front();
    ++first_issue_;
  }
}

TicketLedger::Fate* TicketLedger::Find(Sequence sequence) {
  if (sequence.value() < first_ || sequence.value() >= next_) {
    return nullptr;
  }
  return &fates_[sequence.value() - first_];
}

Result<Sequence> TicketLedger::Issue(Instant now) {
  std::lock_guard lock(mutex_);
  DropExpired(now);
  if (issued_.size() >= limits_.max_outstanding) {
    return Fail(ResultCode::kLedgerFull, "too many tickets are outstanding");
  }
  if (fates_.size() >= limits_.window) {
    fates_.pop_front();
    ++first_;
  }
  fates_.push_back(Fate::kUnspent);
  issued_.push_back(now);
  return Sequence(next_++);
}

Result<BeginResult> TicketLedger::Redeem(Sequence sequence, uint64_t body_hash,
                                         Instant now) {
  std::lock_guard lock(mutex_);
  DropExpired(now);
  if (sequence.value() >= next_ || sequence.value() == 0) {
    return Fail(ResultCode::kTicketInvalid, "the ticket was never issued");
  }
  Fate* fate = Find(sequence);
  if (fate == nullptr) {
    return Fail(ResultCode::kOwnerGone,
                "the ticket's fate is no longer remembered");
  }
  if (*fate == Fate::kUnspent && sequence.value() < first_issue_) {
    return Fail(ResultCode::kTicketExpired, "the ticket expired unused");
  }
  std::string id = TicketCallId(sequence);
  if ((*fate == Fate::kDone || *fate == Fate::kUnknown) && !calls_->Find(id)) {
    FinishedCall dropped;
    dropped.outcome = *fate == Fate::kDone ? Outcome::kDone : Outcome::kUnknown;
    dropped.code = ResultCode::kOwnerGone;
    return BeginResult{BeginKind::kFinished, dropped};
  }
  BeginResult begun = calls_->Begin(id, body_hash, now);
  if (begun.kind == BeginKind::kFull) {
    return Fail(ResultCode::kLedgerFull, "no room to remember another call");
  }
  if (begun.kind == BeginKind::kRun) {
    *fate = Fate::kRunning;
  }
  return begun;
}

void TicketLedger::Finish(Sequence sequence, FinishedCall finished,
                          Instant now) {
  std::lock_guard lock(mutex_);
  Outcome outcome = finished.outcome;
  calls_->Finish(TicketCallId(sequence), std::move(finished), now);
  Fate* fate = Find(sequence);
  if (fate == nullptr || *fate != Fate::kRunning) {
    return;
  }
  if (outcome == Outcome::kNotRun) {
    *fate = Fate::kUnspent;
  } else {
    *fate = outcome == Outcome::kDone ? Fate::kDone : Fate::kUnknown;
  }
}

Outcome TicketLedger::OutcomeOf(Sequence sequence) const {
  std::lock_guard lock(mutex_);
  const Fate* fate = const_cast<TicketLedger*>(this)->Find(sequence);
  if (fate == nullptr) {
    return Outcome::kUnknown;
  }
  switch (*fate) {
    case Fate::kUnspent:
      return Outcome::kNotRun;
    case Fate::kRunning:
      return Outcome::kRunning;
    case Fate::kDone:
      return Outcome::kDone;
    case Fate::kUnknown:
      return Outcome::kUnknown;
  }
  return Outcome::kUnknown;
}

}  // namespace basilvalve::claims
