#include "BasilvalveSoak/invariant_checker.h"

#include <algorithm>

#include "Core/Common/hash.h"

namespace basilvalve::soak {
namespace {

// The users' rules: an answer half a second after its limit, and work that
// ends half a second after its caller left. Twice that, since all instances
// and upstreams of a soak share one thread.
constexpr Millis kSlack{1000};
constexpr int kMostEvents = 12;

}  // namespace

const char* PathOf(CallKind kind) {
  switch (kind) {
    case CallKind::kOnce:
      return "/once/";
    case CallKind::kAgain:
      return "/again/";
    case CallKind::kStream:
      break;
  }
  return "/stream/";
}

std::string AnswerTo(const RequestId& id) { return "answer to " + id.value(); }

std::string EventOf(const RequestId& id, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + id.value() + "\n\n";
}

int EventsOf(const RequestId& id) {
  return 1 + static_cast<int>(Hash64(id.value()) % kMostEvents);
}

void Ledger::OnAsked(const RequestId& id, CallKind kind, Instant deadline) {
  Call& call = calls_[id];
  call.kind = kind;
  call.deadline = deadline;
  open_.push_back(id);
}

void Ledger::OnEntryKilled(const RequestId& id) {
  calls_[id].may_be_lost = true;
}

void Ledger::OnCallerGone(const RequestId& id, Instant now) {
  Call& call = calls_[id];
  call.has_left = true;
  call.left_at = now;
}

void Ledger::OnEnd(const RequestId& id, const CallEnd& end, Instant now) {
  Call& call = calls_[id];
  call.has_ended = true;
  call.status = end.status;
  if (now > call.deadline + kSlack) {
    Violate(id, "ended after its limit");
  }
  if (end.status == 0 && !call.may_be_lost) {
    Violate(id, "no answer, and its entry instance lives");
  }
  JudgeAnswer(id, call, end);
}

void Ledger::JudgeAnswer(const RequestId& id, const Call& call,
                         const CallEnd& end) {
  if (end.status == 503) {
    ++refused_;
  }
  if (end.status != 200) {
    return;
  }
  if (call.kind == CallKind::kStream) {
    JudgeStream(id, end);
  } else if (end.is_whole && end.body != AnswerTo(id)) {
    Violate(id, "another answer than its own: " + end.body);
  }
  served_ += end.is_whole ? 1 : 0;
}

void Ledger::JudgeStream(const RequestId& id, const CallEnd& end) {
  std::string expected;
  for (int i = 1; i <= EventsOf(id); ++i) {
    expected += EventOf(id, i);
  }
  if (end.is_whole && end.body != expected) {
    Violate(id, "a stream that looks whole is not: " + end.body);
  }
  if (!expected.starts_with(end.body)) {
    Violate(id, "events missing, twice or foreign: " + end.body);
  }
}

void Ledger::OnRunBegan(const RequestId& id) {
  Call& call = calls_[id];
  ++runs_;
  ++call.running;
  if (++call.runs > 1 && call.kind == CallKind::kOnce) {
    Violate(id, "ran twice");
  }
}

void Ledger::OnRunEnded(const RequestId& id) { --calls_[id].running; }

void Ledger::Check(Instant now) {
  std::erase_if(open_, [&](const RequestId& id) {
    const Call& call = calls_[id];
    if (call.has_left) {
      if (now < call.left_at + kSlack) {
        return false;
      }
      if (call.running > 0 && call.kind != CallKind::kOnce) {
        Violate(id, "still runs after its caller left");
      }
      return true;
    }
    if (!call.has_ended && !call.may_be_lost && now > call.deadline + kSlack) {
      Violate(id, "no answer at its limit");
      return true;
    }
    return call.has_ended;
  });
}

void Ledger::CheckEnd() {
  for (const auto& [id, call] : calls_) {
    if (call.status == 503 && call.runs > 0 && call.kind == CallKind::kOnce) {
      Violate(id, "told that it did not run, and it ran");
    }
  }
}

void Ledger::Violate(const RequestId& id, const std::string& what) {
  violations_.push_back(id.value() + ": " + what);
}

}  // namespace basilvalve::soak
