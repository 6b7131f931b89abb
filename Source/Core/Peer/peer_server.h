// Server side of streams between instances.
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

/// One accepted stream. Used by one thread; an unfinished stream is reset when
/// destroyed.
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
  /// Refuses the call; nothing of it was run. Not thread safe. Pre: nothing was
  /// sent.
  void Refuse(const Error& error);
  /// Accepts the header and waits for the body, which must match the announced
  /// length and hash. Fails with kPeerLost or kAnswerTruncated. Not thread
  /// safe.
  Result<std::string> AcceptBody(Instant deadline);
  /// Sends the beginning of the answer. Not thread safe.
  void SendResponseHead(const ResponseHead& head);
  /// Sends a piece, blocking while the other side reads slowly; false if it has
  /// gone. Not thread safe. Pre: SendResponseHead was called.
  bool Write(std::string_view chunk);
  /// Ends the answer; length and hash are those of what was written. Not thread
  /// safe. Pre: SendResponseHead was called.
  void Finish(Outcome outcome, ResultCode code, const std::string& message);
  /// Ends the call with an error in place of an answer. Not thread safe. Pre:
  /// SendResponseHead was not called.
  void FinishWithError(const Error& error);
  /// Whether the other side has cancelled or is gone. Thread safe.
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

/// Handles streams. Implementations are thread safe.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  /// Answers one stream. Called on a worker thread. Throws nothing.
  virtual void HandleStream(ServerStream* stream) = 0;
};

/// Settings of the listening side.
struct PeerServerSettings {
  http::Endpoint endpoint;
  size_t workers = 64;
  /// Streams that wait for a worker at most; more are refused as not run.
  size_t max_queued = 16;
};

/// Accepts connections and streams until destroyed. Thread safe.
class PeerServer {
 public:
  /// Starts listening; port 0 takes a free one. Fails with kSettingInvalid.
  /// Pre: all pointers outlive the server.
  static Result<std::unique_ptr<PeerServer>> Start(
      const PeerServerSettings& settings, Reactor* reactor,
      const Keyring* keyring, StreamHandler* handler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// The address in use. Thread safe.
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
