#include "BasilvalveSoak/soak_upstream.h"

#include <unistd.h>

#include "Core/Net/message.h"

namespace basilvalve::soak {
namespace {

constexpr Millis kDeadAfter{2000};
// Times of a run: a plain call or one event, and the same when slow.
constexpr uint64_t kStepMs = 20;
constexpr Millis kSlowStep{400};
// One in this many steps of a failing upstream fails.
constexpr uint64_t kFailsOneIn = 3;

std::string Head(const RequestId& id, int status, const std::string& framing) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nCall-Id: " + id.value() +
         "\r\nProof: p\r\n" + framing + "\r\n";
}

std::string Whole(const RequestId& id, int status, const std::string& body) {
  return Head(id, status,
              "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         body;
}

}  // namespace

std::string LoopbackOfProcess() {
  // Above the addresses that people and tests use by hand.
  constexpr unsigned kFirst = 64;
  constexpr unsigned kByte = 256;
  auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(kFirst + pid / kByte / kByte % kFirst) + "." +
         std::to_string(pid / kByte % kByte) + "." +
         std::to_string(pid % kByte);
}

std::unique_ptr<SoakUpstream> SoakUpstream::Start(net::EventLoop* loop,
                                                  Ledger* ledger,
                                                  Random* random,
                                                  const std::string& id,
                                                  uint16_t port) {
  std::unique_ptr<SoakUpstream> upstream(
      new SoakUpstream(loop, ledger, random, id));
  return upstream->Listen(port) ? std::move(upstream) : nullptr;
}

SoakUpstream::~SoakUpstream() {
  listener_.reset();
  auto connections = connections_;
  for (const auto& [key, connection] : connections) {
    connection->Abort();
  }
  while (!runs_.empty()) {
    End(runs_.begin()->first);
  }
}

bool SoakUpstream::Listen(uint16_t port) {
  auto listener =
      net::Listener::Create(loop_, {LoopbackOfProcess(), port}, kDeadAfter,
                            [this](std::unique_ptr<net::Socket> socket) {
                              Accept(std::move(socket));
                            });
  if (!listener) {
    return false;
  }
  listener_ = std::move(*listener);
  return true;
}

void SoakUpstream::Accept(std::unique_ptr<net::Socket> socket) {
  auto connection = std::make_shared<net::ServerConnection>(
      loop_, std::move(socket), net::ServerLimits(),
      [this](const Caller& caller, const net::ServerRequest& request) {
        OnCall(caller, request);
      },
      [this](net::ServerConnection* ended) {
        End(ended);
        connections_.erase(ended);
      });
  connections_[connection.get()] = connection;
  connection->Start();
}

void SoakUpstream::OnCall(const Caller& caller,
                          const net::ServerRequest& request) {
  RequestId id(*request.head.Find("Call-Id"));
  const std::string* expected = request.head.Find("Expected");
  if (expected == nullptr || *expected != id_) {
    caller->Write(Whole(id, 421, ""));
    caller->EndResponse(true);
    return;
  }
  if (mood_ == Mood::kRefuses) {
    caller->Write(Head(id, 503, "Not-Run: 1\r\nContent-Length: 0\r\n"));
    caller->EndResponse(true);
    return;
  }
  Begin(caller, request);
}

void SoakUpstream::Begin(const Caller& caller,
                         const net::ServerRequest& request) {
  net::ServerConnection* key = caller.get();
  Run& run = runs_[key];
  run.caller = caller;
  run.id = RequestId(*request.head.Find("Call-Id"));
  run.timer = std::make_unique<net::Timer>(loop_);
  run.is_stream = request.head.target == PathOf(CallKind::kStream);
  if (const std::string* resume = request.head.Find("Resume-After")) {
    run.next_event = std::stoi(*resume) + 1;
  }
  ledger_->OnRunBegan(run.id);
  caller->SetDisconnectHandler([this, key] { End(key); });
  Later(&run);
}

void SoakUpstream::Later(Run* run) {
  if (mood_ == Mood::kSilent) {
    return;
  }
  Millis step = mood_ == Mood::kSlow
                    ? kSlowStep
                    : Millis(1 + static_cast<int64_t>(random_->Below(kStepMs)));
  run->timer->Set(step, [this, key = run->caller.get()] { Step(key); });
}

void SoakUpstream::Step(net::ServerConnection* key) {
  Run& run = runs_.at(key);
  Caller caller = run.caller;
  if (random_->Below(kFailsOneIn) == 0 && Break(run)) {
    End(key);
    caller->Abort();
    return;
  }
  if (run.is_stream && run.next_event <= EventsOf(run.id)) {
    StreamOn(&run);
    return;
  }
  if (run.is_stream) {
    BeginStream(&run);
    caller->Write(net::kLastChunk);
  } else {
    AnswerWhole(run);
  }
  End(key);
  caller->EndResponse(true);
  if (mood_ == Mood::kDropsIdle) {
    caller->CloseWhenIdle();
  }
}

bool SoakUpstream::Break(const Run& run) {
  switch (mood_) {
    case Mood::kLosesAnswers:
      return true;
    case Mood::kGarbles:
      run.caller->Write("\x02 bytes that are no answer\r\n\r\n");
      return true;
    case Mood::kCuts: {
      // After its last event a stream has nothing left but its end.
      bool is_past_events = run.is_stream && run.next_event > EventsOf(run.id);
      std::string text = run.is_stream && run.has_head
                             ? net::EncodeChunk(EventOf(run.id, run.next_event))
                             : Whole(run.id, 200, AnswerTo(run.id));
      if (!is_past_events) {
        run.caller->Write(text.substr(0, random_->Below(text.size())));
      }
      return true;
    }
    default:
      return false;
  }
}

void SoakUpstream::AnswerWhole(const Run& run) {
  if (mood_ == Mood::kFails && random_->Below(kFailsOneIn) == 0) {
    run.caller->Write(Whole(run.id, 500, "failed"));
    return;
  }
  if (mood_ == Mood::kAnswersTwice) {
    run.caller->Write(Whole(RequestId("another"), 200, "answer to another"));
  }
  run.caller->Write(Whole(run.id, 200, AnswerTo(run.id)));
}

void SoakUpstream::BeginStream(Run* run) {
  if (!run->has_head) {
    run->has_head = true;
    run->caller->Write(Head(run->id, 200, "Transfer-Encoding: chunked\r\n"));
  }
}

void SoakUpstream::StreamOn(Run* run) {
  BeginStream(run);
  run->caller->Write(net::EncodeChunk(EventOf(run->id, run->next_event++)));
  Later(run);
}

void SoakUpstream::End(net::ServerConnection* key) {
  auto it = runs_.find(key);
  if (it == runs_.end()) {
    return;
  }
  ledger_->OnRunEnded(it->second.id);
  runs_.erase(it);
}

}  // namespace basilvalve::soak
