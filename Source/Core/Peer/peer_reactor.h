// Event loop threads for the connections between instances.
#pragma once

#include <atomic>
#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Peer/peer_connection.h"

namespace basilvalve::peer {

/// One event loop thread and its connections. Other threads hold the mutex
/// while they access a connection or stream of the shard.
class ReactorShard {
 public:
  ReactorShard(const PeerSettings& settings, const Clock* clock);
  ~ReactorShard();
  ReactorShard(const ReactorShard&) = delete;
  ReactorShard& operator=(const ReactorShard&) = delete;

  /// Stops the thread and closes all connections; their streams fail. Not
  /// thread safe.
  void Stop();
  /// Guards all connections and streams of the shard.
  std::mutex& mutex() { return mutex_; }
  /// Wakes the thread so that it sends queued frames. Thread safe.
  void Wake();
  /// Whether one more socket may be accepted. If not, closes the connection
  /// that has had no streams for the longest time, so that there will be room
  /// soon. Thread safe.
  bool HasRoom();
  /// Takes ownership of an accepted, non-blocking socket. Thread safe.
  void AddAccepted(int fd, Connection::OnRequest on_request);
  /// The connection to an endpoint; a new one is started, without waiting for
  /// it, if there is none. Null on failure. Pre: the mutex is held.
  Connection* ConnectLocked(const http::Endpoint& endpoint);
  /// Closes the outgoing connection to an endpoint, if any. Thread safe.
  void Disconnect(const http::Endpoint& endpoint);

 private:
  void Run();
  void RemoveDeadConnectionsLocked();

  PeerSettings settings_;
  const Clock* clock_;
  int wake_fd_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> wake_pending_{false};

  std::mutex mutex_;
  // Guarded by mutex_.
  std::map<std::string, std::unique_ptr<Connection>> outgoing_;
  std::list<std::unique_ptr<Connection>> accepted_;
  std::list<std::unique_ptr<Connection>> retired_;

  std::thread thread_;
};

/// The event loop shards of one instance. Outgoing connections are assigned to
/// them by a hash of the endpoint, accepted ones round-robin.
class Reactor {
 public:
  /// Starts `shards` threads. Pre: shards > 0; the clock outlives the reactor.
  Reactor(const PeerSettings& settings, size_t shards, const Clock* clock);

  /// Stops all shards; open streams fail. Call before destroying objects that
  /// the callbacks of accepted connections use.
  void Stop();
  /// The shard that owns the outgoing connection to an endpoint. Thread safe.
  ReactorShard& ShardFor(const http::Endpoint& endpoint);
  /// The shard for the next accepted socket, in round-robin order. Thread safe.
  ReactorShard& NextShard();
  /// The settings given at construction. Thread safe.
  const PeerSettings& settings() const { return settings_; }
  /// The clock given at construction. Thread safe.
  const Clock* clock() const { return clock_; }

 private:
  PeerSettings settings_;
  const Clock* clock_;
  std::vector<std::unique_ptr<ReactorShard>> shards_;
  std::atomic<size_t> next_{0};
};

}  // namespace basilvalve::peer
