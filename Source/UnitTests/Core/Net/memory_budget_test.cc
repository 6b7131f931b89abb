#include "Core/Net/memory_budget.h"

#include <catch2/catch.hpp>

namespace basilvalve::net {
namespace {

constexpr size_t kMegabyte = 1'000'000;

// Guards against responses that find no memory because requests took all.
TEST_CASE("requests of callers take a share of the memory budget only") {
  auto budget = std::make_shared<MemoryBudget>(10 * kMegabyte);
  MemoryReservation requests(budget, MemoryUse::kCallerRequests);
  MemoryReservation responses(budget);
  CHECK_FALSE(requests.TryResize(6 * kMegabyte));
  REQUIRE(requests.TryResize(5 * kMegabyte));
  CHECK(budget->used_by_callers() == 5 * kMegabyte);
  CHECK_FALSE(responses.TryResize(4 * kMegabyte));
  REQUIRE(responses.TryResize(3 * kMegabyte));
  CHECK(budget->used() == 8 * kMegabyte);
  // What is refused keeps its size.
  CHECK_FALSE(responses.TryResize(9 * kMegabyte));
  CHECK(responses.bytes() == 3 * kMegabyte);
}

// Guards against ordinary calls that fail beside large ones.
TEST_CASE("small reservations fit when the large ones have used their part") {
  auto budget = std::make_shared<MemoryBudget>(10 * kMegabyte);
  MemoryReservation large(budget);
  REQUIRE(large.TryResize(8'700'000));
  CHECK_FALSE(large.TryResize(8'800'000));
  MemoryReservation small(budget, MemoryUse::kCallerRequests);
  CHECK(small.TryResize(60'000));
}

// Guards against bytes that stay counted when their owner has gone.
TEST_CASE("a reservation gives its bytes back once, however it ends") {
  auto budget = std::make_shared<MemoryBudget>(10 * kMegabyte);
  {
    MemoryReservation first(budget, MemoryUse::kCallerRequests);
    REQUIRE(first.TryResize(1000));
    MemoryReservation second(std::move(first));
    MemoryReservation third(budget);
    REQUIRE(third.TryResize(500));
    third = std::move(second);
    CHECK(budget->used() == 1000);
    REQUIRE(third.TryResize(300));
    CHECK(budget->used_by_callers() == 300);
  }
  CHECK(budget->used() == 0);
  CHECK(budget->used_by_callers() == 0);
}

TEST_CASE("the shortage handler may free any reservation, the caller's, too") {
  auto budget = std::make_shared<MemoryBudget>(10 * kMegabyte);
  MemoryReservation held(budget);
  MemoryReservation wanted(budget);
  REQUIRE(held.TryResize(8 * kMegabyte));
  REQUIRE(wanted.TryResize(100'000));
  size_t asked = 0;
  budget->SetShortageHandler([&](MemoryUse, size_t missing) {
    asked = missing;
    held.Release();
    wanted.Release();
  });
  CHECK(wanted.TryResize(2 * kMegabyte));
  CHECK(asked == 1'250'000);
  CHECK(budget->used() == wanted.bytes());
  wanted.Release();
  CHECK(budget->used() == 0);
}

}  // namespace
}  // namespace basilvalve::net
