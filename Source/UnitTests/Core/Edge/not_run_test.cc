// What a call and its caller get for each thing that a connection can say, at
// each moment.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

#include "UnitTests/Core/Edge/not_run_play.h"

namespace basilvalve::edge {
namespace {

constexpr std::array kNames = {Names::kThis, Names::kOther, Names::kNone};
constexpr std::array kRoutes = {CallRoute::kOnce, CallRoute::kAgain,
                                CallRoute::kStream, CallRoute::kSingle};
// Words that name a call or none.
constexpr std::array kMessages = {
    Said::kRefusal,        Said::kMisdirected,   Said::kBare503,
    Said::kBare429,        Said::kBare408,       Said::kAnswer,
    Said::kUnsignedAnswer, Said::kHopNotRun,     Said::kHopUnsent,
    Said::kHopUnknown,     Said::kLeavingAnswer, Said::kPausingRefusal};
constexpr std::array kEnds = {Said::kGarbage, Said::kEnd, Said::kReset};

bool IsOneOf(Said said, std::initializer_list<Said> list) {
  return std::find(list.begin(), list.end(), said) != list.end();
}

bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsAfter(When when) {
  return when == When::kSameSegment || when == When::kLate;
}

bool IsBefore(When when) {
  return when == When::kIdle || when == When::kTaken ||
         when == When::kUnwritten;
}

// Whether the words come where the answer to the call is due.
bool IsInOrder(When when) {
  return when == When::kBody || when == When::kAwaiting ||
         when == When::kWithReset;
}

// The rows of one moment.
std::vector<NotRunRow> RowsAt(When when, CallRoute route, Hops hops,
                              bool has_other) {
  std::vector<NotRunRow> rows;
  if (when != When::kMiddle) {
    for (Said said : kMessages) {
      for (Names names : kNames) {
        // An instance states refusals in headers of its own.
        bool is_upstream_word =
            names == Names::kThis &&
            IsOneOf(said, {Said::kRefusal, Said::kMisdirected,
                           Said::kLeavingAnswer, Said::kPausingRefusal});
        if (hops != Hops::kPeer || !is_upstream_word) {
          rows.push_back({said, when, names, route, hops, has_other});
        }
      }
    }
  } else {
    rows.push_back(
        {Said::kRefusal, when, Names::kNone, route, hops, has_other});
    rows.push_back(
        {Said::kAnswer, when, Names::kOther, route, hops, has_other});
  }
  if (when != When::kWithReset) {
    for (Said said : kEnds) {
      rows.push_back({said, when, Names::kNone, route, hops, has_other});
    }
  }
  if (when == When::kAwaiting || when == When::kBody) {
    rows.push_back(
        {Said::kCutAnswer, when, Names::kThis, route, hops, has_other});
  }
  return rows;
}

// Whether the server said in the call's name, and in order, that it did not run
// it.
bool IsProvenRefusal(const NotRunRow& row) {
  if (!IsInOrder(row.when) || row.names != Names::kThis) {
    return false;
  }
  return row.hops == Hops::kPeer
             ? IsOneOf(row.said, {Said::kHopNotRun, Said::kHopUnsent})
             : IsOneOf(row.said, {Said::kRefusal, Said::kMisdirected,
                                  Said::kPausingRefusal});
}

// Whether the caller has to get its answer, since a server gave it whole, or a
// server that can give it was free and none had got the call.
bool MustBeServed(const NotRunRow& row) {
  if (IsBefore(row.when) || IsAfter(row.when)) {
    return true;
  }
  if (row.when == When::kAwaiting || row.when == When::kBody) {
    if (row.names == Names::kOther) {
      return true;
    }
    if (row.names == Names::kThis && IsProvenRefusal(row)) {
      return row.hops == Hops::kUpstream && row.has_other;
    }
  }
  return row.names == Names::kThis && IsInOrder(row.when) &&
         IsOneOf(row.said, {Said::kAnswer, Said::kLeavingAnswer});
}

// Whether the words show that they come from the process that got the call. A
// late response to another call does, as notice_test has it.
bool TellsOfSender(const NotRunRow& row) {
  return IsInOrder(row.when) && row.names != Names::kNone &&
         row.hops != Hops::kPeer;
}

std::string TrueAnswer(const NotRunRow& row, const std::string& id) {
  return row.IsStream() ? "data: " + id : "done-" + id;
}

size_t Count(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// What holds for every response, whatever was said.
void CheckTruth(const NotRunRow& row, const CallerView& view,
                const std::string& id, int runs) {
  CHECK(runs <= (row.IsRetryable() ? 2 : 1));
  CHECK_FALSE((runs > 0 && IsPromise(view.status)));
  // Nothing of another call, and no answer without its proof.
  CHECK(view.text.find("stranger") == std::string::npos);
  CHECK(view.text.find("Basilvalve") == std::string::npos);
  if (view.status == 200) {
    CHECK(Count(view.text, "Proof: p") == 1);
    CHECK(runs > 0);
    if (view.is_complete) {
      CHECK(Count(view.text, "Call-Id: " + id) == 1);
      size_t parts = row.IsStream() ? Count(view.text, "id: 2\n") : 1;
      CHECK(Count(view.text, TrueAnswer(row, id)) ==
            parts + (row.IsStream() ? Count(view.text, "id: 1\n") : 0));
    }
  } else {
    // The other answers are of this instance.
    CHECK(view.text.find("Proof") == std::string::npos);
  }
}

void Check(const NotRunRow& row) {
  INFO(row.Text());
  NotRunResult result = PlayNotRun(row);
  INFO("status " << result.first.status << ", complete "
                 << result.first.is_complete << ", runs " << result.runs
                 << ", second " << result.second.status);
  CHECK(result.was_said);
  CHECK(result.has_taken_hops);
  CheckTruth(row, result.first, "r1", result.runs);
  CheckTruth(row, result.second, "r2", result.second_runs);
  CHECK_FALSE(result.is_connection_misused);
  if (MustBeServed(row)) {
    CHECK(result.first.status == 200);
    CHECK(result.first.is_complete);
    CHECK(result.runs == 1);
  } else if (IsProvenRefusal(row)) {
    CHECK((result.first.status == 200 || result.first.status == 503));
    CHECK(result.runs == (result.first.status == 200 ? 1 : 0));
  } else {
    bool is_broken_off = row.IsStream() && result.first.status == 200 &&
                         !result.first.is_complete;
    // A connection may end before anything was written to it.
    bool is_refused_unsent = row.when == When::kAccepted && result.runs == 0 &&
                             result.first.status == 503;
    CHECK((result.first.status == 200 || result.first.status == 502 ||
           result.first.status == 504 || is_refused_unsent));
    CHECK((result.first.is_complete || is_broken_off));
  }
  if (!IsBefore(row.when) && !IsInOrder(row.when)) {
    CHECK((result.second.status == 200 || row.when == When::kAccepted ||
           row.when == When::kMiddle));
  }
  bool tells_of_sender = TellsOfSender(row);
  CHECK(result.is_leaving ==
        (tells_of_sender && row.said == Said::kLeavingAnswer));
  CHECK(result.is_paused ==
        (tells_of_sender && row.said == Said::kPausingRefusal));
}

void CheckAll(When when, CallRoute route, Hops hops, bool has_other) {
  for (const NotRunRow& row : RowsAt(when, route, hops, has_other)) {
    Check(row);
  }
}

// Guards against TWICE and REFUSED: what a connection says about another call,
// or before it has the call, is taken for this call's.
TEST_CASE("words before a call was written do not answer it") {
  for (CallRoute route : kRoutes) {
    for (When when : {When::kIdle, When::kTaken, When::kUnwritten}) {
      CheckAll(when, route, Hops::kUpstream, false);
    }
    CheckAll(When::kUnwritten, route, Hops::kUpstream, true);
  }
}

// Guards against TWICE and REFUSED: an answer that came before its call.
TEST_CASE("words on a new connection before the call do not answer it") {
  for (bool has_other : {false, true}) {
    for (CallRoute route : kRoutes) {
      CheckAll(When::kAccepted, route, Hops::kUpstream, has_other);
    }
    for (CallRoute route : {CallRoute::kOnce, CallRoute::kSingle}) {
      CheckAll(When::kAccepted, route, Hops::kPeer, has_other);
    }
  }
}

// Guards against TWICE and REFUSED: a refusal that is not this call's.
TEST_CASE("only words in a call's name answer it") {
  for (CallRoute route : kRoutes) {
    for (When when : {When::kAwaiting, When::kWithReset, When::kMiddle}) {
      for (bool has_other : {false, true}) {
        CheckAll(when, route, Hops::kUpstream, has_other);
      }
    }
  }
}

TEST_CASE("words while a body is written answer only the call they name") {
  for (CallRoute route : {CallRoute::kOnce, CallRoute::kAgain}) {
    for (bool has_other : {false, true}) {
      CheckAll(When::kBody, route, Hops::kUpstream, has_other);
    }
  }
}

TEST_CASE("bytes behind an answer end its connection and say nothing") {
  for (CallRoute route : kRoutes) {
    CheckAll(When::kSameSegment, route, Hops::kUpstream, false);
    CheckAll(When::kLate, route, Hops::kUpstream, false);
  }
}

TEST_CASE("words about calls promise nothing over hops") {
  for (Hops hops : {Hops::kRegionUpstream, Hops::kOwnerUpstream,
                    Hops::kRegionOwnerUpstream}) {
    for (CallRoute route : {CallRoute::kOnce, CallRoute::kStream}) {
      for (When when :
           {When::kUnwritten, When::kAwaiting, When::kWithReset, When::kLate}) {
        CheckAll(when, route, hops, true);
      }
    }
    CheckAll(When::kAwaiting, CallRoute::kOnce, hops, false);
  }
}

TEST_CASE("words between instances answer only the call they name") {
  for (CallRoute route : {CallRoute::kOnce, CallRoute::kSingle}) {
    for (When when :
         {When::kIdle, When::kTaken, When::kUnwritten, When::kAwaiting,
          When::kWithReset, When::kMiddle, When::kSameSegment, When::kLate}) {
      for (bool has_other : {false, true}) {
        CheckAll(when, route, Hops::kPeer, has_other);
      }
    }
  }
}

}  // namespace
}  // namespace basilvalve::edge
