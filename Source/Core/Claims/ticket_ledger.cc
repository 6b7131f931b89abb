#include "Core/Claims/ticket_ledger.h"

namespace basilvalve::claims {

std::string TicketCallId(Sequence sequence) {
  return "ticket/" + std::to_string(sequence.value());
}

TicketLedger::TicketLedger(const TicketLimits& limits, CallLedger* calls)
    : limits_(limits), calls_(calls) {}

void TicketLedger::DropExpired(Instant now) {
  while (!issue_times_.empty() &&
         now - issue_times_.front() > limits_.validity) {
    issue_times_.pop_front();
    ++first_unexpired_;
  }
}

TicketLedger::TicketState* TicketLedger::Find(Sequence sequence) {
  if (sequence.value() < first_remembered_ ||
      sequence.value() >= next_sequence_) {
    return nullptr;
  }
  return &states_[sequence.value() - first_remembered_];
}

Result<Sequence> TicketLedger::Issue(Instant now) {
  std::lock_guard lock(mutex_);
  DropExpired(now);
  if (issue_times_.size() >= limits_.max_outstanding) {
    return Fail(ResultCode::kLedgerFull,
                "the limit of unexpired tickets is reached");
  }
  if (states_.size() >= limits_.max_remembered) {
    states_.pop_front();
    ++first_remembered_;
  }
  states_.push_back(TicketState::kUnused);
  issue_times_.push_back(now);
  return Sequence(next_sequence_++);
}

Result<BeginResult> TicketLedger::Redeem(Sequence sequence, uint64_t body_hash,
                                         Instant now) {
  std::lock_guard lock(mutex_);
  DropExpired(now);
  if (sequence.value() >= next_sequence_ || sequence.value() == 0) {
    return Fail(ResultCode::kTicketInvalid, "the ticket was never issued");
  }
  TicketState* state = Find(sequence);
  if (state == nullptr) {
    return Fail(ResultCode::kOwnerUnavailable,
                "the state of the ticket is no longer stored");
  }
  if (*state == TicketState::kUnused && sequence.value() < first_unexpired_) {
    return Fail(ResultCode::kTicketExpired,
                "the ticket expired before it was used");
  }
  std::string id = TicketCallId(sequence);
  if ((*state == TicketState::kDone || *state == TicketState::kUnknown) &&
      !calls_->Find(id)) {
    FinishedCall dropped;
    dropped.outcome =
        *state == TicketState::kDone ? Outcome::kDone : Outcome::kUnknown;
    dropped.code = ResultCode::kOwnerUnavailable;
    return BeginResult{BeginKind::kFinished, dropped};
  }
  BeginResult begun = calls_->Begin(id, body_hash, now);
  if (begun.kind == BeginKind::kFull) {
    return Fail(ResultCode::kLedgerFull, "the call ledger is full");
  }
  if (begun.kind == BeginKind::kRun) {
    *state = TicketState::kRunning;
  }
  return begun;
}

void TicketLedger::Finish(Sequence sequence, FinishedCall finished,
                          Instant now) {
  std::lock_guard lock(mutex_);
  Outcome outcome = finished.outcome;
  calls_->Finish(TicketCallId(sequence), std::move(finished), now);
  TicketState* state = Find(sequence);
  if (state == nullptr || *state != TicketState::kRunning) {
    return;
  }
  if (outcome == Outcome::kNotRun) {
    *state = TicketState::kUnused;
  } else {
    *state =
        outcome == Outcome::kDone ? TicketState::kDone : TicketState::kUnknown;
  }
}

Outcome TicketLedger::OutcomeOf(Sequence sequence) const {
  std::lock_guard lock(mutex_);
  const TicketState* state = const_cast<TicketLedger*>(this)->Find(sequence);
  if (state == nullptr) {
    return Outcome::kUnknown;
  }
  switch (*state) {
    case TicketState::kUnused:
      return Outcome::kNotRun;
    case TicketState::kRunning:
      return Outcome::kRunning;
    case TicketState::kDone:
      return Outcome::kDone;
    case TicketState::kUnknown:
      return Outcome::kUnknown;
  }
  return Outcome::kUnknown;
}

}  // namespace basilvalve::claims
