// What callers asked for, what upstreams ran, and where the two contradict.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::soak {

/// A kind of call, by the route that it takes.
enum class CallKind { kOnce, kAgain, kStream };

/// Path of the route of a kind. Thread safe.
const char* PathOf(CallKind kind);
/// Body of the right answer to a plain call. Thread safe.
std::string AnswerTo(const RequestId& id);
/// Text of one event of a stream, from 1. Thread safe.
std::string EventOf(const RequestId& id, int number);
/// Events of the right answer to a stream. Thread safe.
int EventsOf(const RequestId& id);

/// How a call ended for its caller.
struct CallEnd {
  /// 0 if there was no answer.
  int status = 0;
  std::string body;
  /// Whether the answer's framing says that it is complete.
  bool is_whole = false;
};

/// The account of all calls. Not thread safe.
class Ledger {
 public:
  /// A caller sent a call that has to end until `deadline`.
  void OnAsked(const RequestId& id, CallKind kind, Instant deadline);
  /// The entry instance was killed: the caller may see no end.
  void OnEntryKilled(const RequestId& id);
  /// The caller leaves.
  void OnCallerGone(const RequestId& id, Instant now);
  void OnEnd(const RequestId& id, const CallEnd& end, Instant now);
  /// An upstream begins to run a call, or ceases to.
  void OnRunBegan(const RequestId& id);
  void OnRunEnded(const RequestId& id);

  /// Judges what only time shows; to be called now and again.
  void Check(Instant now);
  /// Judges what holds for the whole run.
  void CheckEnd();

  const std::vector<std::string>& violations() const { return violations_; }
  uint64_t asked() const { return calls_.size(); }
  uint64_t served() const { return served_; }
  uint64_t refused() const { return refused_; }
  uint64_t runs() const { return runs_; }

 private:
  struct Call {
    CallKind kind = CallKind::kOnce;
    Instant deadline;
    Instant left_at;
    int runs = 0;
    int running = 0;
    int status = 0;
    bool has_ended = false;
    bool has_left = false;
    bool may_be_lost = false;
  };

  void JudgeAnswer(const RequestId& id, const Call& call, const CallEnd& end);
  void JudgeStream(const RequestId& id, const CallEnd& end);
  void Violate(const RequestId& id, const std::string& what);

  std::map<RequestId, Call> calls_;
  std::vector<RequestId> open_;
  std::vector<std::string> violations_;
  uint64_t served_ = 0;
  uint64_t refused_ = 0;
  uint64_t runs_ = 0;
};

}  // namespace basilvalve::soak
