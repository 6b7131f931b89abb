// Limits that upstreams state: which statement counts, and how calls keep it.
#include "Core/Flow/send_limiter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "Core/Flow/upstream_notice.h"

namespace basilvalve::flow {
namespace {

const UpstreamId kUpstream("u1");
const Instant kStart = Instant() + Seconds(1000);

SendLimits Stated(double per_second) {
  return {{}, CallsPerSecond(per_second)};
}

// Sends whenever it is allowed to; returns the times.
std::vector<Instant> SendAll(SendLimiter* limiter, const SendLimits& limits,
                             Instant from, Millis time) {
  std::vector<Instant> sent;
  for (Instant now = from; now < from + time; now += Millis(1)) {
    if (limiter->Allows(kUpstream, limits, /*is_owner=*/true, now)) {
      limiter->OnSent(kUpstream, now);
      sent.push_back(now);
    }
  }
  return sent;
}

// The most that were sent in any 4 s.
double MostIn4s(const std::vector<Instant>& sent) {
  int64_t most = 0;
  for (Instant from : sent) {
    most = std::max<int64_t>(
        most, std::count_if(sent.begin(), sent.end(), [from](Instant it) {
          return it >= from && it < from + Seconds(4);
        }));
  }
  return static_cast<double>(most);
}

TEST_CASE("an owner uses a stated limit and leaves room for a second owner") {
  for (double limit : {0.0, 0.1, 0.5, 1.0, 3.3, 9.1, 50.0}) {
    INFO("limit " << limit);
    SendLimiter limiter;
    std::vector<Instant> sent =
        SendAll(&limiter, Stated(limit), kStart, Seconds(20));
    CHECK(static_cast<double>(sent.size()) >= 20 * limit);
    // Another owner for one second more.
    SendLimiter other;
    size_t overlap = SendAll(&other, Stated(limit), kStart, Seconds(1)).size();
    CHECK(MostIn4s(sent) + static_cast<double>(overlap) <= 1.5 * limit * 4 + 5);
  }
}

TEST_CASE("an owner has saved few calls after an idle time, a new one none") {
  SendLimiter limiter;
  CHECK_FALSE(limiter.Allows(kUpstream, Stated(10), true, kStart));
  Instant later = kStart + Seconds(100);
  CHECK(SendAll(&limiter, Stated(10), later, Millis(1)).size() == 1);
  CHECK(SendAll(&limiter, Stated(10), later, Millis(40)).size() <= 1);
  // The other owner's calls are unknown.
  CHECK_FALSE(limiter.Allows(kUpstream, Stated(10), false, later + Seconds(9)));
  CHECK_FALSE(limiter.Allows(kUpstream, Stated(10), true, later + Seconds(9)));
  // So are calls from the time without a limit.
  CHECK(limiter.Allows(kUpstream, Stated(10), true, later + Seconds(10)));
  CHECK(limiter.Allows(kUpstream, {}, true, later + Seconds(11)));
  CHECK(limiter.Allows(kUpstream, {CallsPerSecond(1), {}}, true,
                       later + Seconds(12)));
  CHECK_FALSE(limiter.Allows(kUpstream, Stated(10), true, later + Seconds(13)));
}

TEST_CASE("a call that was never sent is given back to the limit") {
  SendLimiter limiter;
  CHECK_FALSE(limiter.Allows(kUpstream, Stated(1), true, kStart));
  Instant now = kStart + Seconds(1);
  REQUIRE(limiter.Allows(kUpstream, Stated(1), true, now));
  limiter.OnSent(kUpstream, now);
  CHECK_FALSE(limiter.Allows(kUpstream, Stated(1), true, now));
  limiter.OnUnsent(kUpstream);
  CHECK(limiter.Allows(kUpstream, Stated(1), true, now));
  limiter.OnUnsent(UpstreamId("unknown"));
}

TEST_CASE("a cold upstream that states a limit keeps the lower rate") {
  SendLimits limits{CallsPerSecond(2.4), CallsPerSecond(50)};
  SendLimiter limiter;
  CHECK(SendAll(&limiter, limits, kStart, Seconds(10)).size() <= 17);
  limits = {CallsPerSecond(2.4), CallsPerSecond(0)};
  SendLimiter slow;
  CHECK(SendAll(&slow, limits, kStart, Seconds(10)).size() <= 7);
}

// Guards against LIMIT: an older statement, or one passed on, ends a limit.
TEST_CASE("the latest statement on a limit counts, whoever passes it on") {
  using Word = UpstreamNotice::LimitWord;
  auto at = [](int ms) { return kStart + Millis(ms); };
  const CallsPerSecond two(2);
  const CallsPerSecond three(3);
  struct Row {
    const char* name;
    std::vector<Word> words;
    std::optional<CallsPerSecond> limit;
  };
  const auto kResponse = NoticeSource::kResponse;
  const auto kInstance = NoticeSource::kInstance;
  const std::vector<Row> rows = {
      {"never limited", {{{}, kResponse, at(0)}}, {}},
      {"stated", {{two, kResponse, at(0)}}, two},
      {"changed", {{two, kResponse, at(0)}, {three, kResponse, at(1)}}, three},
      {"an older one arrives late",
       {{two, kResponse, at(1)}, {three, kInstance, at(0)}},
       two},
      {"ended", {{two, kResponse, at(0)}, {{}, kResponse, at(1)}}, {}},
      {"an end from before it began",
       {{two, kResponse, at(1)}, {{}, kResponse, at(0)}},
       two},
      {"an end from the same moment",
       {{two, kResponse, at(1)}, {{}, kResponse, at(1)}},
       two},
      {"passed on after its end",
       {{two, kResponse, at(0)},
        {{}, kResponse, at(5)},
        {two, kInstance, at(1)}},
       {}},
      {"stated again",
       {{two, kResponse, at(0)},
        {{}, kInstance, at(5)},
        {three, kResponse, at(6)}},
       three},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    UpstreamNotice notice(17);
    for (const Word& word : row.words) {
      bool was_limited = notice.Limit().has_value();
      bool has_changed = notice.OnLimit(word);
      CHECK(has_changed == (notice.Limit().has_value() != was_limited));
    }
    CHECK(notice.Limit() == row.limit);
    CHECK(notice.Allows(kStart));
  }
}

}  // namespace
}  // namespace basilvalve::flow
