#include "BasilvalveSoak/invariant_checker.h"

#include <algorithm>

#include "Core/Common/hash.h"

namespace basilvalve::soak {
namespace {

// The gateway guarantees an answer within 0.5 s after the deadline of a call
// and the end of its work within 0.5 s after its caller disconnects. The
// tolerance is twice that, since all instances and upstreams share one thread
// here.
constexpr Millis kTolerance{1000};
constexpr int kMaxEvents = 12;

}  // namespace

const char* RoutePath(CallKind kind) {
  switch (kind) {
    case CallKind::kRunOnce:
      return "/once/";
    case CallKind::kRetryable:
      return "/again/";
    case CallKind::kStream:
      break;
  }
  return "/stream/";
}

std::string ExpectedAnswer(const RequestId& id) {
  return "answer to " + id.value();
}

std::string ExpectedEvent(const RequestId& id, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + id.value() + "\n\n";
}

int ExpectedEventCount(const RequestId& id) {
  return 1 + static_cast<int>(Hash64(id.value()) % kMaxEvents);
}

void InvariantChecker::OnCallSent(const RequestId& id, CallKind kind,
                                  Instant deadline) {
  Call& call = calls_[id];
  call.kind = kind;
  call.deadline = deadline;
  open_calls_.push_back(id);
}

void InvariantChecker::OnEntryInstanceKilled(const RequestId& id) {
  calls_[id].may_go_unanswered = true;
}

void InvariantChecker::OnCallerDisconnected(const RequestId& id, Instant now) {
  Call& call = calls_[id];
  call.has_disconnected = true;
  call.disconnected_at = now;
}

void InvariantChecker::OnCallEnded(const RequestId& id,
                                   const CallResult& result, Instant now) {
  Call& call = calls_[id];
  call.has_ended = true;
  call.status = result.status;
  if (now > call.deadline + kTolerance) {
    AddViolation(id, "ended after its deadline");
  }
  if (result.status == 0 && !call.may_go_unanswered) {
    AddViolation(id, "no answer although its entry instance was not killed");
  }
  CheckAnswer(id, call, result);
}

void InvariantChecker::CheckAnswer(const RequestId& id, const Call& call,
                                   const CallResult& result) {
  if (result.status == 503) {
    ++refused_;
  }
  if (result.status != 200) {
    return;
  }
  if (call.kind == CallKind::kStream) {
    CheckStream(id, result);
  } else if (result.is_complete && result.body != ExpectedAnswer(id)) {
    AddViolation(id, "wrong answer: " + result.body);
  }
  served_ += result.is_complete ? 1 : 0;
}

void InvariantChecker::CheckStream(const RequestId& id,
                                   const CallResult& result) {
  std::string expected;
  for (int i = 1; i <= ExpectedEventCount(id); ++i) {
    expected += ExpectedEvent(id, i);
  }
  if (result.is_complete && result.body != expected) {
    AddViolation(id, "stream ended normally with missing or wrong events: " +
                         result.body);
  }
  if (!expected.starts_with(result.body)) {
    AddViolation(
        id, "stream has missing, repeated or foreign events: " + result.body);
  }
}

void InvariantChecker::OnRunStarted(const RequestId& id) {
  Call& call = calls_[id];
  ++runs_;
  ++call.active_runs;
  if (++call.runs > 1 && call.kind == CallKind::kRunOnce) {
    AddViolation(id, "non-idempotent call ran more than once");
  }
}

void InvariantChecker::OnRunEnded(const RequestId& id) {
  --calls_[id].active_runs;
}

void InvariantChecker::CheckPendingCalls(Instant now) {
  std::erase_if(open_calls_, [&](const RequestId& id) {
    const Call& call = calls_[id];
    if (call.has_disconnected) {
      if (now < call.disconnected_at + kTolerance) {
        return false;
      }
      if (call.active_runs > 0 && call.kind != CallKind::kRunOnce) {
        AddViolation(id, "still running after its caller disconnected");
      }
      return true;
    }
    if (!call.has_ended && !call.may_go_unanswered &&
        now > call.deadline + kTolerance) {
      AddViolation(id, "no answer by its deadline");
      return true;
    }
    return call.has_ended;
  });
}

void InvariantChecker::CheckAtEnd() {
  for (const auto& [id, call] : calls_) {
    if (call.status == 503 && call.runs > 0 &&
        call.kind == CallKind::kRunOnce) {
      AddViolation(id, "answered 503 (not run) although an upstream ran it");
    }
  }
}

void InvariantChecker::AddViolation(const RequestId& id,
                                    const std::string& what) {
  violations_.push_back(id.value() + ": " + what);
}

}  // namespace basilvalve::soak
