#include <catch2/catch.hpp>

#include "Core/Claims/claim_store.h"
#include "Core/Claims/ticket.h"
#include "Core/Claims/ticket_ledger.h"
#include "Fakes/memory_store.h"

namespace basilvalve::claims {
namespace {

Instant At(int64_t seconds) { return Instant(Seconds(seconds)); }

FinishedCall DoneWith(const std::string& body) {
  FinishedCall finished;
  finished.outcome = Outcome::kDone;
  finished.code = ResultCode::kOk;
  finished.body = body;
  return finished;
}

TEST_CASE("a ticket survives its text form, and no byte of it can be changed") {
  Keyring keyring = *Keyring::FromSetting("claims-test-key-01");
  Ticket ticket{RegionId("munich"), InstanceId("n1"), Incarnation(7),
                Sequence(3), ServiceName("payments")};
  std::string text = FormatTicket(ticket, keyring);
  Result<Ticket> parsed = ParseTicket(text, keyring);
  REQUIRE(parsed.has_value());
  CHECK(parsed->sequence == Sequence(3));
  CHECK(parsed->owner == InstanceId("n1"));
  for (size_t i = 0; i < text.size(); ++i) {
    std::string forged = text;
    forged[i] = forged[i] == '1' ? '2' : '1';
    INFO(forged);
    CHECK_FALSE(ParseTicket(forged, keyring).has_value());
  }
  CHECK_FALSE(ParseTicket("", keyring).has_value());
  CHECK_FALSE(ParseTicket(text, *Keyring::FromSetting("another-key-00001"))
                  .has_value());
}

TEST_CASE("a call is begun once, repetitions get its state or its answer") {
  CallLedger ledger({});
  CHECK(ledger.Begin("a", 1, At(0)).kind == BeginKind::kRun);
  CHECK(ledger.Begin("a", 1, At(0)).kind == BeginKind::kRunning);
  CHECK(ledger.Begin("a", 2, At(0)).kind == BeginKind::kBodyDiffers);
  CHECK(ledger.Find("a")->outcome == Outcome::kRunning);
  ledger.Finish("a", DoneWith("answer"), At(1));
  BeginResult again = ledger.Begin("a", 1, At(2));
  CHECK(again.kind == BeginKind::kFinished);
  CHECK(again.finished->body == "answer");
  CHECK(ledger.Begin("a", 2, At(2)).kind == BeginKind::kBodyDiffers);
}

TEST_CASE("a call that surely did not run may be tried again") {
  CallLedger ledger({});
  ledger.Begin("a", 1, At(0));
  FinishedCall not_run;
  not_run.outcome = Outcome::kNotRun;
  ledger.Finish("a", not_run, At(1));
  CHECK(ledger.Begin("a", 1, At(2)).kind == BeginKind::kRun);
}

TEST_CASE("at its bounds the ledger refuses and forgets nothing") {
  LedgerLimits limits;
  limits.max_calls = 16;  // one in each shard
  CallLedger ledger(limits);
  std::vector<std::string> begun;
  for (int i = 0; i < 200; ++i) {
    std::string id = "call" + std::to_string(i);
    if (ledger.Begin(id, 1, At(0)).kind == BeginKind::kRun) {
      begun.push_back(id);
      ledger.Finish(id, DoneWith("x"), At(0));
    }
  }
  CHECK(begun.size() == 16);
  ledger.Expire(At(599));
  for (const std::string& it : begun) {
    CHECK(ledger.Begin(it, 1, At(599)).kind == BeginKind::kFinished);
  }
  ledger.Expire(At(601));
  CHECK(ledger.Size() == 0);
}

TEST_CASE("answers are reserved for before a call runs") {
  LedgerLimits limits;
  limits.max_answer_bytes = 1600;
  limits.answer_bytes_each = 100;
  CallLedger ledger(limits);
  CHECK(ledger.Begin("a", 1, At(0)).kind == BeginKind::kRun);
  int full = 0;
  for (int i = 0; i < 100; ++i) {
    full +=
        ledger.Begin("b" + std::to_string(i), 1, At(0)).kind == BeginKind::kFull
            ? 1
            : 0;
  }
  CHECK(full == 100 - 15);
  ledger.Finish("a", DoneWith(std::string(101, 'x')), At(0));
  BeginResult again = ledger.Begin("a", 1, At(0));
  CHECK(again.finished->outcome == Outcome::kDone);
  CHECK_FALSE(again.finished->body_kept);
}

TEST_CASE("the fate of a ticket is told truly at every age") {
  CallLedger calls({});
  TicketLimits limits;
  limits.validity = Seconds(10);
  limits.window = 4;
  TicketLedger tickets(limits, &calls);
  Sequence spent = *tickets.Issue(At(0));
  Sequence unused = *tickets.Issue(At(0));
  CHECK(tickets.Redeem(Sequence(99), 1, At(0)).error().code ==
        ResultCode::kTicketInvalid);
  CHECK(tickets.Redeem(Sequence(0), 1, At(0)).error().code ==
        ResultCode::kTicketInvalid);
  CHECK(tickets.Redeem(spent, 1, At(1))->kind == BeginKind::kRun);
  CHECK(tickets.OutcomeOf(spent) == Outcome::kRunning);
  tickets.Finish(spent, DoneWith("ok"), At(2));
  CHECK(tickets.Redeem(spent, 1, At(3))->finished->body == "ok");
  // After the ticket's validity: the unused one surely never ran, the spent one
  // did.
  CHECK(tickets.Redeem(unused, 1, At(20)).error().code ==
        ResultCode::kTicketExpired);
  CHECK(tickets.Redeem(spent, 1, At(20))->finished->outcome == Outcome::kDone);
  // After its answer was dropped it is still known to have run.
  calls.Expire(At(2000));
  CHECK(tickets.Redeem(spent, 1, At(2000))->finished->outcome ==
        Outcome::kDone);
  // Outside the window nothing is claimed any more.
  for (int i = 0; i < 4; ++i) {
    (void)tickets.Issue(At(2000));
  }
  CHECK(tickets.Redeem(spent, 1, At(2000)).error().outcome ==
        Outcome::kUnknown);
  CHECK(tickets.OutcomeOf(spent) == Outcome::kUnknown);
}

TEST_CASE("tickets are not issued beyond the bound") {
  CallLedger calls({});
  TicketLimits limits;
  limits.max_outstanding = 2;
  TicketLedger tickets(limits, &calls);
  CHECK(tickets.Issue(At(0)).has_value());
  CHECK(tickets.Issue(At(0)).has_value());
  CHECK(tickets.Issue(At(0)).error().code == ResultCode::kLedgerFull);
  CHECK(tickets.Issue(At(301)).has_value());
}

struct StoreBed {
  fakes::MemoryStore store;
  ClaimStore claims{&store, Seconds(100)};
  ServiceName service{"payments"};

