// A caller that sends one call on its own connection.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "BasilvalveSoak/invariant_checker.h"
#include "Core/Net/client_connection.h"

namespace basilvalve::soak {

/// Parameters of one call.
struct SoakCall {
  RequestId id;
  CallKind kind = CallKind::kRunOnce;
  /// Address of the instance that receives the call.
  net::Endpoint entry;
  Millis timeout{0};
  /// Time until the caller disconnects; zero if it waits for the answer.
  Millis disconnects_after{0};
};

/// Sends one call and reports its result to the checker. Not thread safe.
class SoakCaller : public net::ClientObserver {
 public:
  /// Connects and sends the call. `on_ended` runs once, on the loop, with the
  /// caller still on the call stack: destroy the caller later, from the loop.
  SoakCaller(net::EventLoop* loop, InvariantChecker* checker, SoakCall call,
             std::function<void(SoakCaller*)> on_ended);
  ~SoakCaller() override;

  const SoakCall& call() const { return call_; }

  bool OnHead(const net::MessageHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnDone() override;
  void OnError(net::ClientError fault) override;

 private:
  void Disconnect();
  void Finish();

  net::EventLoop* loop_;
  InvariantChecker* checker_;
  SoakCall call_;
  std::function<void(SoakCaller*)> on_ended_;
  std::shared_ptr<net::ClientConnection> connection_;
  net::Timer disconnect_timer_;
  CallResult result_;
};

}  // namespace basilvalve::soak
