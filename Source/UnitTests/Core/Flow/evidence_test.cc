#include "Core/Flow/evidence.h"

#include <catch2/catch.hpp>

namespace basilvalve::flow {
namespace {

Instant At(int64_t ms) { return Instant(Millis(1'000'000 + ms)); }

TEST_CASE("a mean that nothing confirms counts less and less") {
  Evidence evidence;
  CHECK(evidence.ConfidenceAt(At(-5000)) == 1);
  CHECK(evidence.ConfidenceAt(At(-3000)) == Approx(0.5));
  evidence.OnSample(false, 0.02, At(0));
  CHECK(evidence.ConfidenceAt(At(1000)) == 1);
  CHECK(evidence.ConfidenceAt(At(2000)) == Approx(0.5));
  CHECK(evidence.ConfidenceAt(At(5000)) == Approx(1.0 / 16));
  // A call on trial is awaited before the next one.
  evidence.OnTrial(At(5000));
  CHECK(evidence.ConfidenceAt(At(6000)) == 1);
  CHECK(evidence.ConfidenceAt(At(7000)) == Approx(0.5));
  CHECK_FALSE(evidence.IsRecent(At(5000)));
}

TEST_CASE("a mean is replaced by an average of the measurements that follow") {
  Evidence evidence;
  CHECK(evidence.OnSample(false, 0.02, At(0)) == 0.02);
  CHECK(evidence.OnSample(true, 0.02, At(2000)) == 1);
  CHECK(evidence.OnSample(false, 0.02, At(2010)) == Approx(1.0 / 2));
  CHECK(evidence.OnSample(false, 0.02, At(2020)) == Approx(1.0 / 3));
  for (int i = 0; i < 100; ++i) {
    evidence.OnSample(false, 0.02, At(2030));
  }
  CHECK(evidence.OnSample(false, 0.02, At(2040)) == 0.02);
}

}  // namespace
}  // namespace basilvalve::flow
