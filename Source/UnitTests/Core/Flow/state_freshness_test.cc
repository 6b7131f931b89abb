#include "Core/Flow/state_freshness.h"

#include <catch2/catch.hpp>

#include "Core/Flow/pause_detector.h"

namespace basilvalve::flow {
namespace {

Instant At(int64_t ms) { return Instant(Millis(1'000'000 + ms)); }

TEST_CASE("a desired state is fresh for a share of the limit") {
  StateFreshness freshness(Millis(5000));
  CHECK_FALSE(freshness.IsFresh(At(0)));
  CHECK_FALSE(freshness.Age(At(0)));
  freshness.OnConfirmed(At(0));
  CHECK(freshness.IsFresh(At(3999)));
  CHECK_FALSE(freshness.IsFresh(At(4000)));
  freshness.OnConfirmed(At(1000));
  // Replies may arrive in another order than their calls were sent.
  freshness.OnConfirmed(At(500));
  CHECK(freshness.IsFresh(At(4999)));
  CHECK_FALSE(freshness.IsFresh(At(5000)));
  CHECK(freshness.Age(At(5000)) == Millis(4000));
  CHECK(StateFreshness(std::nullopt).IsFresh(At(0)));
}

TEST_CASE("datagrams may be old for a while after a pause") {
  PauseDetector pauses(Millis(700));
  for (int64_t ms = 0; ms <= 1000; ms += 100) {
    pauses.OnTick(At(ms));
    CHECK_FALSE(pauses.IsResuming(At(ms)));
  }
  // A pause that is too short.
  pauses.OnReceived(At(1700));
  CHECK_FALSE(pauses.IsResuming(At(1700)));
  // The datagram is handled before the timer.
  pauses.OnReceived(At(2401));
  CHECK(pauses.IsResuming(At(2401)));
  pauses.OnTick(At(2402));
  pauses.OnTick(At(2502));
  CHECK(pauses.IsResuming(At(2600)));
  CHECK_FALSE(pauses.IsResuming(At(2601)));
}

// Guards against a machine so slow that datagrams still wait after 200 ms.
TEST_CASE("a pause ends only after the event loop has come round") {
  PauseDetector pauses(Millis(700));
  pauses.OnTick(At(0));
  pauses.OnTick(At(5000));
  pauses.OnReceived(At(5500));
  CHECK(pauses.IsResuming(At(5500)));
  pauses.OnTick(At(5600));
  CHECK_FALSE(pauses.IsResuming(At(5600)));
}

}  // namespace
}  // namespace basilvalve::flow
