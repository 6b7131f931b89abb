// What hedging does to the latency that callers see, and what it costs.
#include <algorithm>
#include <catch2/catch.hpp>

#include "UnitTests/Core/Edge/edge_fixture.h"

namespace basilvalve::edge {
namespace {

constexpr int kCalls = 250;
constexpr double kShare = 0.05;
constexpr flow::FleetRetryBudgetSettings kRetries = {0.2, 50, Seconds(10)};

/// Calls to six upstreams that answer after 15 to 60 ms, but with
/// `slow_share` after 0.4 to 1.4 s.
struct Load {
  Load(double hedge_share, double slow_share)
      : fixture("north", net::TimeSource::kVirtual, kRetries, hedge_share) {
    fixture.ApplyDesiredState();
    for (int i = 0; i < 6; ++i) {
      fixture.AddUpstream(
          "u" + std::to_string(i),
          [this, slow_share](const auto& caller, const auto& request) {
            ++runs;
            Answer(caller, request, random.UniformDouble() < slow_share);
          });
    }
    for (int i = 0; i < kCalls; ++i) {
      calls.push_back({fixture.Call(EdgeFixture::Request(
                           "/again/", "r" + std::to_string(i))),
                       fixture.loop.Now()});
      Run(Millis(10));
    }
    Run(Seconds(3));
    std::sort(latencies.begin(), latencies.end());
  }

  struct Call {
    std::unique_ptr<RawCaller> caller;
    Instant sent_at;
  };

  void Answer(const net::ServerConnection::Ptr& caller,
              const net::ServerRequest& request, bool is_slow) {
    Millis took(is_slow ? 400 + random.Below(1000) : 15 + random.Below(45));
    timers.push_back(std::make_unique<net::Timer>(&fixture.loop));
    timers.back()->Set(took, [caller, request] {
      caller->Write(ScriptedUpstream::Response(request, 200, "done"));
      caller->EndResponse(true);
    });
  }

  void Run(Millis time) {
    fixture.loop.RunUntil(
        [this] {
          std::erase_if(calls, [this](const Call& it) {
            if (it.caller->text().starts_with("HTTP/1.1 200")) {
              latencies.push_back(fixture.loop.Now() - it.sent_at);
            }
            return !it.caller->text().empty();
          });
          return false;
        },
        time);
  }

  /// The quantile in milliseconds.
  int64_t Quantile(double share) const {
    auto last = static_cast<double>(latencies.size() - 1);
    return std::chrono::round<Millis>(
               latencies[static_cast<size_t>(share * last)])
        .count();
  }

  Random random{11};
  EdgeFixture fixture;
  std::vector<std::unique_ptr<net::Timer>> timers;
  std::vector<Call> calls;
  std::vector<Micros> latencies;
  int runs = 0;
};

// Guards against hedges that cost work and do not help.
TEST_CASE("hedging shortens the tail for its share of extra work") {
  Load off(0, 0.03);
  Load on(kShare, 0.03);
  CAPTURE(off.runs, off.Quantile(0.5), off.Quantile(0.99), off.Quantile(0.999));
  CAPTURE(on.runs, on.Quantile(0.5), on.Quantile(0.99), on.Quantile(0.999));
  REQUIRE(off.latencies.size() == kCalls);
  REQUIRE(on.latencies.size() == kCalls);
  CHECK(5 * on.Quantile(0.99) <= 4 * off.Quantile(0.99));
  CHECK(on.Quantile(0.5) <= off.Quantile(0.5) + 2);
  CHECK(on.runs <= off.runs + static_cast<int>(kShare * kCalls));
}

}  // namespace
}  // namespace basilvalve::edge
