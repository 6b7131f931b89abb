#include <catch2/catch.hpp>

#include "Core/Admission/breaker.h"
#include "Core/Admission/concurrency_limit.h"
#include "Core/Admission/retry_budget.h"
#include "Core/Admission/workspace_shares.h"

namespace basilvalve::admission {
namespace {

Instant At(int64_t ms) { return Instant(Seconds(1)) + Millis(ms); }

TEST_CASE(
    "a breaker opens after consecutive failures and allows one probe when "
    "half-open") {
  Breaker breaker({});
  breaker.OnFailure(At(0));
  breaker.OnFailure(At(0));
  breaker.OnSuccess();
  breaker.OnFailure(At(0));
  breaker.OnFailure(At(0));
  CHECK(breaker.Allows(At(0)));
  breaker.OnFailure(At(0));
  CHECK(breaker.StateAt(At(0)) == BreakerState::kOpen);
  CHECK_FALSE(breaker.Allows(At(999)));
  CHECK(breaker.Allows(At(1000)));
  breaker.OnStart(At(1000));
  CHECK_FALSE(breaker.Allows(At(1000)));
  breaker.OnFailure(At(1001));
  CHECK_FALSE(breaker.Allows(At(2500)));  // the open duration has doubled
  CHECK(breaker.Allows(At(3001)));
  breaker.OnStart(At(3001));
  breaker.OnNeutral();
  CHECK(breaker.Allows(At(3001)));  // a cancelled probe is released
  breaker.OnStart(At(3001));
  breaker.OnSuccess();
  CHECK(breaker.StateAt(At(3001)) == BreakerState::kClosed);
}

TEST_CASE("failures of calls in flight do not extend the open duration") {
  Breaker breaker({});
  for (int i = 0; i < 50; ++i) {
    breaker.OnFailure(At(0));
  }
  CHECK(breaker.Allows(At(1000)));
}

TEST_CASE(
    "a concurrency limit increases while used and decreases on late first "
    "tokens") {
  ConcurrencyLimit limit({});
  double initial = limit.limit();
  limit.OnResult(true, 0, At(0));
  CHECK(limit.limit() == initial);
  limit.OnResult(true, 31, At(0));
  CHECK(limit.limit() > initial);
  limit.OnResult(false, 31, At(0));
  double lowered = limit.limit();
  CHECK(lowered < initial);
  limit.OnResult(false, 31, At(500));
  CHECK(limit.limit() == lowered);  // at most one decrease per interval
  for (int i = 0; i < 1000; ++i) {
    limit.OnResult(false, 31, At(int64_t{1000} * (i + 2)));
  }
  CHECK(limit.limit() == ConcurrencySettings{}.min);
  CHECK(limit.Admits(1));
  CHECK_FALSE(limit.Admits(2));
}

TEST_CASE("a burst from one workspace does not starve the others") {
  WorkspaceShares shares({100, 0.75});
  int burst_admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    burst_admitted += shares.Admit(WorkspaceId("storm"), 0).has_value() ? 1 : 0;
  }
  CHECK(burst_admitted == 75);
  CHECK(shares.Admit(WorkspaceId("storm"), 0).error().code ==
        ResultCode::kWorkspaceLimit);
  int steady_admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    steady_admitted +=
        shares.Admit(WorkspaceId("quiet"), 0).has_value() ? 1 : 0;
  }
  CHECK(steady_admitted == 25);
  CHECK(shares.Admit(WorkspaceId("third"), 0).error().code ==
        ResultCode::kOverloaded);
  shares.Release(WorkspaceId("storm"));
  CHECK(shares.Admit(WorkspaceId("third"), 0).has_value());
}

TEST_CASE(
    "a workspace's concurrency limit is enforced, and Release frees capacity") {
  WorkspaceShares shares({100, 0.75});
  CHECK(shares.Admit(WorkspaceId("a"), 2).has_value());
  CHECK(shares.Admit(WorkspaceId("a"), 2).has_value());
  CHECK(shares.Admit(WorkspaceId("a"), 2).error().code ==
        ResultCode::kWorkspaceLimit);
  shares.Release(WorkspaceId("a"));
  CHECK(shares.Admit(WorkspaceId("a"), 2).has_value());
  shares.Release(WorkspaceId("nobody"));
  CHECK(shares.InFlight() == 2);
}

TEST_CASE("retries are limited to a fraction of first attempts") {
  RetryBudget budget({});
  ServiceName service("s");
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    budget.OnFirstAttempt(service, At(0));
    retries += budget.TryTake(service, At(0)) ? 1 : 0;
  }
  CHECK(retries >= 1000);
  CHECK(retries <= 1011);
  CHECK_FALSE(budget.TryTake(service, At(0)));
  CHECK(budget.TryTake(service, At(2000)));
  CHECK(budget.TryTake(ServiceName("other"), At(0)));
}

}  // namespace
}  // namespace basilvalve::admission
