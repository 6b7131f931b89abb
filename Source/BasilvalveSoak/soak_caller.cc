#include "BasilvalveSoak/soak_caller.h"

namespace basilvalve::soak {
namespace {

constexpr Millis kConnectTimeout{1000};
constexpr Millis kTcpUserTimeout{2000};

std::string RequestText(const SoakCall& call) {
  return std::string("POST ") + RoutePath(call.kind) +
         " HTTP/1.1\r\nHost: host\r\nCall-Id: " + call.id.value() +
         "\r\nPatience: " + std::to_string(call.timeout.count()) +
         "\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody";
}

}  // namespace

SoakCaller::SoakCaller(net::EventLoop* loop, InvariantChecker* checker,
                       SoakCall call, std::function<void(SoakCaller*)> on_ended)
    : loop_(loop),
      checker_(checker),
      call_(std::move(call)),
      on_ended_(std::move(on_ended)),
      disconnect_timer_(loop) {
  checker_->OnCallSent(call_.id, call_.kind, loop_->Now() + call_.timeout);
  connection_ = net::ClientConnection::Open(loop_, call_.entry, kConnectTimeout,
                                            kTcpUserTimeout);
  connection_->Send(RequestText(call_), this);
  if (call_.disconnects_after > Millis::zero()) {
    disconnect_timer_.Set(call_.disconnects_after, [this] { Disconnect(); });
  }
}

SoakCaller::~SoakCaller() {
  if (connection_) {
    connection_->Close();
  }
}

bool SoakCaller::OnHead(const net::MessageHead& head) {
  result_.status = head.status;
  return true;
}

void SoakCaller::OnBody(std::string_view bytes) { result_.body.append(bytes); }

void SoakCaller::OnDone() {
  result_.is_complete = true;
  Finish();
}

void SoakCaller::OnError(net::ClientError /*fault*/) { Finish(); }

void SoakCaller::Disconnect() {
  checker_->OnCallerDisconnected(call_.id, loop_->Now());
  connection_->Close();
  connection_ = nullptr;
  on_ended_(this);
}

void SoakCaller::Finish() {
  disconnect_timer_.Cancel();
  checker_->OnCallEnded(call_.id, result_, loop_->Now());
  on_ended_(this);
}

}  // namespace basilvalve::soak
