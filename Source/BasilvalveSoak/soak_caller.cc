#include "BasilvalveSoak/soak_caller.h"

namespace basilvalve::soak {
namespace {

constexpr Millis kConnectTime{1000};
constexpr Millis kDeadAfter{2000};

std::string RequestText(const SoakCall& call) {
  return std::string("POST ") + PathOf(call.kind) +
         " HTTP/1.1\r\nHost: host\r\nCall-Id: " + call.id.value() +
         "\r\nPatience: " + std::to_string(call.patience.count()) +
         "\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody";
}

}  // namespace

SoakCaller::SoakCaller(net::EventLoop* loop, Ledger* ledger, SoakCall call,
                       std::function<void(SoakCaller*)> on_ended)
    : loop_(loop),
      ledger_(ledger),
      call_(std::move(call)),
      on_ended_(std::move(on_ended)),
      leave_timer_(loop) {
  ledger_->OnAsked(call_.id, call_.kind, loop_->Now() + call_.patience);
  connection_ =
      net::ClientConnection::Open(loop_, call_.entry, kConnectTime, kDeadAfter);
  connection_->Send(RequestText(call_), this);
  if (call_.leaves_after > Millis::zero()) {
    leave_timer_.Set(call_.leaves_after, [this] { Leave(); });
  }
}

SoakCaller::~SoakCaller() {
  if (connection_) {
    connection_->Close();
  }
}

bool SoakCaller::OnHead(const net::MessageHead& head) {
  end_.status = head.status;
  return true;
}

void SoakCaller::OnBody(std::string_view bytes) { end_.body.append(bytes); }

void SoakCaller::OnDone() {
  end_.is_whole = true;
  End();
}

void SoakCaller::OnError(net::ClientError /*fault*/) { End(); }

void SoakCaller::Leave() {
  ledger_->OnCallerGone(call_.id, loop_->Now());
  connection_->Close();
  connection_ = nullptr;
  on_ended_(this);
}

void SoakCaller::End() {
  leave_timer_.Cancel();
  ledger_->OnEnd(call_.id, end_, loop_->Now());
  on_ended_(this);
}

}  // namespace basilvalve::soak