  ClaimRecord RecordFor(const char* request) {
    return {InstanceId("n1"), Incarnation(1), RequestId(request), 5,
            Outcome::kRunning};
  }
};

TEST_CASE("of two claims of a key one wins, whatever becomes of the replies") {
  struct Row {
    const char* name;
    int lost_replies;
    int failed_reads;
    bool owned;
  };
  std::vector<Row> rows = {{"plain", 0, 0, true},
                           {"reply lost", 1, 0, true},
                           {"reply lost and read failed once", 1, 1, true},
                           {"all replies lost", 9, 0, true}};
  for (const Row& row : rows) {
    StoreBed bed;
    bed.store.LoseWriteReplies(row.lost_replies);
    bed.store.FailReads(row.failed_reads);
    Result<ClaimResult> first =
        bed.claims.Acquire(bed.service, "k", bed.RecordFor("q1"));
    INFO(row.name);
    REQUIRE(first.has_value());
    CHECK(first->owned == row.owned);
    bed.store.LoseWriteReplies(0);
    Result<ClaimResult> second =
        bed.claims.Acquire(bed.service, "k", bed.RecordFor("q2"));
    REQUIRE(second.has_value());
    CHECK_FALSE(second->owned);
    CHECK(second->record.request == RequestId("q1"));
  }
}

TEST_CASE("a claim that cannot be settled is refused as not run") {
  StoreBed bed;
  bed.store.LoseWriteReplies(9);
  bed.store.FailReads(9);
  Result<ClaimResult> claim =
      bed.claims.Acquire(bed.service, "k", bed.RecordFor("q1"));
  REQUIRE_FALSE(claim.has_value());
  CHECK(claim.error().code == ResultCode::kClaimUnavailable);
  CHECK(claim.error().outcome == Outcome::kNotRun);
  bed.store.SetDown(true);
  CHECK_FALSE(
      bed.claims.Acquire(bed.service, "z", bed.RecordFor("q2")).has_value());
}

TEST_CASE("the end of a call is read by the next claimer") {
  StoreBed bed;
  Result<ClaimResult> owned =
      bed.claims.Acquire(bed.service, "k", bed.RecordFor("q1"));
  REQUIRE(bed.claims.Finish(bed.service, "k", *owned, Outcome::kNotRun)
              .has_value());
  Result<ClaimResult> next =
      bed.claims.Acquire(bed.service, "k", bed.RecordFor("q2"));
  CHECK(next->record.outcome == Outcome::kNotRun);
  CHECK(
      bed.claims.Replace(bed.service, "k", *next, bed.RecordFor("q2"))->owned);
  CHECK_FALSE(
      bed.claims.Replace(bed.service, "k", *next, bed.RecordFor("q3"))->owned);
}

TEST_CASE("a claim's text parses back, damaged text does not") {
  StoreBed bed;
  Result<ClaimRecord> parsed = ParseClaim(FormatClaim(bed.RecordFor("q1")));
  CHECK(parsed->request == RequestId("q1"));
  CHECK(parsed->body_hash == 5);
  CHECK_FALSE(ParseClaim("{}").has_value());
  CHECK_FALSE(ParseClaim("[1").has_value());
}

}  // namespace
}  // namespace basilvalve::claims
