// The second attempt of a hedged call, while the first is in flight.
#pragma once

#include <functional>
#include <string>

#include "Core/Edge/attempt_steps.h"
#include "Core/Edge/call_planner.h"

namespace basilvalve::edge {

/// Waits for the response of a second upstream until its head wins, the first
/// attempt ends, or it fails itself, which ends nothing but the hedge. Not
/// thread safe.
class HedgeAttempt : public net::ClientObserver {
 public:
  /// What the hedge shares with the exchange that owns it.
  struct Call {
    EdgeComponents* components;
    const CallParams* params;
    CallProgress* progress;
    RunLedger* runs;
    /// Called when the head of the response is one to forward. Calls HandOver.
    std::function<void()> on_won;
  };

  explicit HedgeAttempt(Call call) : call_(std::move(call)) {}

  /// Sends the call. Pre: !is_active().
  void Send(Attempt attempt, std::string bytes);
  bool is_active() const { return attempt_.is_active; }
  /// Whether it is on this upstream and nothing of it was sent yet.
  bool IsUnsentTo(const flow::Upstream& upstream) const;
  /// Ends the attempt, if it is active, and its connection.
  void Cancel();
  /// Gives the attempt up to the exchange; `to` gets the rest of the response.
  /// Pre: is_active().
  Attempt HandOver(net::ClientObserver* to);

  bool OnHead(const net::MessageHead& head) override;
  // A head that does not hand the response over ends the attempt, so that no
  // body and no end follow.
  void OnBody(std::string_view) override {}
  void OnDone() override {}
  void OnError(net::ClientError client_error) override;

 private:
  /// Ends the attempt for a response that is not to be forwarded.
  void OnUnwantedHead();
  /// Excludes its upstream from further attempts.
  void ExcludeUpstream();

  Call call_;
  Attempt attempt_;
};

}  // namespace basilvalve::edge
