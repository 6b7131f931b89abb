#include "Core/Peer/peer_client.h"

namespace basilvalve::peer {

ClientStream::ClientStream(ReactorShard* shard, StreamPtr stream,
                           const StreamHeader& header, const Keyring* keyring,
                           const Clock* clock)
    : shard_(shard),
      stream_(std::move(stream)),
      request_(header.request),
      attempt_(header.attempt),
      keyring_(keyring),
      clock_(clock) {}

ClientStream::~ClientStream() {
  std::lock_guard lock(shard_->mutex());
  // nghttp2 may still read from the stream's outbound buffer. The connection
  // keeps its own reference to the state until the reset has closed the stream.
  if (stream_->connection != nullptr) {
    stream_->connection->Reset(stream_, NGHTTP2_CANCEL);
    shard_->Wake();
  }
}

template <typename Predicate>
bool ClientStream::WaitLocked(std::unique_lock<std::mutex>* lock,
                              Instant deadline, Predicate predicate) {
  Micros left = deadline - clock_->Now();
  return stream_->changed.wait_for(*lock, std::max(left, Micros(0)), predicate);
}

Result<EndRecord> ClientStream::VerifyEndRecordLocked() {
  SignedText text{stream_->headers["bv-end"], stream_->headers["bv-end-mac"]};
  Result<EndRecord> end = DecodeEndRecord(text, *keyring_);
  if (!end) {
    return end;
  }
  // A delayed end record of another attempt must not complete this one.
  if (end->request != request_ || end->attempt != attempt_) {
    return Fail(ResultCode::kResponseTruncated,
                "the end record belongs to another request or attempt");
  }
  return end;
}

tl::unexpected<Error> ClientStream::FailureLocked(Outcome outcome_if_lost) {
  if (stream_->trailers_received) {
    Result<EndRecord> end = VerifyEndRecordLocked();
    if (end) {
      return FailAs(end->code, end->outcome, end->message);
    }
  }
  return FailAs(ResultCode::kPeerLost, outcome_if_lost,
                "lost the stream to the peer instance");
}

Result<void> ClientStream::AwaitContinue(Instant deadline) {
  std::unique_lock lock(shard_->mutex());
  bool decided = WaitLocked(&lock, deadline, [this] {
    return stream_->continue_received || stream_->remote_closed ||
           stream_->closed;
  });
  if (!decided) {
    return FailAs(
        ResultCode::kPeerLost, Outcome::kNotRun,
        "timed out waiting for the peer instance to accept the header");
  }
  if (stream_->continue_received) {
    return {};
  }
  tl::unexpected<Error> failure = FailureLocked(Outcome::kNotRun);
  failure.value().outcome = failure.value().outcome == Outcome::kUnknown
                                ? Outcome::kNotRun
                                : failure.value().outcome;
  return failure;
}

void ClientStream::SendBody(std::string body) {
  std::lock_guard lock(shard_->mutex());
  stream_->outbound = std::move(body);
  stream_->outbound_open = false;
  if (stream_->connection != nullptr) {
    stream_->connection->ResumeOutbound(stream_);
    shard_->Wake();
  }
}

Result<ResponseHead> ClientStream::AwaitResponseHead(Instant deadline) {
  std::unique_lock lock(shard_->mutex());
  bool decided = WaitLocked(&lock, deadline, [this] {
    return stream_->head_received || stream_->remote_closed || stream_->closed;
  });
  if (!decided) {
    return Fail(ResultCode::kDeadlineExceeded,
                "timed out waiting for a response from the peer instance");
  }
  auto head = stream_->headers.find("bv-head");
  if (head == stream_->headers.end()) {
    return FailureLocked(Outcome::kUnknown);
  }
  return DecodeResponseHead(head->second);
}

Result<std::optional<std::string>> ClientStream::Read(Millis max_wait) {
  std::unique_lock lock(shard_->mutex());
  bool ready = WaitLocked(&lock, clock_->Now() + max_wait, [this] {
    return !stream_->inbound.empty() || stream_->remote_closed ||
           stream_->closed;
  });
  if (!ready) {
    return std::string();
  }
  if (!stream_->inbound.empty()) {
    std::string chunk = std::move(stream_->inbound.front());
    stream_->inbound.pop_front();
    hash_.Add(chunk);
    if (stream_->connection != nullptr) {
      stream_->connection->MarkConsumed(stream_, chunk.size());
      shard_->Wake();
    }
    return chunk;
  }
  if (!stream_->trailers_received) {
    return FailureLocked(Outcome::kUnknown);
  }
  Result<EndRecord> end = VerifyEndRecordLocked();
  if (!end) {
    return tl::make_unexpected(end.error());
  }
  if (end->length != hash_.Length() || end->hash != hash_.Digest()) {
    return Fail(ResultCode::kResponseTruncated,
                "length or hash of the response differs from its end record");
  }
  if (end->code != ResultCode::kOk) {
    return FailAs(end->code, end->outcome, end->message);
  }
  end_ = std::move(*end);
  return std::nullopt;
}

Result<std::unique_ptr<ClientStream>> PeerClient::Open(
    const http::Endpoint& endpoint, const StreamHeader& header) {
  ReactorShard& shard = reactor_->ShardFor(endpoint);
  SignedText text = EncodeHeader(header, *keyring_);
  StreamPtr stream;
  {
    std::lock_guard lock(shard.mutex());
    Connection* connection = shard.ConnectLocked(endpoint);
    if (connection != nullptr) {
      stream = connection->StartRequest(text, reactor_->clock()->Now());
    }
  }
  if (stream == nullptr) {
    return FailAs(ResultCode::kPeerLost, Outcome::kNotRun,
                  "cannot connect to peer " + endpoint.Text());
  }
  shard.Wake();
  return std::make_unique<ClientStream>(&shard, std::move(stream), header,
                                        keyring_, reactor_->clock());
}

}  // namespace basilvalve::peer
