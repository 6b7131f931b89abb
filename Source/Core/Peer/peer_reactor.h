// Threads that drive the connections between instances.
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

/// One thread with the connections it drives. The mutex guards the connections
/// and their streams; callers hold it while they act on a stream.
class ReactorShard {
 public:
  ReactorShard(const PeerSettings& settings, const Clock* clock);
  ~ReactorShard();
  ReactorShard(const ReactorShard&) = delete;
  ReactorShard& operator=(const ReactorShard&) = delete;

  /// Stops the thread and closes all connections. Call once.
  void Stop();
  /// Guards all connections and streams of the shard.
  std::mutex& mutex() { return mutex_; }
  /// Makes the thread look at what callers queued. Thread safe.
  void Wake();
  /// Takes over an accepted socket. Thread safe.
  void AddAccepted(int fd, Connection::OnRequest on_request);
  /// The connection to an endpoint, opened if there is none; null on failure.
  /// Pre: the mutex is held.
  Connection* ConnectLocked(const http::Endpoint& endpoint);
  /// Closes every connection to an endpoint. Thread safe.
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

/// The shards of one instance; connections are spread over them by endpoint.
class Reactor {
 public:
  /// Starts `shards` threads. Pre: shards > 0; the clock outlives the reactor.
  Reactor(const PeerSettings& settings, size_t shards, const Clock* clock);

  /// Stops all shards; open streams are lost. Call before destroying what their
  /// callbacks use.
  void Stop();
  /// The shard that owns connections to an endpoint. Thread safe.
  ReactorShard& ShardFor(const http::Endpoint& endpoint);
  /// The shard for the next accepted socket. Thread safe.
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
