#include "BasilvalveSoak/soak_upstream.h"

#include <unistd.h>

#include "Core/Net/message.h"

namespace basilvalve::soak {
namespace {

constexpr Millis kTcpUserTimeout{2000};
// Duration of one step, which is a plain call or one stream event: a random
// time up to kMaxStepMs, or kSlowStepTime in slow mode.
constexpr uint64_t kMaxStepMs = 20;
constexpr Millis kSlowStepTime{400};
// One step in this many fails in the fault modes that fail at random.
constexpr uint64_t kFaultOneIn = 3;

std::string ResponseHead(const RequestId& id, int status,
                         const std::string& framing) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nCall-Id: " + id.value() +
         "\r\nProof: p\r\n" + framing + "\r\n";
}

std::string CompleteResponse(const RequestId& id, int status,
                             const std::string& body) {
  return ResponseHead(
             id, status,
             "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         body;
}

}  // namespace

std::string ProcessLoopbackAddress() {
  // Starts above the loopback addresses that unit tests and manual setups use.
  constexpr unsigned kFirst = 64;
  constexpr unsigned kByte = 256;
  auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(kFirst + pid / kByte / kByte % kFirst) + "." +
         std::to_string(pid / kByte % kByte) + "." +
         std::to_string(pid % kByte);
}

std::unique_ptr<SoakUpstream> SoakUpstream::Start(net::EventLoop* loop,
                                                  InvariantChecker* checker,
                                                  Random* random,
                                                  const std::string& id,
                                                  uint16_t port) {
  std::unique_ptr<SoakUpstream> upstream(
      new SoakUpstream(loop, checker, random, id));
  return upstream->Listen(port) ? std::move(upstream) : nullptr;
}

SoakUpstream::~SoakUpstream() {
  listener_.reset();
  auto connections = connections_;
  for (const auto& [key, connection] : connections) {
    connection->Abort();
  }
  while (!runs_.empty()) {
    EndRun(runs_.begin()->first);
  }
}

bool SoakUpstream::Listen(uint16_t port) {
  auto listener = net::Listener::Create(
      loop_, {ProcessLoopbackAddress(), port}, kTcpUserTimeout,
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
        HandleCall(caller, request);
      },
      [this](net::ServerConnection* ended) {
        EndRun(ended);
        connections_.erase(ended);
      });
  connections_[connection.get()] = connection;
  connection->Start();
}

void SoakUpstream::HandleCall(const Caller& caller,
                              const net::ServerRequest& request) {
  RequestId id(*request.head.Find("Call-Id"));
  const std::string* expected = request.head.Find("Expected");
  if (expected == nullptr || *expected != id_) {
    caller->Write(CompleteResponse(id, 421, ""));
    caller->EndResponse(true);
    return;
  }
  if (fault_mode_ == FaultMode::kRejectsCalls) {
    caller->Write(ResponseHead(id, 503, "Not-Run: 1\r\nContent-Length: 0\r\n"));
    caller->EndResponse(true);
    return;
  }
  StartRun(caller, request);
}

void SoakUpstream::StartRun(const Caller& caller,
                            const net::ServerRequest& request) {
  net::ServerConnection* key = caller.get();
  Run& run = runs_[key];
  run.caller = caller;
  run.id = RequestId(*request.head.Find("Call-Id"));
  run.timer = std::make_unique<net::Timer>(loop_);
  run.is_stream = request.head.target == RoutePath(CallKind::kStream);
  if (const std::string* resume = request.head.Find("Resume-After")) {
    run.next_event = std::stoi(*resume) + 1;
  }
  checker_->OnRunStarted(run.id);
  caller->SetDisconnectHandler([this, key] { EndRun(key); });
  ScheduleNextStep(&run);
}

void SoakUpstream::ScheduleNextStep(Run* run) {
  if (fault_mode_ == FaultMode::kSilent) {
    return;
  }
  Millis step =
      fault_mode_ == FaultMode::kSlow
          ? kSlowStepTime
          : Millis(1 + static_cast<int64_t>(random_->Below(kMaxStepMs)));
  run->timer->Set(step, [this, key = run->caller.get()] { AdvanceRun(key); });
}

void SoakUpstream::AdvanceRun(net::ServerConnection* key) {
  Run& run = runs_.at(key);
  Caller caller = run.caller;
  if (random_->Below(kFaultOneIn) == 0 && ApplyFault(run)) {
    EndRun(key);
    caller->Abort();
    return;
  }
  if (run.is_stream && run.next_event <= ExpectedEventCount(run.id)) {
    SendNextEvent(&run);
    return;
  }
  if (run.is_stream) {
    SendStreamHead(&run);
    caller->Write(net::kLastChunk);
  } else {
    SendAnswer(run);
  }
  EndRun(key);
  caller->EndResponse(true);
  if (fault_mode_ == FaultMode::kClosesIdleConnections) {
    caller->CloseWhenIdle();
  }
}

bool SoakUpstream::ApplyFault(const Run& run) {
  switch (fault_mode_) {
    case FaultMode::kClosesWithoutAnswer:
      return true;
    case FaultMode::kMalformedAnswers:
      run.caller->Write("\x02 bytes that are no answer\r\n\r\n");
      return true;
    case FaultMode::kTruncatesAnswers: {
      // After the last event only the end of the stream is left to send.
      bool is_past_events =
          run.is_stream && run.next_event > ExpectedEventCount(run.id);
      std::string text =
          run.is_stream && run.has_sent_head
              ? net::EncodeChunk(ExpectedEvent(run.id, run.next_event))
              : CompleteResponse(run.id, 200, ExpectedAnswer(run.id));
      if (!is_past_events) {
        run.caller->Write(text.substr(0, random_->Below(text.size())));
      }
      return true;
    }
    default:
      return false;
  }
}

void SoakUpstream::SendAnswer(const Run& run) {
  if (fault_mode_ == FaultMode::kServerErrors &&
      random_->Below(kFaultOneIn) == 0) {
    run.caller->Write(CompleteResponse(run.id, 500, "failed"));
    return;
  }
  if (fault_mode_ == FaultMode::kForeignAnswerFirst) {
    run.caller->Write(
        CompleteResponse(RequestId("another"), 200, "answer to another"));
  }
  run.caller->Write(CompleteResponse(run.id, 200, ExpectedAnswer(run.id)));
}

void SoakUpstream::SendStreamHead(Run* run) {
  if (!run->has_sent_head) {
    run->has_sent_head = true;
    run->caller->Write(
        ResponseHead(run->id, 200, "Transfer-Encoding: chunked\r\n"));
  }
}

void SoakUpstream::SendNextEvent(Run* run) {
  SendStreamHead(run);
  run->caller->Write(
      net::EncodeChunk(ExpectedEvent(run->id, run->next_event++)));
  ScheduleNextStep(run);
}

void SoakUpstream::EndRun(net::ServerConnection* key) {
  auto it = runs_.find(key);
  if (it == runs_.end()) {
    return;
  }
  checker_->OnRunEnded(it->second.id);
  runs_.erase(it);
}

}  // namespace basilvalve::soak
