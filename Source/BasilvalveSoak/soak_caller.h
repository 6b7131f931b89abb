// One call by one caller, from its connection to its end.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "BasilvalveSoak/invariant_checker.h"
#include "Core/Net/client_connection.h"

namespace basilvalve::soak {

/// What a caller asks for.
struct SoakCall {
  RequestId id;
  CallKind kind = CallKind::kOnce;
  net::Endpoint entry;
  Millis patience{0};
  /// When the caller leaves; zero if it stays to the end.
  Millis leaves_after{0};
};

/// Not thread safe.
class SoakCaller : public net::ClientObserver {
 public:
  /// `on_ended` is called once, from the loop; the caller may go then.
  SoakCaller(net::EventLoop* loop, Ledger* ledger, SoakCall call,
             std::function<void(SoakCaller*)> on_ended);
  ~SoakCaller() override;

  const SoakCall& call() const { return call_; }

  bool OnHead(const net::MessageHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnDone() override;
  void OnError(net::ClientError fault) override;

 private:
  void Leave();
  void End();

  net::EventLoop* loop_;
  Ledger* ledger_;
  SoakCall call_;
  std::function<void(SoakCaller*)> on_ended_;
  std::shared_ptr<net::ClientConnection> connection_;
  net::Timer leave_timer_;
  CallEnd end_;
};

}  // namespace basilvalve::soak
