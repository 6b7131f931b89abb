// One call from its arrival to its answer.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Core/Edge/attempt.h"
#include "Core/Edge/call_planner.h"
#include "Core/Edge/edge_components.h"
#include "Core/Edge/hop_header.h"
#include "Core/Flow/event_splitter.h"
#include "Core/Net/server_connection.h"

namespace basilvalve::edge {

/// Sends a call to upstreams or instances until there is an answer, and keeps
/// account of what may have run. Lives while its connections call it. Not
/// thread safe.
class Exchange : public net::ClientObserver,
                 public std::enable_shared_from_this<Exchange> {
 public:
  using EndedFn = std::function<void(Exchange*)>;

  Exchange(EdgeParts* parts, net::ServerConnection::Ptr caller,
           net::ServerRequest request, CallParams terms, CallContract contract,
           EndedFn on_ended);
  ~Exchange() override = default;

  /// Call once. Not thread safe.
  void Start();
  /// Whether it waits for this upstream's answer. Not thread safe.
  bool IsAt(const flow::Upstream& upstream) const {
    return attempt_.upstream.get() == &upstream;
  }

  bool OnHead(const net::MessageHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnDone() override;
  void OnFault(net::ClientFault fault) override;

 private:
  void Place();
  CallPlan Plan();
  void SendHere(const flow::Placement& placement);
  void SendAway(const RegionId& region);
  void BeginAttempt(std::shared_ptr<net::ClientConnection> connection,
                    std::string bytes);
  void OnFirstEvent();
  void PassStream(std::string_view bytes);
  void BeginStream(const net::MessageHead& head);
  /// The upstream's own failure is the answer, or reason for a repeat.
  void OnFailedAnswer();
  void EndStream();
  void AnswerWhole();
  void OnNotRun(std::string_view why);
  void OnMayHaveRun(std::string_view why);
  bool TryAgain(std::string_view why);
  void AnswerFailure(int status, Millis retry_after, std::string_view why);
  void ArmLimit();
  void OnLimit();
  void OnSilence();
  void ArmSilence();
  void OnCallerGone();
  void CancelAttempt();
  void Finish(std::string_view outcome, int status, std::string_view why);
  bool IsRepeatable() const { return contract_.route->IsRepeatable(); }
  bool IsStream() const {
    return contract_.route->kind == flow::CallKind::kStream;
  }
  /// Of the caller's patience for a stream, which may outlast the timeout.
  Millis TimeLeft() const {
    return std::chrono::floor<Millis>((IsStream() ? patience_at_ : limit_at_) -
                                      parts_->loop->Now());
  }
  /// Event behind which a stream goes on; the caller may have named one.
  std::optional<int64_t> ResumeAfter() const {
    return splitter_.last_id() ? splitter_.last_id() : terms_.resume_after;
  }
  bool KeepsAlive() const {
    return request_.head.keep_alive && !caller_->closing();
  }

  EdgeParts* parts_;
  net::ServerConnection::Ptr caller_;
  net::ServerRequest request_;
  CallParams terms_;
  CallContract contract_;
  EndedFn on_ended_;
  net::Timer limit_timer_;
  net::Timer silence_timer_;
  Attempt attempt_;
  flow::EventSplitter splitter_;
  CallProgress progress_;
  /// Until when there has to be an answer, or the beginning of a stream.
  Instant limit_at_;
  /// Until when the caller waits.
  Instant patience_at_;
  Instant target_at_;
  /// Sends that may have begun to run.
  int runs_ = 0;
  int failed_connects_ = 0;
  bool stream_begun_ = false;
  bool is_finished_ = false;
};

}  // namespace basilvalve::edge
