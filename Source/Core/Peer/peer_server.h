// Server side of the request streams between instances.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "Core/Common/hash.h"
#include "Core/Common/keyring.h"
#include "Core/Membership/replay_guard.h"
#include "Core/Peer/peer_reactor.h"
#include "Core/Peer/worker_pool.h"

namespace basilvalve::peer {

/// One received stream. Used by one thread. Destroying an unfinished stream
/// resets it.
class ServerStream {
 public:
  ServerStream(ReactorShard* shard, StreamPtr stream, StreamHeader header,
               const Keyring* keyring, const Clock* clock,
               size_t send_buffer_bytes);
  ~ServerStream();
  ServerStream(const ServerStream&) = delete;
  ServerStream& operator=(const ServerStream&) = delete;

  /// The verified header. Not thread safe.
  const StreamHeader& header() const { return header_; }
  /// Refuses the call before its body is accepted, so that no part of it was
  /// run. Not thread safe. Pre: nothing was sent.
  void Refuse(const Error& error);
  /// Accepts the header and waits for the body. Fails with kPeerLost if the
  /// stream is lost or the deadline passes, and with kMalformedRequest if the
  /// length or hash of the body differs from the header; the outcome is
  /// kNotRun. Not thread safe.
  Result<std::string> AcceptBody(Instant deadline);
  /// Sends the response head. Not thread safe.
  void SendResponseHead(const ResponseHead& head);
  /// Appends a chunk to the response body. Blocks, without a timeout, while the
  /// send buffer is full. Returns false if the stream is closed. Not thread
  /// safe. Pre: SendResponseHead was called.
  bool Write(std::string_view chunk);
  /// Ends the response with an end record that carries the length and hash of
  /// the written body. Not thread safe. Pre: SendResponseHead was called.
  void Finish(Outcome outcome, ResultCode code, const std::string& message);
  /// Ends the call with an error instead of a response. Not thread safe. Pre:
  /// SendResponseHead was not called.
  void FinishWithError(const Error& error);
  /// Whether the stream was closed, by the client or with its connection.
  /// Thread safe.
  bool Cancelled();

 private:
  EndRecord MakeEndRecord(Outcome outcome, ResultCode code,
                          const std::string& message) const;

  ReactorShard* shard_;
  StreamPtr stream_;
  StreamHeader header_;
  const Keyring* keyring_;
  const Clock* clock_;
  size_t send_buffer_bytes_;
  StreamHash hash_;
  bool finished_ = false;
};

/// Handles received streams. Implementations are thread safe.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  /// Handles one stream on a worker thread, which it may block. Must not throw.
  virtual void HandleStream(ServerStream* stream) = 0;
};

/// Listening address and limits of a PeerServer.
struct PeerServerSettings {
  http::Endpoint endpoint;
  size_t workers = 64;
  /// Largest number of streams that wait for a worker thread. Further streams
  /// are refused with kOverloaded and outcome kNotRun.
  size_t max_queued = 16;
};

/// Accepts connections from other instances and passes their verified streams
/// to a handler, until destroyed. Thread safe.
class PeerServer {
 public:
  /// Starts listening; port 0 selects a free port. Fails with kSettingInvalid
  /// if the address cannot be bound. Pre: all pointers outlive the server; the
  /// reactor is stopped before the server is destroyed.
  static Result<std::unique_ptr<PeerServer>> Start(
      const PeerServerSettings& settings, Reactor* reactor,
      const Keyring* keyring, StreamHandler* handler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// The bound address, with the actual port. Thread safe.
  http::Endpoint endpoint() const { return endpoint_; }

 private:
  PeerServer(const PeerServerSettings& settings, Reactor* reactor,
             const Keyring* keyring, StreamHandler* handler);

  bool Listen();
  void Run();
  void OnRequest(ReactorShard* shard, const StreamPtr& stream);
  void RefuseLocked(const StreamPtr& stream, const RequestId& request,
                    uint32_t attempt, const Error& error);

  http::Endpoint endpoint_;
  Reactor* reactor_;
  const Keyring* keyring_;
  StreamHandler* handler_;
  membership::ReplayGuard replay_guard_;
  int listen_fd_ = -1;
  std::atomic<bool> stopping_{false};
  std::unique_ptr<WorkerPool> workers_;
  std::thread thread_;
};

}  // namespace basilvalve::peer
