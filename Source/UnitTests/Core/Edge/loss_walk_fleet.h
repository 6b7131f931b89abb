// One or two instances with upstreams, a relay between the instances and a
// caller, all on one loop.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "UnitTests/Core/Edge/edge_fixture.h"

namespace basilvalve::edge {

/// How the instance that the caller contacts gets its calls executed.
enum class Topology {
  /// It sends to the upstreams itself.
  kAlone,
  /// All upstreams are in the peer's region.
  kRegion,
  /// The peer owns all upstreams of a large region.
  kOwner,
};

/// Copies bytes between the instances, so that a test can close their
/// connections. Not thread safe.
class Relay {
 public:
  Relay(net::EventLoop* loop, const std::string& host);
  ~Relay();

  void SetTarget(const net::Endpoint& target) { target_ = target; }
  net::Endpoint endpoint() const { return listener_->LocalEndpoint(); }
  /// Closes all connections, first on the peer's side or on the entry's; the
  /// other side learns of it from the loop.
  void CloseAll(bool is_peer_side_first);
  /// Also refuses later connections, as a process that has ended does.
  void Stop();

 private:
  struct Link;

  net::EventLoop* loop_;
  net::Endpoint target_;
  std::vector<std::shared_ptr<Link>> links_;
  std::unique_ptr<net::Listener> listener_;
};

/// A caller whose receive buffer is small, and that reads only
/// when told to. Not thread safe.
class WalkCaller {
 public:
  explicit WalkCaller(const net::Endpoint& to);
  ~WalkCaller();
  WalkCaller(const WalkCaller&) = delete;
  WalkCaller& operator=(const WalkCaller&) = delete;

  void Send(const std::string& bytes);
  /// Reads what has arrived.
  void Read();
  const std::string& text() const { return text_; }
  bool closed() const { return is_closed_; }

 private:
  int fd_;
  std::string text_;
  bool is_closed_ = false;
};

/// What the operators have set.
struct WalkState {
  Millis timeout{7000};
  /// Prefix of a route that is left out; empty for none.
  std::string removed_prefix;
  ServiceName service{"service"};
  flow::IngressLimits limits{16 * 1024, uint64_t{4} * 1024 * 1024, Millis(4000),
                             Millis(4000)};
};

/// The system under test. Upstreams u1 and u2 serve "service", w1 serves
/// "other"; a call is passed to `script` with the name of its upstream. Not
/// thread safe.
class WalkFleet {
 public:
  using Script = std::function<void(
      const std::string& upstream, const net::ServerConnection::Ptr& connection,
      const net::ServerRequest& request)>;

  WalkFleet(Topology topology, const Script& script);
  ~WalkFleet();

  /// Runs the loop until the entry knows what the peer can take.
  bool RunUntilPeerIsKnown();
  void Apply(const WalkState& state);
  /// Has an upstream's registration changed at all instances.
  void DrainUpstream(const std::string& id);
  void RemoveUpstream(const std::string& id);
  void RemovePeerRecord();
  /// The region shrinks so far that upstreams have no owners.
  void EndOwnership();
  /// The process ends once it has drained.
  void DrainEntry();
  void DrainPeer();
  void StopPeer();
  /// Runs the loop for a time or until `done`, and ends drained processes.
  bool RunUntil(const std::function<bool()>& done, Millis timeout);
  void RunFor(Millis time);
  /// Whether no call, no unwritten byte and no load is left; describes what is.
  std::string Leftovers() const;

  Topology topology;
  /// An address of its own: walks run concurrently, and the port of a process
  /// that has ended may be assigned again.
  const std::string host;
  net::EventLoop loop{net::TimeSource::kVirtual};
  FakeDialect dialect;
  Relay relay{&loop, host};
  std::map<std::string, std::unique_ptr<ScriptedUpstream>> upstreams;
  /// nullptr once the process has ended.
  std::unique_ptr<EdgeNode> entry;
  std::unique_ptr<EdgeNode> peer;
  Instant entry_drain_began;

 private:
  std::unique_ptr<EdgeNode> CreateNode(const std::string& id,
                                       const std::string& region);
  void NameMembers();
  void SendMemberHeartbeats();
  bool IsPeerOwner() const;
  void ForEachNode(const std::function<void(EdgeNode*)>& fn) const;
  std::vector<flow::UpstreamRecord> Records() const;

  std::string entry_id_ = "entry";
  std::string peer_id_ = "peer";
  /// The other instances of the large region; they only send heartbeats.
  std::vector<flow::InstanceRecord> members_;
  bool is_large_ = false;
  uint64_t sequence_ = 0;
  uint64_t version_ = 0;
  bool is_entry_drained_ = false;
  bool is_peer_drained_ = false;
  net::Timer member_timer_{&loop};
};

}  // namespace basilvalve::edge
