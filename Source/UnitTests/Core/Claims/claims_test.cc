#include <catch2/catch.hpp>

#include "Core/Claims/claim_store.h"
#include "Core/Claims/ticket.h"
#include "Core/Claims/ticket_ledger.h"
#include "Fakes/memory_store.h"

namespace basilvalve::claims {
namespace {

Instant At(int64_t seconds) { return Instant(Seconds(seconds)); }

FinishedCall FinishedWith(const std::string& body) {
  FinishedCall finished;
  finished.outcome = Outcome::kDone;
  finished.code = ResultCode::kOk;
  finished.body = body;
  return finished;
}

TEST_CASE("a ticket round-trips, and any changed byte invalidates it") {
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

TEST_CASE("a call starts once and duplicates get its state or its response") {
  CallLedger ledger({});
  CHECK(ledger.Begin("a", 1, At(0)).kind == BeginKind::kRun);
  CHECK(ledger.Begin("a", 1, At(0)).kind == BeginKind::kRunning);
  CHECK(ledger.Begin("a", 2, At(0)).kind == BeginKind::kBodyDiffers);
  CHECK(ledger.Find("a")->outcome == Outcome::kRunning);
  ledger.Finish("a", FinishedWith("answer"), At(1));
  BeginResult repeated = ledger.Begin("a", 1, At(2));
  CHECK(repeated.kind == BeginKind::kFinished);
  CHECK(repeated.finished->body == "answer");
  CHECK(ledger.Begin("a", 2, At(2)).kind == BeginKind::kBodyDiffers);
}

TEST_CASE("a call that is known not to have run can be retried") {
  CallLedger ledger({});
  ledger.Begin("a", 1, At(0));
  FinishedCall not_run;
  not_run.outcome = Outcome::kNotRun;
  ledger.Finish("a", not_run, At(1));
  CHECK(ledger.Begin("a", 1, At(2)).kind == BeginKind::kRun);
}

TEST_CASE("at its limit the ledger rejects new calls and evicts none") {
  LedgerLimits limits;
  limits.max_calls = 16;  // one per shard
  CallLedger ledger(limits);
  std::vector<std::string> started;
  for (int i = 0; i < 200; ++i) {
    std::string id = "call" + std::to_string(i);
    if (ledger.Begin(id, 1, At(0)).kind == BeginKind::kRun) {
      started.push_back(id);
      ledger.Finish(id, FinishedWith("x"), At(0));
    }
  }
  CHECK(started.size() == 16);
  ledger.Expire(At(599));
  for (const std::string& it : started) {
    CHECK(ledger.Begin(it, 1, At(599)).kind == BeginKind::kFinished);
  }
  ledger.Expire(At(601));
  CHECK(ledger.Size() == 0);
}

TEST_CASE("space for a response is reserved before its call runs") {
  LedgerLimits limits;
  limits.max_response_bytes = 1600;
  limits.max_bytes_per_response = 100;
  CallLedger ledger(limits);
  CHECK(ledger.Begin("a", 1, At(0)).kind == BeginKind::kRun);
  int rejected = 0;
  for (int i = 0; i < 100; ++i) {
    rejected +=
        ledger.Begin("b" + std::to_string(i), 1, At(0)).kind == BeginKind::kFull
            ? 1
            : 0;
  }
  CHECK(rejected == 100 - 15);
  ledger.Finish("a", FinishedWith(std::string(101, 'x')), At(0));
  BeginResult repeated = ledger.Begin("a", 1, At(0));
  CHECK(repeated.finished->outcome == Outcome::kDone);
  CHECK_FALSE(repeated.finished->body_stored);
}

TEST_CASE("the reported state of a ticket is correct at every age") {
  CallLedger calls({});
  TicketLimits limits;
  limits.validity = Seconds(10);
  limits.max_remembered = 4;
  TicketLedger tickets(limits, &calls);
  Sequence redeemed = *tickets.Issue(At(0));
  Sequence unused = *tickets.Issue(At(0));
  CHECK(tickets.Redeem(Sequence(99), 1, At(0)).error().code ==
        ResultCode::kTicketInvalid);
  CHECK(tickets.Redeem(Sequence(0), 1, At(0)).error().code ==
        ResultCode::kTicketInvalid);
  CHECK(tickets.Redeem(redeemed, 1, At(1))->kind == BeginKind::kRun);
  CHECK(tickets.OutcomeOf(redeemed) == Outcome::kRunning);
  tickets.Finish(redeemed, FinishedWith("ok"), At(2));
  CHECK(tickets.Redeem(redeemed, 1, At(3))->finished->body == "ok");
  // After the validity period: the unused ticket certainly never ran, the
  // redeemed one did.
  CHECK(tickets.Redeem(unused, 1, At(20)).error().code ==
        ResultCode::kTicketExpired);
  CHECK(tickets.Redeem(redeemed, 1, At(20))->finished->outcome ==
        Outcome::kDone);
  // After the response was dropped, the call is still known to have run.
  calls.Expire(At(2000));
  CHECK(tickets.Redeem(redeemed, 1, At(2000))->finished->outcome ==
        Outcome::kDone);
  // For a ticket that is no longer remembered, the outcome is unknown.
  for (int i = 0; i < 4; ++i) {
    (void)tickets.Issue(At(2000));
  }
  CHECK(tickets.Redeem(redeemed, 1, At(2000)).error().outcome ==
        Outcome::kUnknown);
  CHECK(tickets.OutcomeOf(redeemed) == Outcome::kUnknown);
}

TEST_CASE("no ticket is issued beyond the limit") {
  CallLedger calls({});
  TicketLimits limits;
  limits.max_outstanding = 2;
  TicketLedger tickets(limits, &calls);
  CHECK(tickets.Issue(At(0)).has_value());
  CHECK(tickets.Issue(At(0)).has_value());
  CHECK(tickets.Issue(At(0)).error().code == ResultCode::kLedgerFull);
  CHECK(tickets.Issue(At(301)).has_value());
}

struct ClaimStoreFixture {
  fakes::MemoryStore store;
  ClaimStore claims{&store, Seconds(100)};
  ServiceName service{"payments"};

  ClaimRecord RecordFor(const char* request) {
    return {InstanceId("n1"), Incarnation(1), RequestId(request), 5,
            Outcome::kRunning};
  }
};

TEST_CASE("one of two claims of a key wins, even if store replies are lost") {
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
    ClaimStoreFixture fixture;
    fixture.store.LoseWriteReplies(row.lost_replies);
    fixture.store.FailReads(row.failed_reads);
    Result<ClaimResult> first =
        fixture.claims.Acquire(fixture.service, "k", fixture.RecordFor("q1"));
    INFO(row.name);
    REQUIRE(first.has_value());
    CHECK(first->owned == row.owned);
    fixture.store.LoseWriteReplies(0);
    Result<ClaimResult> second =
        fixture.claims.Acquire(fixture.service, "k", fixture.RecordFor("q2"));
    REQUIRE(second.has_value());
    CHECK_FALSE(second->owned);
    CHECK(second->record.request == RequestId("q1"));
  }
}

TEST_CASE("a claim whose state cannot be read fails with outcome not-run") {
  ClaimStoreFixture fixture;
  fixture.store.LoseWriteReplies(9);
  fixture.store.FailReads(9);
  Result<ClaimResult> claim =
      fixture.claims.Acquire(fixture.service, "k", fixture.RecordFor("q1"));
  REQUIRE_FALSE(claim.has_value());
  CHECK(claim.error().code == ResultCode::kClaimUnavailable);
  CHECK(claim.error().outcome == Outcome::kNotRun);
  fixture.store.SetDown(true);
  CHECK_FALSE(
      fixture.claims.Acquire(fixture.service, "z", fixture.RecordFor("q2"))
          .has_value());
}

TEST_CASE("the next claimant reads the recorded outcome of a call") {
  ClaimStoreFixture fixture;
  Result<ClaimResult> owned =
      fixture.claims.Acquire(fixture.service, "k", fixture.RecordFor("q1"));
  REQUIRE(fixture.claims.Finish(fixture.service, "k", *owned, Outcome::kNotRun)
              .has_value());
  Result<ClaimResult> next =
      fixture.claims.Acquire(fixture.service, "k", fixture.RecordFor("q2"));
  CHECK(next->record.outcome == Outcome::kNotRun);
  CHECK(fixture.claims
            .Replace(fixture.service, "k", *next, fixture.RecordFor("q2"))
            ->owned);
  CHECK_FALSE(fixture.claims
                  .Replace(fixture.service, "k", *next, fixture.RecordFor("q3"))
                  ->owned);
}

TEST_CASE("a claim round-trips, damaged text is rejected") {
  ClaimStoreFixture fixture;
  Result<ClaimRecord> parsed = ParseClaim(FormatClaim(fixture.RecordFor("q1")));
  CHECK(parsed->request == RequestId("q1"));
  CHECK(parsed->body_hash == 5);
  CHECK_FALSE(ParseClaim("{}").has_value());
  CHECK_FALSE(ParseClaim("[1").has_value());
}

}  // namespace
}  // namespace basilvalve::claims
