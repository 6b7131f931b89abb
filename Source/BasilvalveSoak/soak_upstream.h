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
std::string LoopbackOfProcess();

/// How an upstream treats its callers.
enum class Mood {
  kWell,
  /// Accepts and never answers.
  kSilent,
  /// Answers late.
  kSlow,
  /// Its own failures, after the run.
  kFails,
  /// States that it did not run the call.
  kRefuses,
  /// Breaks answers and streams off, also within an event.
  kCuts,
  /// Runs calls and closes without an answer.
  kLosesAnswers,
  /// Bytes that are no answer.
  kGarbles,
  /// Another call's answer before the right one.
  kAnswersTwice,
  /// Closes its idle connections without notice.
  kDropsIdle,
  kCount
};

/// One process of an upstream, from its start to its end. Not thread safe.
class SoakUpstream {
 public:
  /// Listens on `port` (0: any). Null if the port is taken.
  static std::unique_ptr<SoakUpstream> Start(net::EventLoop* loop,
                                             Ledger* ledger, Random* random,
                                             const std::string& id,
                                             uint16_t port);
  /// Ends like a crash: connections are reset, runs cease.
  ~SoakUpstream();
  SoakUpstream(const SoakUpstream&) = delete;
  SoakUpstream& operator=(const SoakUpstream&) = delete;

  void SetMood(Mood mood) { mood_ = mood; }
  uint16_t port() const { return listener_->LocalEndpoint().port; }
  const std::string& id() const { return id_; }

 private:
  using Caller = net::ServerConnection::Ptr;
  struct Run {
    Caller caller;
    RequestId id;
    bool is_stream = false;
    bool has_head = false;
    int next_event = 1;
    std::unique_ptr<net::Timer> timer;
  };

  SoakUpstream(net::EventLoop* loop, Ledger* ledger, Random* random,
               std::string id)
      : loop_(loop), ledger_(ledger), random_(random), id_(std::move(id)) {}
  bool Listen(uint16_t port);
  void Accept(std::unique_ptr<net::Socket> socket);
  void OnCall(const Caller& caller, const net::ServerRequest& request);
  void Begin(const Caller& caller, const net::ServerRequest& request);
  void Step(net::ServerConnection* key);
  /// Whether the mood broke the run off.
  bool Break(const Run& run);
  void AnswerWhole(const Run& run);
  void BeginStream(Run* run);
  void StreamOn(Run* run);
  void Later(Run* run);
  void End(net::ServerConnection* key);

  net::EventLoop* loop_;
  Ledger* ledger_;
  Random* random_;
  std::string id_;
  Mood mood_ = Mood::kWell;
  std::unordered_map<net::ServerConnection*, Caller> connections_;
  std::unordered_map<net::ServerConnection*, Run> runs_;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace basilvalve::soak
