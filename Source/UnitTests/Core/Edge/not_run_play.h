// Plays one call while its upstream, or the next instance, says something.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "UnitTests/Core/Edge/edge_fixture.h"
#include "UnitTests/Core/Edge/raw_server.h"

namespace basilvalve::edge {

/// What the other side of a connection does.
enum class Said {
  kRefusal,
  kMisdirected,
  /// Statuses that do not state whether the call was executed.
  kBare503,
  kBare429,
  kBare408,
  kAnswer,
  kUnsignedAnswer,
  /// The start of an answer and the end of the connection.
  kCutAnswer,
  kGarbage,
  kEnd,
  kReset,
  kHopNotRun,
  kHopUnsent,
  kHopUnknown,
  kLeavingAnswer,
  kPausingRefusal,
};

enum class When {
  /// On an idle connection, before the call arrives in the same turn.
  kIdle,
  /// The same, but the loop sees the call first.
  kTaken,
  /// Between taking the idle connection and writing the call to it.
  kUnwritten,
  /// On a new connection before anything was written to it.
  kAccepted,
  /// While the body is written.
  kBody,
  kAwaiting,
  /// After the first part of the answer.
  kMiddle,
  /// Right after the answer, in the same segment.
  kSameSegment,
  /// On the idle connection, after the answer.
  kLate,
  /// While the call awaits its answer, followed by a reset in the same turn.
  kWithReset,
};

/// Which call the words name.
enum class Names { kThis, kOther, kNone };

enum class CallRoute { kOnce, kAgain, kStream, kSingle };

/// Where the call is sent: the last part is the scripted server.
enum class Hops {
  kUpstream,
  kRegionUpstream,
  kOwnerUpstream,
  kRegionOwnerUpstream,
  /// The scripted server is an instance of another region.
  kPeer,
};

struct NotRunRow {
  Said said;
  When when;
  Names names;
  CallRoute route;
  Hops hops;
  /// Whether a second server can serve the call.
  bool has_other;

  std::string Text() const;
  bool IsRetryable() const {
    return route == CallRoute::kAgain || route == CallRoute::kStream;
  }
  bool IsStream() const {
    return route == CallRoute::kStream || route == CallRoute::kSingle;
  }
};

/// A response as its caller got it.
struct CallerView {
  /// 0 if the connection was closed without a head.
  int status = 0;
  /// Whether it has its last byte, as framed.
  bool is_complete = false;
  std::string text;
};

struct NotRunResult {
  /// Whether the words were said, so that the row shows something.
  bool was_said = false;
  /// Whether calls went through the instances of the row.
  bool has_taken_hops = false;
  CallerView first;
  /// How often the call ran. A server that got the whole call runs it, unless
  /// it said afterwards, in this call's name, that it did not.
  int runs = 0;
  /// A second call after the first, and how often it ran.
  CallerView second;
  int second_runs = 0;
  /// A call was written to a connection after bytes that answer no request.
  bool is_connection_misused = false;
  bool is_leaving = false;
  bool is_paused = false;
};

/// Plays the row on virtual time. Not thread safe.
NotRunResult PlayNotRun(const NotRunRow& row);

}  // namespace basilvalve::edge
