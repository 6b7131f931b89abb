// One call from its arrival to its response.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Core/Edge/attempt.h"
#include "Core/Edge/call_planner.h"
#include "Core/Edge/edge_components.h"
#include "Core/Edge/hedge_attempt.h"
#include "Core/Edge/hop_header.h"
#include "Core/Edge/run_ledger.h"
#include "Core/Flow/event_splitter.h"
#include "Core/Net/server_connection.h"

namespace basilvalve::edge {

/// Sends a call to upstreams or peer instances until there is a response, and
/// counts the attempts that may have been executed. Kept alive by the node
/// until it has ended. Not thread safe.
class Exchange : public net::ClientObserver,
                 public std::enable_shared_from_this<Exchange> {
 public:
  using EndedFn = std::function<void(Exchange*)>;

  Exchange(EdgeComponents* components, net::ServerConnection::Ptr caller,
           net::ServerRequest request, CallParams params, CallContext context,
           EndedFn on_ended);
  ~Exchange() override = default;

  /// Starts the call. Pre: not called before. Not thread safe.
  void Start();
  /// Ends the call because the process is about to exit: its caller gets a
  /// failure if no response has started. Not thread safe.
  void EndForShutdown();
  /// Whether the current attempt or its hedge is on this upstream and nothing
  /// of it was sent yet. Not thread safe.
  bool IsUnsentTo(const flow::Upstream& upstream) const;
  /// Places the call anew if it is still unsent to the upstream, which is not
  /// to get any more calls. Not thread safe.
  void WithdrawUnsent(const flow::Upstream& upstream);
  /// Whether the call has this shared prompt part and waits for the first byte
  /// of an upstream. Not thread safe.
  bool IsWaitingWith(flow::PromptPartId part) const;
  /// Gives up the call if it is still waiting with the part, which is blocked
  /// now. Not thread safe.
  void WithdrawBlocked(flow::PromptPartId part);

  bool OnHead(const net::MessageHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnDone() override;
  void OnError(net::ClientError client_error) override;

 private:
  /// Whether the sender of the call has gone, so that its response is not
  /// wanted any more.
  bool IsUnwanted();
  void Dispatch();
  /// Ends the call with a failure that tells whether it may have run.
  void GiveUp(std::string_view reason);
  CallPlan Plan();
  /// Sends the call where the plan says, or refuses it.
  void Execute(const CallPlan& plan);
  void SendToUpstream(const flow::Placement& placement);
  /// The request for the chosen upstream.
  std::string RequestFor(const flow::Placement& placement);
  void SendToOwner(const flow::InstanceRecord& owner,
                   const flow::Placement& placement);
  void SendToRegion(const RegionId& region);
  void SendToPeer(const flow::InstanceRecord& peer, HopParams hop,
                  Millis margin);
  bool IsForwardedTo(const flow::Placement& placement) const;
  /// Excludes the peer instance of the current attempt, or its region, from
  /// further attempts.
  void OnPeerFailed();
  void BeginAttempt(std::shared_ptr<net::ClientConnection> connection,
                    std::string bytes);
  /// Counts a call that may be hedged, and starts its timer.
  void PrepareHedge();
  /// Sends a call that still waits for its first byte to a second upstream, if
  /// the hedge planner permits it.
  void OnHedgeDue(Instant due);
  /// The hedge has the first response head to forward.
  void OnHedgeWon();
  /// Goes on with the hedge, if one is in flight, after the current attempt has
  /// ended.
  bool AdoptHedge();
  /// Header lines of a response to a peer instance; empty for a caller.
  std::string HopLines() const;
  void OnFirstByte();
  /// Learns from the time that the upstream took until its first byte.
  void LearnFirstByte(Instant now);
  /// Whether the time since then is the upstream's: this process ran and read
  /// from it all the while.
  bool IsUpstreamTime(Instant since) const;
  /// The upstream has got past the start of its response.
  void OnPastStart();
  /// Refuses a call with a blocked prompt part.
  void RefuseBlocked(const flow::BlockedPart& blocked);
  /// The upstream's response broke off. Waits for the result before it retries
  /// a call that may crash another upstream.
  void OnMayHaveCrashed(std::string_view reason);
  /// Whether a response that broke off may have been cut by a crash.
  bool MayHaveCrashed() const;
  /// Whether the attempt's response is passed on as it arrives.
  bool IsStreamForwarded() const {
    return IsStream() && attempt_.head.status == 200 && attempt_.IsUsable();
  }
  void ForwardStream(std::string_view bytes);
  /// Writes a part of the stream to the caller; an empty one ends it.
  void WriteChunk(std::string_view bytes);
  /// Gives up a response that exceeds a limit.
  void AbandonResponse(std::string_view reason);
  void StartStream(const net::MessageHead& head);
  /// The upstream executed the call and returned an error: retries the call if
  /// permitted, else forwards the response.
  void OnUpstreamError();
  void CompleteStream();
  void ForwardResponse();
  void OnNotRun(NotRunProof proof, std::string_view reason);
  void OnMayHaveRun(std::string_view reason);
  /// Whether the route's attempts and the time left allow one more.
  bool MayRetry() const;
  /// Takes one retry from the fleet's budget; false if it is used up.
  bool ConsumeRetry(std::string_view reason);
  bool TryRetry(std::string_view reason);
  /// For a forwarded call: whether the sender can probably send it
  /// elsewhere, judged by what this instance knows of budget and upstreams.
  bool MaySenderResume();
  void SendFailure(int status, Millis retry_after, std::string_view reason);
  void ArmDeadlineTimer();
  void OnDeadline();
  void OnSilenceTimeout();
  void ArmSilenceTimer(Micros delay);
  Micros SilenceLimit() const {
    return SilenceTimeout(*context_.route, stream_started_);
  }
  /// When the upstream last showed that it is alive, or this instance began to
  /// listen to it.
  Instant LastActivity() const;
  void OnCallerDisconnected();
  void CancelAttempt();
  void Finish(std::string_view outcome, int status, std::string_view reason);
  bool IsRetryable() const { return context_.route->IsRetryable(); }
  bool IsStream() const {
    return context_.route->kind == flow::CallKind::kStream;
  }
  /// Time to the caller's deadline for a stream, which may outlast the route's
  /// timeout; else to the response deadline.
  Millis TimeLeft() const {
    return std::chrono::floor<Millis>(
        (IsStream() ? caller_deadline_ : response_deadline_) -
        components_->loop->Now());
  }
  /// Id of the event after which a stream resumes: the last one forwarded, else
  /// the one the caller named.
  std::optional<int64_t> ResumeAfter() const {
    return splitter_.last_id() ? splitter_.last_id() : params_.resume_after;
  }
  bool KeepsAlive() const {
    return request_.head.keep_alive && !caller_->is_closing();
  }

  EdgeComponents* components_;
  net::ServerConnection::Ptr caller_;
  net::ServerRequest request_;
  net::MemoryReservation request_memory_;
  CallParams params_;
  CallContext context_;
  EndedFn on_ended_;
  net::Timer deadline_timer_;
  net::Timer silence_timer_;
  Attempt attempt_;
  flow::EventSplitter splitter_;
  CallProgress progress_;
  /// By when the response, or the start of a stream, is due.
  Instant response_deadline_;
  /// How long the caller waits.
  Instant caller_deadline_;
  Instant target_deadline_;
  RunLedger runs_;
  net::Timer hedge_timer_;
  HedgeAttempt hedge_;
  int failed_connects_ = 0;
  /// When the silence timer is due.
  Instant silence_due_;
  bool stream_started_ = false;
  /// Whether the head of the started stream promised to keep the connection.
  bool stream_keeps_alive_ = false;
  uint64_t stream_bytes_ = 0;
  bool is_finished_ = false;
};

}  // namespace basilvalve::edge
