// An upstream that runs calls, and that fails in the ways that upstreams do.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "BasilvalveSoak/invariant_checker.h"
#include "Core/Common/random.h"
#include "Core/Flow/upstream.h"
#include "Core/Net/server_connection.h"

namespace basilvalve::soak {

/// A loopback address that only this process listens on: what is down in one
/// soak is not answered by another. Thread safe.
std::string ProcessLoopbackAddress();

/// How an upstream treats its callers.
enum class FaultMode {
  kHealthy,
  /// Accepts and never answers.
  kSilent,
  /// Answers late.
  kSlow,
  /// Its own failures, after the run.
  kServerErrors,
  /// States that it did not run the call.
  kRejectsCalls,
  /// Breaks answers and streams off, also within an event.
  kTruncatesAnswers,
  /// Runs calls and closes without an answer.
  kClosesWithoutAnswer,
  /// Bytes that are no answer.
  kMalformedAnswers,
  /// Another call's answer before the right one.
  kForeignAnswerFirst,
  /// Closes its idle connections without notice.
  kClosesIdleConnections,
  kCount
};

/// One process of an upstream, from its start to its end. Not thread safe.
class SoakUpstream {
 public:
  /// Listens on `port` (0: any). Null if the port is taken.
  static std::unique_ptr<SoakUpstream> Start(net::EventLoop* loop,
                                             InvariantChecker* checker,
                                             Random* random,
                                             const std::string& id,
                                             uint16_t port);
  /// Ends like a crash: connections are reset, runs cease.
  ~SoakUpstream();
  SoakUpstream(const SoakUpstream&) = delete;
  SoakUpstream& operator=(const SoakUpstream&) = delete;

  void SetFaultMode(FaultMode mode) { fault_mode_ = mode; }
  uint16_t port() const { return listener_->LocalEndpoint().port; }
  const std::string& id() const { return id_; }

 private:
  using Caller = net::ServerConnection::Ptr;
  struct Run {
    Caller caller;
    RequestId id;
    bool is_stream = false;
    bool has_sent_head = false;
    int next_event = 1;
    std::unique_ptr<net::Timer> timer;
  };

  SoakUpstream(net::EventLoop* loop, InvariantChecker* checker, Random* random,
               std::string id)
      : loop_(loop), checker_(checker), random_(random), id_(std::move(id)) {}
  bool Listen(uint16_t port);
  void Accept(std::unique_ptr<net::Socket> socket);
  void HandleCall(const Caller& caller, const net::ServerRequest& request);
  void StartRun(const Caller& caller, const net::ServerRequest& request);
  void AdvanceRun(net::ServerConnection* key);
  /// Whether the mood broke the run off.
  bool ApplyFault(const Run& run);
  void SendAnswer(const Run& run);
  void SendStreamHead(Run* run);
  void SendNextEvent(Run* run);
  void ScheduleNextStep(Run* run);
  void EndRun(net::ServerConnection* key);

  net::EventLoop* loop_;
  InvariantChecker* checker_;
  Random* random_;
  std::string id_;
  FaultMode fault_mode_ = FaultMode::kHealthy;
  std::unordered_map<net::ServerConnection*, Caller> connections_;
  std::unordered_map<net::ServerConnection*, Run> runs_;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace basilvalve::soak
