// Client side of the request streams between instances.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Core/Common/hash.h"
#include "Core/Common/keyring.h"
#include "Core/Peer/peer_reactor.h"

namespace basilvalve::peer {

/// One request stream to another instance. Used by one thread at a time.
/// Destroying an unfinished stream resets it, which cancels the call.
class ClientStream {
 public:
  ClientStream(ReactorShard* shard, StreamPtr stream,
               const StreamHeader& header, const Keyring* keyring,
               const Clock* clock);
  ~ClientStream();
  ClientStream(const ClientStream&) = delete;
  ClientStream& operator=(const ClientStream&) = delete;

  /// Waits until the server accepts the header with a 100 (Continue) response.
  /// No byte of the body is sent before that, so a failure has outcome kNotRun
  /// unless the server reports another known outcome in a verified end record.
  /// Not thread safe.
  Result<void> AwaitContinue(Instant deadline);
  /// Queues the whole request body for sending; does not block. Not thread
  /// safe. Pre: AwaitContinue succeeded.
  void SendBody(std::string body);
  /// Waits for the response head. Fails with the error reported by the server,
  /// with kPeerLost if the stream was lost, with kDeadlineExceeded, or with
  /// kMalformedRequest if the head cannot be decoded. Not thread safe. Pre:
  /// SendBody was called.
  Result<ResponseHead> AwaitResponseHead(Instant deadline);
  /// Waits at most `max_wait` for the next chunk of the response body. Returns
  /// an empty chunk on a timeout and nullopt once the response is complete and
  /// successful. Fails with the error reported by the server, with kPeerLost if
  /// the stream was lost, with kUnauthenticated or kMalformedRequest if the end
  /// record cannot be verified or decoded, and with kResponseTruncated if it
  /// belongs to another attempt or its length or hash differs from the received
  /// body. Not thread safe.
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

/// Opens streams to other instances. Thread safe.
class PeerClient {
 public:
  /// Pre: the reactor and the keyring outlive the client.
  PeerClient(Reactor* reactor, const Keyring* keyring)
      : reactor_(reactor), keyring_(keyring) {}

  /// Starts a stream by sending its signed header; does not wait for the
  /// connection or a response. Fails with kPeerLost and outcome kNotRun if no
  /// connection to the endpoint can be started. Thread safe.
  Result<std::unique_ptr<ClientStream>> Open(const http::Endpoint& endpoint,
                                             const StreamHeader& header);

 private:
  Reactor* reactor_;
  const Keyring* keyring_;
};

}  // namespace basilvalve::peer
