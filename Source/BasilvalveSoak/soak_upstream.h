// An upstream that runs calls, with switchable failure modes.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "BasilvalveSoak/invariant_checker.h"
#include "Core/Common/random.h"
#include "Core/Flow/upstream.h"
#include "Core/Net/server_connection.h"

namespace basilvalve::soak {

/// A loopback address derived from the process id, so that two soak tests on
/// one machine do not answer each other's connections. Thread safe.
std::string ProcessLoopbackAddress();

/// How an upstream handles its calls.
enum class FaultMode {
  kHealthy,
  /// Accepts calls and never answers.
  kSilent,
  /// Answers with a long delay.
  kSlow,
  /// Answers some plain calls with status 500 after running them.
  kServerErrors,
  /// Answers 503 and declares that it did not run the call.
  kRejectsCalls,
  /// Cuts off some answers and streams, also in the middle of an event.
  kTruncatesAnswers,
  /// Runs some calls and closes the connection without an answer.
  kClosesWithoutAnswer,
  /// Sends bytes that are not a valid HTTP response to some calls.
  kMalformedAnswers,
  /// Sends an answer with another call's id before the correct one.
  kForeignAnswerFirst,
  /// Closes idle connections without announcing it in the answer.
  kClosesIdleConnections,
  kCount
};

/// One upstream process, simulated within this process. Not thread safe.
class SoakUpstream {
 public:
  /// Listens on `port` (0: any free port). Returns null if the port is in use.
  static std::unique_ptr<SoakUpstream> Start(net::EventLoop* loop,
                                             InvariantChecker* checker,
                                             Random* random,
                                             const std::string& id,
                                             uint16_t port);
  /// Simulates a crash: resets all connections and ends all runs.
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
  /// Applies the fault mode to one step of a run. Returns true if the
  /// connection has to be aborted.
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
