// Records the calls that callers sent and upstreams ran, and checks them
// against the gateway's guarantees.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::soak {

/// Kind of a call; each kind has its own route.
enum class CallKind { kRunOnce, kRetryable, kStream };

/// Path prefix of the route for a kind of call. Thread safe.
const char* RoutePath(CallKind kind);
/// Body of the correct answer to a plain call. Thread safe.
std::string ExpectedAnswer(const RequestId& id);
/// Text of the stream event with this number, counted from 1. Thread safe.
std::string ExpectedEvent(const RequestId& id, int number);
/// Number of events in the correct answer to a streamed call. Thread safe.
int ExpectedEventCount(const RequestId& id);

/// The outcome of a call as its caller saw it.
struct CallResult {
  /// HTTP status; 0 if there was no answer.
  int status = 0;
  std::string body;
  /// Whether the HTTP framing of the answer was complete.
  bool is_complete = false;
};

/// Tracks all calls of a soak test and collects violated invariants. Not thread
/// safe.
class InvariantChecker {
 public:
  /// A caller sent a call that has to end by `deadline`.
  void OnCallSent(const RequestId& id, CallKind kind, Instant deadline);
  /// The instance that accepted the call was killed; its caller may get no
  /// answer.
  void OnEntryInstanceKilled(const RequestId& id);
  /// The caller disconnected before the end of its call.
  void OnCallerDisconnected(const RequestId& id, Instant now);
  /// The call ended for its caller with this result.
  void OnCallEnded(const RequestId& id, const CallResult& result, Instant now);
  /// An upstream started or ended a run of a call.
  void OnRunStarted(const RequestId& id);
  void OnRunEnded(const RequestId& id);

  /// Checks that open calls ended by their deadlines and that the runs of
  /// disconnected callers ended; to be called periodically.
  void CheckPendingCalls(Instant now);
  /// Checks the invariants that need the complete record; call once at the end.
  void CheckAtEnd();

  const std::vector<std::string>& violations() const { return violations_; }
  uint64_t calls_sent() const { return calls_.size(); }
  /// Number of calls with a complete answer of status 200.
  uint64_t served() const { return served_; }
  /// Number of calls answered with status 503.
  uint64_t refused() const { return refused_; }
  /// Number of runs started by upstreams; a retried call has several.
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
