// Client side of streams between instances.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Core/Common/hash.h"
#include "Core/Common/keyring.h"
#include "Core/Peer/peer_reactor.h"

namespace basilvalve::peer {

/// One stream to another instance. Used by one thread at a time; an unfinished
/// stream is reset when destroyed.
class ClientStream {
 public:
  ClientStream(ReactorShard* shard, StreamPtr stream,
               const StreamHeader& header, const Keyring* keyring,
               const Clock* clock);
  ~ClientStream();
  ClientStream(const ClientStream&) = delete;
  ClientStream& operator=(const ClientStream&) = delete;

  /// Waits for the other side to accept the header. Every failure has outcome
  /// kNotRun: no byte of the body has left. Not thread safe.
  Result<void> AwaitContinue(Instant deadline);
  /// Sends the whole body. Not thread safe. Pre: AwaitContinue succeeded.
  void SendBody(std::string body);
  /// Waits for the beginning of the answer. Fails with the other side's error,
  /// or with kPeerLost or kDeadlineExceeded. Not thread safe. Pre: SendBody was
  /// called.
  Result<ResponseHead> AwaitResponseHead(Instant deadline);
  /// Waits at most `slice` for the next piece of the answer. An empty piece
  /// means that nothing came yet; nullopt that the answer is whole and ended
  /// well. Fails as AwaitResponseHead does, and with kAnswerTruncated if the
  /// end record does not match what arrived. Not thread safe.
  Result<std::optional<std::string>> Read(Millis max_wait);
  /// The verified end record. Not thread safe. Pre: Read returned nullopt.
  const EndRecord& end() const { return end_; }

 private:
  template <typename Predicate>
  bool WaitLocked(std::unique_lock<std::mutex>* lock, Instant deadline,
                  Predicate predicate);
  Result<EndRecord> VerifyEndRecordLocked();
  tl::unexpected<Error> FailureLocked(Outcome outcome_if_lost);

  ReactorShard* shard_;
  StreamPtr stream_;
  RequestId request_;
  uint32_t attempt_;
  const Keyring* keyring_;
  const Clock* clock_;
  StreamHash hash_;
  EndRecord end_;
};

/// Opens streams. Thread safe.
class PeerClient {
 public:
  /// Pre: all outlive the client.
  PeerClient(Reactor* reactor, const Keyring* keyring)
      : reactor_(reactor), keyring_(keyring) {}

  /// Sends a header. Fails with kPeerLost and outcome kNotRun if there is no
  /// way to the endpoint. Thread safe.
  Result<std::unique_ptr<ClientStream>> Open(const http::Endpoint& endpoint,
                                             const StreamHeader& header);

 private:
  Reactor* reactor_;
  const Keyring* keyring_;
};

}  // namespace basilvalve::peer
