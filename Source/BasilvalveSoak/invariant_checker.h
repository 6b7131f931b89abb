// What callers asked for, what upstreams ran, and where the two contradict.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::soak {

/// A kind of call, by the route that it takes.
enum class CallKind { kRunOnce, kRetryable, kStream };

/// Path of the route of a kind. Thread safe.
const char* RoutePath(CallKind kind);
/// Body of the right answer to a plain call. Thread safe.
std::string ExpectedAnswer(const RequestId& id);
/// Text of one event of a stream, from 1. Thread safe.
std::string ExpectedEvent(const RequestId& id, int number);
/// Events of the right answer to a stream. Thread safe.
int ExpectedEventCount(const RequestId& id);

/// How a call ended for its caller.
struct CallResult {
  /// 0 if there was no answer.
  int status = 0;
  std::string body;
  /// Whether the answer's framing says that it is complete.
  bool is_complete = false;
};

/// The account of all calls. Not thread safe.
class InvariantChecker {
 public:
  /// A caller sent a call that has to end until `deadline`.
  void OnCallSent(const RequestId& id, CallKind kind, Instant deadline);
  /// The entry instance was killed: the caller may see no end.
  void OnEntryInstanceKilled(const RequestId& id);
  /// The caller leaves.
  void OnCallerDisconnected(const RequestId& id, Instant now);
  void OnCallEnded(const RequestId& id, const CallResult& result, Instant now);
  /// An upstream begins to run a call, or ceases to.
  void OnRunStarted(const RequestId& id);
  void OnRunEnded(const RequestId& id);

  /// Judges what only time shows; to be called now and again.
  void CheckPendingCalls(Instant now);
  /// Judges what holds for the whole run.
  void CheckAtEnd();

  const std::vector<std::string>& violations() const { return violations_; }
  uint64_t sent_calls() const { return calls_.size(); }
  uint64_t served() const { return served_; }
  uint64_t refused() const { return refused_; }
  uint64_t runs() const { return runs_; }

 private:
  struct Call {
    CallKind kind = CallKind::kRunOnce;
    Instant deadline;
    Instant disconnected_at;
    int runs = 0;
    int active_runs = 0;
    int status = 0;
    bool has_ended = false;
    bool has_disconnected = false;
    bool may_go_unanswered = false;
  };

  void CheckAnswer(const RequestId& id, const Call& call,
                   const CallResult& result);
  void CheckStream(const RequestId& id, const CallResult& result);
  void AddViolation(const RequestId& id, const std::string& what);

  std::map<RequestId, Call> calls_;
  std::vector<RequestId> open_calls_;
  std::vector<std::string> violations_;
  uint64_t served_ = 0;
  uint64_t refused_ = 0;
  uint64_t runs_ = 0;
};

}  // namespace basilvalve::soak
